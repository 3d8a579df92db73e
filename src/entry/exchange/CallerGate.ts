import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CoreEvent, ServiceName } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';
import type { Exchanges } from './Exchanges.js';
import type { CleanHeaders } from './headers.js';
import { cleanHeaders } from './headers.js';
import { HttpExchange } from './HttpExchange.js';
import { linger } from './linger.js';
import type { BodyBounds } from './RequestBody.js';
import { RequestBody } from './RequestBody.js';
import type { Problem } from './problem.js';
import { getProblemHeaders, writeProblemBody } from './problem.js';
import type { ServiceFinder } from './ServiceFinder.js';

/** What the gate works with. */
export interface CallerGateParts {
  readonly clock: Clock;
  readonly bounds: BodyBounds;
  readonly exchanges: Exchanges;
  readonly finder: ServiceFinder;
  readonly dispatch: (event: CoreEvent) => void;
  /** Told how long each request took, in milliseconds. */
  readonly onEnded: (exchange: HttpExchange, milliseconds: number) => void;
}

const BODY_TOO_LARGE: Omit<Problem, 'outcome'> = {
  status: 413,
  code: 'body-too-large',
  detail: 'the request body is larger than this entry VM takes',
};

function refuse(req: IncomingMessage, res: ServerResponse, problem: Problem): void {
  const body = writeProblemBody(problem);
  const headers = getProblemHeaders(problem, body.length);
  res.writeHead(problem.status, headers);
  res.end(req.method === 'HEAD' ? undefined : body);
  linger(req, res);
}

function hasBody({ contentLength, transferEncoding }: CleanHeaders): boolean {
  if (contentLength !== undefined) return contentLength !== '0';
  return transferEncoding !== undefined;
}

function readDeadline({ deadlineMs }: CleanHeaders, now: number): number | undefined {
  if (deadlineMs === undefined) return undefined;
  const remaining = Number(deadlineMs);
  return Number.isFinite(remaining) && remaining >= 0 ? now + remaining : undefined;
}

/** Adds what tells the target whose request it is and how it came. */
function extend(clean: CleanHeaders, req: IncomingMessage): string[] {
  const { headers, via, forwardedFor } = clean;
  const ip = req.socket.remoteAddress ?? 'unknown';
  headers.push('Via', via === undefined ? '1.1 masticlink' : `${via}, 1.1 masticlink`);
  headers.push('X-Forwarded-For', forwardedFor === undefined ? ip : `${forwardedFor}, ${ip}`);
  return headers;
}

function checkHead(req: IncomingMessage, clean: CleanHeaders): Problem | undefined {
  const hasManyHosts = clean.host?.includes(',') === true;
  if (hasManyHosts || !(req.url as string).startsWith('/')) {
    return {
      status: 400,
      outcome: 'not-run',
      code: 'malformed-request',
      detail: hasManyHosts
        ? 'the request has more than one Host header; send one'
        : 'the request target must be a path that begins with a slash',
    };
  }
  const upgrade = clean.upgrade?.toLowerCase();
  if (upgrade !== undefined && upgrade !== 'h2c') {
    return {
      status: 501,
      outcome: 'not-run',
      code: 'upgrade-not-supported',
      detail: `no upgrade to ${upgrade} is offered; send plain HTTP/1.1`,
    };
  }
  return undefined;
}

/** A request whose head is read. */
interface ArrivalHead {
  readonly service: ServiceName;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly clean: CleanHeaders;
  /** When its head came, monotonic milliseconds. */
  readonly now: number;
}

/** A request whose body is here as far as it is waited for. */
interface Arrival extends ArrivalHead {
  readonly body: RequestBody;
}

/** What makes two requests the same: method and path; with a request key, the body too. */
function getFingerprint(method: string, path: string, body: RequestBody | undefined): string {
  if (body === undefined) return `${method} ${path}`;
  const hash = createHash('sha256').update(method).update(' ').update(path).update('\n');
  return hash.update(body.getWhole() ?? '').digest('base64url');
}

/** Takes callers' requests from the HTTP server and announces them to the core. */
export class CallerGate {
  /** @param parts - What the gate works with. */
  constructor(private readonly parts: CallerGateParts) {}

  /**
   * Takes a request for a service; false if it is for one of the process's own pages.
   * @param req - The request, its head read.
   * @param res - Its answer.
   * @param awaitsContinue - Whether its caller sends the body only when told to.
   * @param heldMs - How long ago it was read, in milliseconds.
   */
  accept(
    req: IncomingMessage,
    res: ServerResponse,
    awaitsContinue: boolean,
    heldMs: number,
  ): boolean {
    const clean = cleanHeaders(req.rawHeaders);
    const service = this.parts.finder.find(clean.host ?? '', req.url as string);
    if (service === undefined) return false;
    const now = this.parts.clock.now() - heldMs;
    this.take({ service, req, res, clean, now }, awaitsContinue);
    return true;
  }

  /** @internal */
  private take(head: ArrivalHead, awaitsContinue: boolean): void {
    const { req, res, clean } = head;
    const problem = checkHead(req, clean);
    if (problem !== undefined) {
      refuse(req, res, problem);
      return;
    }
    const length = clean.contentLength === undefined ? undefined : Number(clean.contentLength);
    const body = new RequestBody(hasBody(clean) ? req : undefined, this.parts.bounds, length);
    if (body.isDeclaredTooLarge) {
      refuse(req, res, { ...BODY_TOO_LARGE, outcome: 'not-run' });
      return;
    }
    if (awaitsContinue) res.writeContinue();
    body.collect(clean.key !== undefined, (outcome) => {
      if (outcome === 'ready') this.announce({ ...head, body });
      else refuse(req, res, { ...BODY_TOO_LARGE, outcome: 'not-run' });
    });
  }

  /** @internal */
  private announce(arrival: Arrival): void {
    const { service, req, res, clean, body, now } = arrival;
    const { key } = clean;
    const { exchanges, dispatch } = this.parts;
    const method = req.method as string;
    const path = req.url as string;
    const deadlineAt = readDeadline(clean, now);
    const caller = clean.caller ?? req.socket.remoteAddress ?? 'unknown';
    const fingerprint = getFingerprint(method, path, key === undefined ? undefined : body);
    const head = { method, path, headers: extend(clean, req) };
    const id = exchanges.takeId();
    const parts = { id, service, caller, fingerprint, key, head, body };
    const exchange = new HttpExchange(parts, req, res);
    exchanges.add(exchange);
    res.on('close', () => {
      exchanges.remove(id);
      this.parts.onEnded(exchange, this.parts.clock.now() - now);
      // Before the answer is all out, a closed connection is a caller that hung up.
      if (!res.writableFinished) dispatch({ kind: 'requestCancelled', request: id });
    });
    dispatch({
      kind: 'requestArrived',
      request: id,
      service,
      caller,
      method,
      fingerprint,
      key,
      deadlineAt,
    });
  }

  /**
   * Ends a request whose body grew beyond its bound after a part of it went to a target.
   * @param id - The request's number.
   */
  refuseLargeBody(id: number): void {
    const exchange = this.parts.exchanges.get(id);
    if (!(exchange instanceof HttpExchange)) return;
    this.parts.dispatch({ kind: 'requestCancelled', request: id });
    exchange.answerProblem({ ...BODY_TOO_LARGE, outcome: 'unknown' });
  }
}
