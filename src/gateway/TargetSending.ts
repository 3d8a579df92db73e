import type { ClientRequest, IncomingMessage } from 'node:http';
import { request } from 'node:http';

import type { AttemptEnd, Destination } from '../balancing/index.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import type { TargetHead } from '../platform/index.js';
import { readTargetHead, writeTargetHeaders } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import type { TargetAgent } from './TargetAgent.js';

/** A connection to a target that does not come about in this time is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/**
 * Answers up to this size are read as a whole before anything goes to the caller, in bytes: one that
 * stops short can then still be made good by another target. Larger ones are passed on as they come.
 */
const WHOLE_ANSWER_BYTES = 256 * 1024;

const MISDIRECTED = 421;
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
/** Statuses that say to a caller that its request has not run. */
const SAYS_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** What is sent. */
export interface SendingParts {
  readonly agent: TargetAgent;
  readonly clock: Clock;
  readonly to: Destination;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without those that concern one connection. */
  readonly headers: readonly string[];
  /** Undefined if the request has no body. */
  readonly body: Buffer | undefined;
  readonly callerRequestId: string | undefined;
  readonly allowedMs: number;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** An answer that can be delivered: its body as far as it is here, and what follows of it. */
export interface TargetAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The rest of a large body; undefined if `body` is all of it. */
  readonly rest: IncomingMessage | undefined;
}

/** Whether nothing but the end of the connection tells where an answer's body ends. */
function isEndedByClose({ headers, statusCode }: IncomingMessage): boolean {
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !isFramed && statusCode !== NO_CONTENT && statusCode !== NOT_MODIFIED;
}

/** One sending of a request to a target. */
export class TargetSending {
  /** Set once the sending has ended with an answer. */
  answer: TargetAnswer | undefined;

  /** @internal */
  private readonly req: ClientRequest;

  /** @internal */
  private isConnected = false;

  /** @internal */
  private isOver = false;

  /** @param parts - What is sent, and where. */
  constructor(private readonly parts: SendingParts) {
    const { to, method, path, body, headers, agent, allowedMs } = parts;
    const [host, port] = to.address.split(':');
    const written = writeTargetHeaders(headers, to.target, allowedMs, body?.length);
    this.req = request({ host, port, method, path, agent, headers: written });
    const connectTimer = setTimeout(() => this.giveUpConnecting(), CONNECT_TIMEOUT_MS);
    this.req.once('socket', (socket) => {
      const connected = (): void => {
        this.isConnected = true;
        clearTimeout(connectTimer);
      };
      if (socket.connecting) socket.once('connect', connected);
      else connected();
    });
    this.req.once('response', (res) => this.read(res));
    this.req.once('error', () => this.finish({ kind: this.isConnected ? 'broken' : 'unsent' }));
    this.req.once('close', () => {
      clearTimeout(connectTimer);
      this.finish({ kind: this.isConnected ? 'broken' : 'unsent' });
    });
    this.req.end(body);
  }

  /** Breaks the sending off; nothing more is told of it. */
  cancel(): void {
    this.isOver = true;
    this.req.destroy();
  }

  /** @internal */
  private giveUpConnecting(): void {
    if (this.isConnected) return;
    this.finish({ kind: 'unsent' });
    this.req.destroy();
  }

  /** @internal */
  private finish(end: AttemptEnd): void {
    if (this.isOver) return;
    this.isOver = true;
    this.parts.onEnd(end);
  }

  /** @internal */
  private read(res: IncomingMessage): void {
    const status = res.statusCode ?? 0;
    const head = readTargetHead(res.headers, true, this.parts.clock.now());
    const end = this.judgeHead(status, head);
    if (end !== undefined) {
      this.finish(end);
      // What follows on this connection can't be trusted, unless the target just said no.
      if (end.kind === 'rejected') res.resume();
      else this.req.destroy();
      return;
    }
    if (isEndedByClose(res)) this.checkEnd(res);
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= WHOLE_ANSWER_BYTES) return;
      res.off('data', onData);
      res.pause();
      this.complete(status, res, chunks, head, res);
    };
    res.on('data', onData);
    res.once('end', () => {
      if (res.complete) this.complete(status, res, chunks, head, undefined);
      else this.finish({ kind: 'broken' });
      this.endEarlyAnswer();
    });
    res.once('aborted', () => this.finish({ kind: 'broken' }));
    res.once('error', () => this.finish({ kind: 'broken' }));
  }

  /**
   * Makes sure that an answer which ends with its connection was not cut off by a reset.
   *
   * A reset that comes together with the last bytes is reported as an ordinary end, since there was
   * something to read; the caller would take what is here for the whole answer. A write tells the
   * two apart: after a reset it fails at once. An empty line before a request means nothing.
   * @internal
   */
  private checkEnd(res: IncomingMessage): void {
    const { socket } = res;
    // Otherwise the connection could no longer be written to once the target has ended its side.
    socket.allowHalfOpen = true;
    socket.prependOnceListener('end', () => {
      socket.write('\r\n', (err) => {
        if (!err) return;
        this.finish({ kind: 'broken' });
        res.destroy(err);
      });
    });
  }

  /** What the head alone decides; undefined if the body is to be read. @internal */
  private judgeHead(status: number, head: TargetHead): AttemptEnd | undefined {
    const { callerRequestId } = this.parts;
    if (head.hasNotRun) return { kind: 'rejected', reading: head.reading, limit: head.limit };
    if (status === MISDIRECTED) return { kind: 'misdirected' };
    // A late answer to an earlier request on this connection; its own answer may yet be made.
    if (callerRequestId !== undefined && head.callerRequestId !== callerRequestId) {
      return { kind: 'spoilt' };
    }
    const isSuccess = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    if (isSuccess && !head.isSigned) return { kind: 'spoilt' };
    return head.isEncoded ? { kind: 'spoilt' } : undefined;
  }

  /** @internal */
  private complete(
    status: number,
    res: IncomingMessage,
    chunks: readonly Buffer[],
    { reading, limit }: TargetHead,
    rest: IncomingMessage | undefined,
  ): void {
    if (this.isOver) return;
    const { headers } = cleanHeaders(res.rawHeaders);
    // Without its word that it has not run, a status that says so would be a false promise.
    const isFalse = SAYS_NOT_RUN.has(status);
    this.answer = {
      status: isFalse ? BAD_GATEWAY : status,
      headers: isFalse ? [] : headers,
      body: isFalse ? Buffer.alloc(0) : Buffer.concat(chunks),
      rest: isFalse ? undefined : rest,
    };
    this.finish({ kind: 'answered', status, reading, limit });
  }

  /**
   * A target that answered before it had all of the request would take the rest of its body for the
   * start of the next request on this connection.
   * @internal
   */
  private endEarlyAnswer(): void {
    if (!this.req.writableFinished) this.req.destroy();
  }
}
