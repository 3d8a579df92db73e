import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ClientError } from '../exchange/clientErrors.js';
import { answerClientError, getClientProblem } from '../exchange/clientErrors.js';
import { getProblemHeaders, writeProblemBody } from '../exchange/problem.js';

/**
 * Requests of one connection that are served at a time. Their answers wait for the first of them, in
 * memory; with whole answers of 256 KB, 4 MB for a connection at the most.
 */
const MOST_SERVED = 16;

/** No further request is begun while answers of this size wait for their turn, in bytes. */
const MOST_WAITING_BYTES = 256 * 1024;

/** Requests behind the last answer are read, so that a caller's leaving is seen, up to so many. */
const MOST_PASSED_OVER = 200;

/** After the last answer, what the caller still sends is read so long, in milliseconds. */
const LINGER_MS = 1_000;

/** Begins to serve a request, which was read so many milliseconds before. */
export type BeginRequest = (heldMs: number) => void;

interface WaitingRequest {
  /** Monotonic milliseconds. */
  readonly readAt: number;
  readonly begin: BeginRequest;
}

/**
 * One caller's connection. Callers may send further requests before the first is answered; answers
 * go back in the order of the requests.
 *
 * What stands behind an answer that closes the connection counts as not read, and is sent again. A
 * request there that went to a target all the same would run for nobody, or twice. So the connection
 * closes with the answer to the last request that was passed on, and passes none on after it.
 */
export class CallerConnection {
  /** Answers that are owed, in their order. @internal */
  private readonly owed: ServerResponse[] = [];

  /** Requests that are read and wait for room. @internal */
  private readonly waiting: WaitingRequest[] = [];

  /** Requests that were begun and have no whole answer yet. @internal */
  private served = 0;

  /** Requests that stand behind the last answer. @internal */
  private passedOver = 0;

  /** Whether the last answer of this connection is known. @internal */
  private isLastTaken = false;

  /** @internal */
  private hasAnswered = false;

  /** What came in place of a request, to be answered once all requests are. @internal */
  private error: ClientError | undefined;

  /** @param socket - The connection. */
  constructor(private readonly socket: Socket) {
    socket.once('close', () => this.withdraw());
    socket.on('resume', () => this.holdReading());
    // Node destroys the socket after the last answer; with requests unread behind it, that resets
    // the connection, and the caller loses the answer.
    socket.destroySoon = () => this.endSoon();
  }

  /** Whether it is kept open between two requests: answered before, and no answer is owed. */
  get isIdle(): boolean {
    return this.hasAnswered && this.owed.length === 0;
  }

  /**
   * Takes a request that was read.
   * @param res - Its answer.
   * @param isLast - Whether its answer closes the connection.
   * @param begin - Begins to serve it; called once there is room, and never if it stands behind an
   * answer that closes the connection.
   */
  take(res: ServerResponse, isLast: boolean, begin: BeginRequest): void {
    if (this.isLastTaken) {
      this.passOver();
      return;
    }
    if (isLast || !res.shouldKeepAlive) this.closeAfter(res);
    this.owed.push(res);
    res.once('close', () => this.remove(res));
    this.waiting.push({ readAt: performance.now(), begin });
    this.beginWaiting();
    this.holdReading();
  }

  /** Closes the connection with the answer to the last request that is here, if there is one. */
  endKeepAlive(): void {
    const last = this.owed.at(-1);
    if (last !== undefined && !last.headersSent) this.closeAfter(last);
  }

  /**
   * Answers what is not a request, after the requests before it. Closing at once would cut requests
   * that targets work on.
   * @param err - Node's parser error.
   */
  refuse(err: ClientError): void {
    const last = this.owed.at(-1);
    const isBody = last !== undefined && !last.req.complete;
    this.isLastTaken = true;
    if (isBody && !last.headersSent) this.answerBrokenBody(last, err);
    else if (last === undefined) answerClientError(err, this.socket);
    else this.error ??= err;
  }

  /** @internal */
  private passOver(): void {
    this.passedOver += 1;
    if (this.passedOver >= MOST_PASSED_OVER) this.socket.pause();
  }

  /** @internal */
  private answerBrokenBody(res: ServerResponse, err: ClientError): void {
    const problem = getClientProblem(err);
    const body = writeProblemBody(problem);
    res.shouldKeepAlive = false;
    res.writeHead(problem.status, getProblemHeaders(problem, body.length));
    res.end(body);
  }

  /** @internal */
  private closeAfter(res: ServerResponse): void {
    res.shouldKeepAlive = false;
    this.isLastTaken = true;
  }

  /** @internal */
  private get isFull(): boolean {
    if (this.served >= MOST_SERVED) return true;
    const waitingBytes = this.owed.slice(1).reduce((sum, res) => sum + res.writableLength, 0);
    return waitingBytes >= MOST_WAITING_BYTES;
  }

  /** @internal */
  private beginWaiting(): void {
    while (this.waiting.length > 0 && !this.isFull) {
      this.served += 1;
      const next = this.waiting.shift();
      next?.begin(performance.now() - next.readAt);
    }
  }

  /** Node reads on by itself after each answer. @internal */
  private holdReading(): void {
    if (!this.isLastTaken && (this.waiting.length > 0 || this.isFull)) this.socket.pause();
  }

  /** @internal */
  private remove(res: ServerResponse): void {
    const index = this.owed.indexOf(res);
    if (index < 0) return;
    this.owed.splice(index, 1);
    this.served -= 1;
    this.hasAnswered = true;
    this.beginWaiting();
    if (this.waiting.length === 0 && !this.isFull) this.socket.resume();
    if (this.isIdle && this.error !== undefined) answerClientError(this.error, this.socket);
  }

  /** Node tells a caller's leaving only to the answer whose turn it is. @internal */
  private withdraw(): void {
    this.waiting.length = 0;
    for (const res of this.owed.splice(0)) res.emit('close');
  }

  /** @internal */
  private endSoon(): void {
    const { socket } = this;
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  }
}
