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

/** Dependencies of the caller request handler. */
export interface CallerRequestHandlerParts {
  readonly clock: Clock;
  readonly bounds: BodyBounds;
  readonly exchanges: Exchanges;
  readonly finder: ServiceFinder;
  readonly dispatch: (event: CoreEvent) => void;
  /** Called with the duration of each request when it ends, in milliseconds. */
  readonly onEnded: (exchange: HttpExchange, milliseconds: number) => void;
}

const BODY_TOO_LARGE: Omit<Problem, 'outcome'> = {
  status: 413,
  code: 'body-too-large',
  detail: 'the request body is larger than this entry VM takes',
};

function refuseRequest(req: IncomingMessage, res: ServerResponse, problem: Problem): void {
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

function readDeadlineAt({ deadlineMs }: CleanHeaders, now: number): number | undefined {
  if (deadlineMs === undefined) return undefined;
  const remainingMs = Number(deadlineMs);
  return Number.isFinite(remainingMs) && remainingMs >= 0 ? now + remainingMs : undefined;
}

/** Adds the `Via` and `X-Forwarded-For` headers. */
function addForwardingHeaders(clean: CleanHeaders, req: IncomingMessage): string[] {
  const { headers, via, forwardedFor } = clean;
  const ip = req.socket.remoteAddress ?? 'unknown';
  headers.push('Via', via === undefined ? '1.1 masticlink' : `${via}, 1.1 masticlink`);
  headers.push('X-Forwarded-For', forwardedFor === undefined ? ip : `${forwardedFor}, ${ip}`);
  return headers;
}

function checkHead(req: IncomingMessage, clean: CleanHeaders): Problem | undefined {
  const hasSeveralHosts = clean.host?.includes(',') === true;
  if (hasSeveralHosts || !(req.url as string).startsWith('/')) {
    return {
      status: 400,
      outcome: 'not-run',
      code: 'malformed-request',
      detail: hasSeveralHosts
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

/** A request whose head has been read. */
interface IncomingHead {
  readonly service: ServiceName;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly clean: CleanHeaders;
  /** When the head was read, in monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** A request whose body has been collected, or its first part if it is streamed. */
interface IncomingRequest extends IncomingHead {
  readonly body: RequestBody;
}

/** Identifies identical requests by method and path and, if there is an idempotency key, body. */
function getFingerprint(method: string, path: string, body: RequestBody | undefined): string {
  if (body === undefined) return `${method} ${path}`;
  const hash = createHash('sha256').update(method).update(' ').update(path).update('\n');
  return hash.update(body.getWhole() ?? '').digest('base64url');
}

/** Accepts callers' requests from the HTTP server and dispatches their arrival to the core. */
export class CallerRequestHandler {
  /** @param parts - Dependencies. */
  constructor(private readonly parts: CallerRequestHandlerParts) {}

  /**
   * Accepts a request for a service; returns false if the request is for the process API.
   * @param req - The request; its head has been read.
   * @param res - The request's answer.
   * @param hasExpectContinue - Whether the caller sends the body only after a `100 Continue`.
   * @param queuedMs - Time since the request was read, in milliseconds.
   */
  accept(
    req: IncomingMessage,
    res: ServerResponse,
    hasExpectContinue: boolean,
    queuedMs: number,
  ): boolean {
    const clean = cleanHeaders(req.rawHeaders);
    const service = this.parts.finder.find(clean.host ?? '', req.url as string);
    if (service === undefined) return false;
    const arrivedAt = this.parts.clock.now() - queuedMs;
    this.collectBody({ service, req, res, clean, arrivedAt }, hasExpectContinue);
    return true;
  }

  /** @internal */
  private collectBody(head: IncomingHead, hasExpectContinue: boolean): void {
    const { req, res, clean } = head;
    const problem = checkHead(req, clean);
    if (problem !== undefined) {
      refuseRequest(req, res, problem);
      return;
    }
    const length = clean.contentLength === undefined ? undefined : Number(clean.contentLength);
    const body = new RequestBody(hasBody(clean) ? req : undefined, this.parts.bounds, length);
    if (body.isDeclaredTooLarge) {
      refuseRequest(req, res, { ...BODY_TOO_LARGE, outcome: 'not-run' });
      return;
    }
    if (hasExpectContinue) res.writeContinue();
    body.collect(clean.key !== undefined, (outcome) => {
      if (outcome === 'ready') this.dispatchArrival({ ...head, body });
      else refuseRequest(req, res, { ...BODY_TOO_LARGE, outcome: 'not-run' });
    });
  }

  /** @internal */
  private dispatchArrival(incoming: IncomingRequest): void {
    const { service, req, res, clean, body, arrivedAt } = incoming;
    const { key } = clean;
    const { exchanges, dispatch } = this.parts;
    const method = req.method as string;
    const path = req.url as string;
    const deadlineAt = readDeadlineAt(clean, arrivedAt);
    const caller = clean.caller ?? req.socket.remoteAddress ?? 'unknown';
    const fingerprint = getFingerprint(method, path, key === undefined ? undefined : body);
    const head = { method, path, headers: addForwardingHeaders(clean, req) };
    const id = exchanges.createId();
    const parts = { id, service, caller, fingerprint, key, head, body };
    const exchange = new HttpExchange(parts, req, res);
    exchanges.add(exchange);
    res.on('close', () => {
      exchanges.remove(id);
      this.parts.onEnded(exchange, this.parts.clock.now() - arrivedAt);
      // If the answer isn't completely sent, the caller has disconnected.
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
   * Ends a request whose body exceeded the size limit after a part of it was sent to a target.
   * @param id - ID of the request.
   */
  refuseLargeBody(id: number): void {
    const exchange = this.parts.exchanges.get(id);
    if (!(exchange instanceof HttpExchange)) return;
    this.parts.dispatch({ kind: 'requestCancelled', request: id });
    exchange.answerProblem({ ...BODY_TOO_LARGE, outcome: 'unknown' });
  }
}
