import type { IncomingMessage, OutgoingHttpHeaders, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  COLD_HEADER,
  EXPECTED_TARGET_HEADER,
  LEAVING_HEADER,
  LIMIT_HEADER,
  LOAD_HEADER,
  NOT_EXECUTED_HEADER,
  REQUEST_ID_HEADER,
  RESPONSE_SIGNATURE_HEADER,
  RETRY_AFTER_HEADER,
  TARGET_ID_HEADER,
} from '../headers.js';
import { AnswerCopies } from './AnswerCopies.js';
import type { ReceivedIdentity } from './storedObjects.js';
import { readIdentity } from './storedObjects.js';
import { VariedAnswers } from './VariedAnswers.js';

/** How a target responds to requests; used to inject faults. */
export type TargetBehaviour =
  'sound' | 'slow' | 'slowWhenFull' | 'fails' | 'hangs' | 'cuts' | 'sheds';

/** Properties of a stand-in target. */
export interface PlatformTargetOptions {
  readonly id: string;
  readonly slots: number;
  /** Time that a request takes, in milliseconds. */
  readonly workMs: number;
  /** Called when a request begins to run, with the IP address that sent it. */
  readonly onRun: (requestId: string, source: string) => void;
  /** Called when a caller's request arrives for this target, also if it is rejected. */
  readonly onArrival?: (requestId: string) => void;
  /** Called with `onArrival`, with what the request says about its caller. */
  readonly onIdentity?: (requestId: string, identity: ReceivedIdentity) => void;
  /** Called when a request is rejected because the target has paused. */
  readonly onPause?: (requestId: string, source: string) => void;
  /** Whether the target crashes when it runs a request with this body. */
  readonly isFatal?: (body: string) => boolean;
  /** Called when a request has crashed the target. */
  readonly onCrash?: (requestId: string) => void;
  /** Whether the target answers 500 to the next request, without running it. */
  readonly failsNext?: () => boolean;
  /** Uniform in [0, 1); for rejections and copies of answers. */
  readonly random?: () => number;
  /** Called when a copy of another answer was sent before the answer to a request. */
  readonly onCopyMet?: (requestId: string) => void;
  /** Lets the connection from a port be reset in place of its end; for varied answers. */
  readonly setEndMode?: (remotePort: number, mode: 'resetUnlessEnded' | 'reset') => void;
  /** Called when the answer to a request is about to be broken off on purpose. */
  readonly onBrokenOff?: (requestId: string) => void;
}

/** Factor by which the work of a slow target takes longer. */
const SLOWDOWN_FACTOR = 5;

/** A failing target fails one of this many requests. */
const FAILURE_INTERVAL = 2;

const OK = 200;
const MISDIRECTED_REQUEST = 421;
const INTERNAL_ERROR = 500;
const UNAVAILABLE = 503;

/** Number of requests that may wait for a slot before the target rejects further ones. */
const QUEUE_SIZE = 4;

/** Number of times that the body of an answer repeats the id of its request. */
const ID_REPEATS = 40;

/** Size of the body that a request asks for in its id, in bytes. */
const SIZE_PATTERN = /\.b(\d+)$/;

/**
 * Returns an id by which a request asks for a body of a given size.
 * @param requestId - Id of the request without a size.
 * @param bytes - Size of the body, at least that of the id.
 */
export function askForSize(requestId: string, bytes: number): string {
  return `${requestId}.b${bytes}`;
}

/**
 * Body of a target's answer, by which a caller checks that the answer is complete and its own.
 * @param requestId - Id of the request.
 */
export function makeBody(requestId: string): string {
  const [, size] = SIZE_PATTERN.exec(requestId) ?? [];
  const part = `${requestId} `;
  if (size === undefined) return part.repeat(ID_REPEATS);
  return part.repeat(Math.ceil(Number(size) / part.length)).slice(0, Number(size));
}

/**
 * Stand-in for a target of the platform, with slots, load reports, rejections and injected faults.
 */
export class PlatformTarget {
  behaviour: TargetBehaviour = 'sound';

  /** Behaviour between faults. */
  usualBehaviour: TargetBehaviour = 'sound';

  /** Limit that the target advertises; undefined if it has none. */
  limit: string | undefined;

  /**
   * If set, the target rejects all requests and asks for a pause of this value, in seconds.
   */
  pause: string | undefined;

  /** Share of the requests and probes that the target rejects, whatever its load. */
  rejectedShare = 0;

  /** Second copies of its answers to requests and probes. */
  readonly copies: AnswerCopies;

  /** Answers to requests that are sent without a length or broken off. */
  readonly varied: VariedAnswers;

  /** Whether all answers state that the target is shutting down. */
  isLeaving = false;

  /** Whether the target states that it is unhealthy, without its id. */
  isUnhealthy = false;

  /** @internal */
  private running = 0;

  /** @internal */
  private runCount = 0;

  /** @internal */
  private readonly queue: (() => void)[] = [];

  /** @internal */
  private readonly random: () => number;

  /** @internal */
  private readonly server: Server;

  /** @param options - Properties of the target. */
  constructor(private readonly options: PlatformTargetOptions) {
    const { random = Math.random, onCopyMet, setEndMode, onBrokenOff } = options;
    this.random = random;
    this.copies = new AnswerCopies(random, (requestId) => onCopyMet?.(requestId));
    this.varied = new VariedAnswers(
      random,
      (remotePort, mode) => setEndMode?.(remotePort, mode),
      (requestId) => onBrokenOff?.(requestId),
    );
    this.server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.once('end', () => this.handle(req, res, Buffer.concat(chunks).toString()));
    });
  }

  /**
   * Listens on loopback; returns the IP address and port.
   * @param requestedPort - The port; any free one by default.
   */
  async start(requestedPort = 0): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(requestedPort, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Stops the target abruptly, as in a crash. */
  crash(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private handle(req: IncomingMessage, res: ServerResponse, body: string): void {
    const { id, slots } = this.options;
    this.copies.expectAnswer(res);
    res.setHeader(LOAD_HEADER, `${this.running},${this.queue.length},${slots},100`);
    if (req.url === '/health') {
      this.answerProbe(res);
      return;
    }
    res.setHeader(TARGET_ID_HEADER, id);
    if (this.limit !== undefined) res.setHeader(LIMIT_HEADER, this.limit);
    if (this.isLeaving) res.setHeader(LEAVING_HEADER, '1');
    const { [REQUEST_ID_HEADER]: callerRequestId } = req.headers;
    const requestId = String(callerRequestId);
    if (callerRequestId !== undefined) res.setHeader(REQUEST_ID_HEADER, callerRequestId);
    const { remoteAddress: source = '' } = req.socket;
    const expected = req.headers[EXPECTED_TARGET_HEADER];
    const isMisdirected = expected !== undefined && expected !== id;
    const isFromCaller = callerRequestId !== undefined;
    if (isFromCaller && !isMisdirected) this.reportArrival(requestId, req);
    if (isMisdirected) this.answer(res, MISDIRECTED_REQUEST);
    else if (this.pause !== undefined) this.reject(requestId, res, this.pause, source);
    else this.accept(requestId, res, body, source);
  }

  /** @internal */
  private accept(requestId: string, res: ServerResponse, body: string, source: string): void {
    const isRejected = this.behaviour === 'sheds' || this.random() < this.rejectedShare;
    if (isRejected || this.queue.length >= QUEUE_SIZE) {
      this.answer(res, UNAVAILABLE, { [NOT_EXECUTED_HEADER]: '1' });
    } else if (this.options.failsNext?.() === true) {
      this.answer(res, INTERNAL_ERROR, this.describeAnswer(requestId, ''));
    } else if (this.running < this.options.slots) this.run(requestId, res, body, source);
    else this.queue.push(() => this.run(requestId, res, body, source));
  }

  /** @internal */
  private answer(
    res: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders = {},
    body = '',
  ): void {
    res.writeHead(status, headers).end(body);
    this.copies.afterAnswer(res, body);
  }

  /** @internal */
  private answerProbe(res: ServerResponse): void {
    if (this.isUnhealthy) {
      res.writeHead(UNAVAILABLE).end();
      return;
    }
    if (this.random() < this.rejectedShare) {
      this.answer(res, UNAVAILABLE, { [NOT_EXECUTED_HEADER]: '1' });
      return;
    }
    res.setHeader(TARGET_ID_HEADER, this.options.id);
    res.setHeader(COLD_HEADER, '0');
    this.answer(res, OK);
  }

  /** @internal */
  private reportArrival(requestId: string, { rawHeaders }: IncomingMessage): void {
    this.options.onArrival?.(requestId);
    this.options.onIdentity?.(requestId, readIdentity(rawHeaders));
  }

  /** @internal */
  private reject(requestId: string, res: ServerResponse, pause: string, source: string): void {
    this.options.onPause?.(requestId, source);
    this.answer(res, UNAVAILABLE, { [NOT_EXECUTED_HEADER]: '1', [RETRY_AFTER_HEADER]: pause });
  }

  /** @internal */
  private run(requestId: string, res: ServerResponse, body: string, source: string): void {
    if (res.destroyed) {
      this.queue.shift()?.();
      return;
    }
    const { workMs, onRun, isFatal, onCrash } = this.options;
    this.running += 1;
    this.runCount += 1;
    onRun(requestId, source);
    const { behaviour, isSlow } = this;
    const timer = setTimeout(
      () => {
        if (isFatal?.(body) === true) {
          this.crash();
          onCrash?.(requestId);
        } else this.finish(requestId, res, behaviour);
      },
      workMs * (isSlow ? SLOWDOWN_FACTOR : 1),
    );
    res.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
      this.queue.shift()?.();
    });
  }

  /** @internal */
  private describeAnswer(requestId: string, body: string): Record<string, string | number> {
    return { ...this.signAnswer(requestId), 'Content-Length': body.length };
  }

  /** @internal */
  private signAnswer(requestId: string): Record<string, string> {
    return { [REQUEST_ID_HEADER]: requestId, [RESPONSE_SIGNATURE_HEADER]: `s.${requestId}` };
  }

  /** @internal */
  private get isSlow(): boolean {
    const isFull = this.running >= this.options.slots;
    return this.behaviour === 'slow' || (this.behaviour === 'slowWhenFull' && isFull);
  }

  /** @internal */
  private finish(requestId: string, res: ServerResponse, behaviour: TargetBehaviour): void {
    if (behaviour === 'hangs') return;
    const body = makeBody(requestId);
    if (this.isLeaving) res.setHeader(LEAVING_HEADER, '1');
    const hasFailed = behaviour === 'fails' && this.runCount % FAILURE_INTERVAL === 0;
    const status = hasFailed ? INTERNAL_ERROR : 200;
    const isVaried = this.varied.trySend(res, {
      requestId,
      status,
      headers: this.signAnswer(requestId),
      body,
      onWhole: () => this.copies.afterAnswer(res, body),
    });
    if (isVaried) return;
    const headers = this.describeAnswer(requestId, body);
    if (behaviour !== 'cuts') {
      this.answer(res, status, headers, body);
      return;
    }
    res.writeHead(status, headers);
    res.write(body.slice(0, body.length / 2));
    setImmediate(() => res.destroy());
  }
}
