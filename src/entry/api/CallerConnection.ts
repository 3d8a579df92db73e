import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ClientError } from '../exchange/clientErrors.js';
import { answerClientError, getClientProblem, refuseConnect } from '../exchange/clientErrors.js';
import { getProblemHeaders, writeProblemBody } from '../exchange/problem.js';

/**
 * Maximum number of requests of one connection that are served concurrently. Their answers are
 * buffered in memory until the first one is complete: with answers of 256 KB each, up to 4 MB per
 * connection.
 */
const MAX_CONCURRENT_REQUESTS = 16;

/** No further request is started while at least this many bytes of answers are buffered. */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/**
 * Requests after the final one of a connection are read and discarded up to this number, so that a
 * disconnect of the caller is noticed.
 */
const MAX_DISCARDED_REQUESTS = 200;

/** Time after the final answer during which data from the caller is still read, in milliseconds. */
const LINGER_MS = 1_000;

/** Starts to serve a request that was read `queuedMs` milliseconds ago. */
export type StartRequest = (queuedMs: number) => void;

interface QueuedRequest {
  /** When the request was read, in monotonic milliseconds. */
  readonly readAt: number;
  readonly start: StartRequest;
}

/**
 * One caller's connection. Callers may pipeline requests; answers are returned in the order of the
 * requests.
 *
 * A caller treats requests after an answer that closes the connection as unprocessed and sends them
 * again. If such a request had been sent to a target, it would run without a recipient for its
 * answer, or twice. The connection therefore closes with the answer to the final request that was
 * accepted, and accepts none after it.
 */
export class CallerConnection {
  /** Unfinished answers, in the order of their requests. @internal */
  private readonly pendingAnswers: ServerResponse[] = [];

  /** Requests that were read and wait until the connection has capacity. @internal */
  private readonly queue: QueuedRequest[] = [];

  /** Requests that were started and aren't completely answered yet. @internal */
  private activeRequestCount = 0;

  /** Requests received after the final one. @internal */
  private discardedRequestCount = 0;

  /** Whether the request whose answer closes the connection is known. @internal */
  private hasFinalRequest = false;

  /** @internal */
  private hasAnswered = false;

  /** Answers what ends the connection, once all earlier requests are answered. @internal */
  private answerEnd: (() => void) | undefined;

  /** @param socket - The connection. */
  constructor(private readonly socket: Socket) {
    socket.once('close', () => this.handleClose());
    socket.on('resume', () => this.pauseReadingIfFull());
    // Node destroys the socket after the final answer. If unread requests follow, that resets the
    // connection, and the caller loses the answer.
    socket.destroySoon = () => this.endWithLinger();
  }

  /** Whether the connection is idle between requests: it had an answer, and none is unfinished. */
  get isIdle(): boolean {
    return this.hasAnswered && this.pendingAnswers.length === 0;
  }

  /**
   * Accepts a request that was read.
   * @param res - The request's answer.
   * @param isFinal - Whether the answer closes the connection.
   * @param start - Starts to serve the request. Called once the connection has capacity; never
   * called if an earlier answer closes the connection.
   */
  acceptRequest(res: ServerResponse, isFinal: boolean, start: StartRequest): void {
    if (this.hasFinalRequest) {
      this.discardRequest();
      return;
    }
    if (isFinal || !res.shouldKeepAlive) this.closeAfter(res);
    this.pendingAnswers.push(res);
    res.once('close', () => this.removeAnswer(res));
    this.queue.push({ readAt: performance.now(), start });
    this.startQueuedRequests();
    this.pauseReadingIfFull();
  }

  /** Makes the answer to the latest open request, if there is one, close the connection. */
  endKeepAlive(): void {
    const last = this.pendingAnswers.at(-1);
    if (last !== undefined && !last.headersSent) this.closeAfter(last);
  }

  /**
   * Answers a parser error after the answers to all earlier requests. Closing the connection
   * immediately would abort requests that targets are processing.
   * @param err - Node's parser error.
   */
  handleParserError(err: ClientError): void {
    const last = this.pendingAnswers.at(-1);
    const isBody = last !== undefined && !last.req.complete;
    this.hasFinalRequest = true;
    if (isBody && !last.headersSent) this.answerMalformedBody(last, err);
    else this.endWith(() => answerClientError(err, this.socket));
  }

  /**
   * Refuses a CONNECT request after the answers to all earlier requests: a caller matches answers to
   * requests by their order.
   */
  refuseConnect(): void {
    const { socket } = this;
    this.hasFinalRequest = true;
    this.replaceNodeListeners();
    this.endWith(() => {
      refuseConnect(socket);
      this.endWithLinger();
    });
  }

  /**
   * Does what Node's listeners did that it removes at a CONNECT request: open answers go on when the
   * caller reads, and end when it leaves.
   * @internal
   */
  private replaceNodeListeners(): void {
    const { socket } = this;
    socket.on('drain', () => this.pendingAnswers[0]?.emit('drain'));
    socket.on('error', () => socket.destroy());
    socket.once('end', () => socket.end());
    socket.resume();
  }

  /** @internal */
  private endWith(answer: () => void): void {
    if (this.pendingAnswers.length === 0) answer();
    else this.answerEnd ??= answer;
  }

  /** @internal */
  private discardRequest(): void {
    this.discardedRequestCount += 1;
    if (this.discardedRequestCount >= MAX_DISCARDED_REQUESTS) this.socket.pause();
  }

  /** @internal */
  private answerMalformedBody(res: ServerResponse, err: ClientError): void {
    const problem = getClientProblem(err);
    const body = writeProblemBody(problem);
    res.shouldKeepAlive = false;
    res.writeHead(problem.status, getProblemHeaders(problem, body.length));
    res.end(body);
  }

  /** @internal */
  private closeAfter(res: ServerResponse): void {
    res.shouldKeepAlive = false;
    this.hasFinalRequest = true;
  }

  /** @internal */
  private get isFull(): boolean {
    if (this.activeRequestCount >= MAX_CONCURRENT_REQUESTS) return true;
    const bufferedBytes = this.pendingAnswers
      .slice(1)
      .reduce((sum, res) => sum + res.writableLength, 0);
    return bufferedBytes >= MAX_BUFFERED_ANSWER_BYTES;
  }

  /** @internal */
  private startQueuedRequests(): void {
    while (this.queue.length > 0 && !this.isFull) {
      this.activeRequestCount += 1;
      const next = this.queue.shift();
      next?.start(performance.now() - next.readAt);
    }
  }

  /** Pauses reading if needed; Node resumes the socket after each answer. @internal */
  private pauseReadingIfFull(): void {
    if (!this.hasFinalRequest && (this.queue.length > 0 || this.isFull)) this.socket.pause();
  }

  /** @internal */
  private removeAnswer(res: ServerResponse): void {
    const index = this.pendingAnswers.indexOf(res);
    if (index < 0) return;
    this.pendingAnswers.splice(index, 1);
    this.activeRequestCount -= 1;
    this.hasAnswered = true;
    this.startQueuedRequests();
    if (this.queue.length === 0 && !this.isFull) this.socket.resume();
    if (this.isIdle) this.answerEnd?.();
  }

  /**
   * Emits `close` on every unfinished answer: when the caller disconnects, Node emits it only on
   * the answer whose turn it is.
   * @internal
   */
  private handleClose(): void {
    this.queue.length = 0;
    for (const res of this.pendingAnswers.splice(0)) res.emit('close');
  }

  /** @internal */
  private endWithLinger(): void {
    const { socket } = this;
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  }
}
