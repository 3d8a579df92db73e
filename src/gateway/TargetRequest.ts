import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { request } from 'node:http';

import type { AttemptResult, TargetStatements } from '../balancing/index.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import type { TargetHead } from '../platform/index.js';
import { readStatements, readTargetHead } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import type { BodyMemory, MemoryReservation } from './BodyMemory.js';
import type { AnswerFraming } from './AnswerEnd.js';
import { AnswerEnd, getFraming } from './AnswerEnd.js';
import { SendingTrace } from './SendingTrace.js';
import { skipAnswer } from './skipAnswer.js';

/** Timeout for connecting to a target, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/**
 * Answers up to this size, in bytes, are buffered completely before anything is sent to the caller,
 * so that a truncated answer can still be replaced by another target's. Larger ones are streamed.
 */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** Largest body of a rejection that is read, so that its connection stays usable, in bytes. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** Time in which the body of a rejection must have ended, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1_000;

/** Interim answers (1xx) to one request; a faulty target may send them without end. */
const MAX_INTERIM_ANSWERS = 16;

/** Answers to other requests that are skipped while the answer to one request is awaited. */
const MAX_SKIPPED_ANSWERS = 4;

/**
 * How long the connection of a cancelled request stays open, in milliseconds. A rejection may be on
 * its way, and its target expects that it is heeded.
 */
const CANCEL_DELAY_MS = 15;

const MISDIRECTED_REQUEST = 421;
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
/** Statuses from which a caller concludes that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Stands for the memory of an answer without a body. */
const NO_RESERVATION: MemoryReservation = { grow: () => false, release: () => {} };

const BAD_GATEWAY = 502;

/** A request to a target, or to another entry VM, and where to send it. */
export interface TargetRequestOptions {
  readonly agent: Agent;
  readonly clock: Clock;
  /** Memory for the part of the answer that is buffered. */
  readonly memory: BodyMemory;
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, as they are sent. */
  readonly headers: readonly string[];
  /** Undefined if the request has no body. */
  readonly body: Buffer | undefined;
  /** Answers that name another request are skipped; undefined if answers cannot be told apart. */
  readonly callerRequestId?: string;
  /** Returns the outcome if the head of the answer decides it, undefined if the body is needed. */
  classifyHead(head: AnswerHead): AttemptResult | undefined;
  readonly onEnd: (end: AttemptResult, trace: SendingTrace) => void;
  /** Called for each answer to another request that is skipped. */
  readonly onSkip?: (head: AnswerHead) => void;
  /** Called at most once, with the statements of an answer that arrives just after a cancel. */
  readonly onLateStatements?: (statements: TargetStatements) => void;
}

/** Why the rest of an answer is passed on as it comes. */
export interface PassOnReason {
  readonly reason: 'large' | 'noMemory';
  readonly framing: AnswerFraming;
  /** Bytes that had been read by then. */
  readonly bufferedBytes: number;
  /** Memory that was reserved for all bodies by then, in bytes. */
  readonly reservedBytes: number;
}

/** The part of a large answer that is passed on as it comes. */
export interface AnswerRemainder {
  readonly stream: IncomingMessage;
  readonly framing: AnswerFraming;
  /** Whether the stream's end is the end of the answer. */
  readonly end: AnswerEnd;
}

/** A target's answer that can be forwarded to the caller. */
export interface TargetAnswer {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** The body as far as it has been read. */
  readonly body: Buffer;
  /** The rest of a large body; undefined if `body` is complete. */
  readonly remainder: AnswerRemainder | undefined;
  /** Undefined if `body` is complete. */
  readonly passOnReason: PassOnReason | undefined;
  /** Memory of `body`. */
  readonly reservation: MemoryReservation;
}

/** What the head of an answer says. */
export interface AnswerHead extends TargetHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly statements: TargetStatements;
}

/**
 * Returns what an answer to another request still states about the target. A pause has begun when
 * its own request was rejected, and a misdirected request was answered by another target.
 * @param status - Status of the answer.
 * @param statements - All that it states.
 */
export function getLastingStatements(
  status: number,
  statements: TargetStatements,
): TargetStatements {
  return status === MISDIRECTED_REQUEST ? {} : { ...statements, pauseMs: undefined };
}

/**
 * Classifies the head of a target's answer.
 * @param callerRequestId - Id of the request, if its caller gave one.
 * @param head - The head.
 * @returns Undefined if the body has to be read.
 * @example
 * classifyTargetHead('r-1', head)?.kind; // 'spoilt' if the answer names another request
 */
export function classifyTargetHead(
  callerRequestId: string | undefined,
  { status, reading, limit, statements, ...head }: AnswerHead,
): AttemptResult | undefined {
  // A late answer to an earlier request on this connection says nothing about this request, which
  // the target may run. This is checked before any statement that the request has not run.
  if (head.callerRequestId !== callerRequestId) {
    return { kind: 'spoilt', ...getLastingStatements(status, statements) };
  }
  // It also says that it has not run the request, but load and statements are of another target.
  if (status === MISDIRECTED_REQUEST) return { kind: 'misdirected' };
  if (head.hasNotRun) return { kind: 'rejected', reading, limit, ...statements };
  const isSuccess = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  const isTrusted = (!isSuccess || head.isSigned) && !head.isEncoded;
  return isTrusted ? undefined : { kind: 'spoilt', ...statements };
}

function getStatements(end: AttemptResult): TargetStatements {
  return 'isDraining' in end ? end : {};
}

/** One HTTP request to a target, made for one attempt. */
export class TargetRequest {
  /** The answer; set before `onEnd` is called with `answered`. */
  answer: TargetAnswer | undefined;

  /** @internal */
  private readonly req: ClientRequest;

  /** @internal */
  private isConnected = false;

  /** @internal */
  private hasEnded = false;

  /** Answers to other requests that have been skipped. @internal */
  private skippedCount = 0;

  /** How the request ends if its own answer does not follow those skipped. @internal */
  private endWithoutAnswer: AttemptResult | undefined;

  /** @internal */
  private readonly trace: SendingTrace;

  /** Memory of the answer as far as it is buffered. @internal */
  private reservation: MemoryReservation | undefined;

  /** @param options - The request and its target. */
  constructor(private readonly options: TargetRequestOptions) {
    const { address, method, path, body, headers, agent } = options;
    this.trace = new SendingTrace(options.clock);
    const [host, port] = address.split(':');
    this.req = request({ host, port, method, path, agent, headers });
    const connectTimer = setTimeout(() => this.abortConnecting(), CONNECT_TIMEOUT_MS);
    this.req.once('socket', (socket) => {
      this.trace.start(socket);
      const markConnected = (): void => {
        this.isConnected = true;
        clearTimeout(connectTimer);
      };
      if (socket.connecting) socket.once('connect', markConnected);
      else markConnected();
    });
    this.req.on('response', (res) => this.readResponse(res));
    let interimAnswers = 0;
    this.req.on('information', () => {
      interimAnswers += 1;
      if (interimAnswers <= MAX_INTERIM_ANSWERS) return;
      this.finish({ kind: 'spoilt' });
      this.req.destroy();
    });
    this.req.once('error', () => this.finishUnanswered());
    this.req.once('close', () => {
      clearTimeout(connectTimer);
      this.finishUnanswered();
    });
    this.req.end(body);
  }

  /** Aborts the request; `onEnd` is not called afterwards. */
  cancel(): void {
    const isAnswerAwaited = this.isConnected && !this.hasEnded;
    this.hasEnded = true;
    this.reservation?.release();
    if (isAnswerAwaited) setTimeout(() => this.req.destroy(), CANCEL_DELAY_MS);
    else this.req.destroy();
  }

  /** @internal */
  private abortConnecting(): void {
    if (this.isConnected) return;
    this.finish({ kind: 'unsent' });
    this.req.destroy();
  }

  /** @internal */
  private finishUnanswered(): void {
    this.finish(this.endWithoutAnswer ?? { kind: this.isConnected ? 'broken' : 'unsent' });
  }

  /** @internal */
  private finish(end: AttemptResult): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    if (end.kind !== 'answered') this.reservation?.release();
    this.options.onEnd(end, this.trace);
  }

  /** @internal */
  private readResponse(res: IncomingMessage): void {
    const status = res.statusCode ?? 0;
    const statements = readStatements(res.headers, status);
    const { headers } = res;
    const targetHead = readTargetHead(headers, true, this.options.clock.now());
    const head = { ...targetHead, status, headers, statements };
    this.trace.head = head;
    const end = this.options.classifyHead(head);
    if (this.hasEnded) {
      this.options.onLateStatements?.(end === undefined ? statements : getStatements(end));
      this.req.destroy();
      return;
    }
    if (end !== undefined && this.mayOwnAnswerFollow(head)) {
      this.endWithoutAnswer = end;
      this.skippedCount += 1;
      this.options.onSkip?.(head);
      skipAnswer(this.req, res);
      return;
    }
    if (end !== undefined) {
      this.finish(end);
      // Unless the target merely rejected the request, the connection cannot be trusted any more.
      if (end.kind === 'rejected') this.discardBody(res);
      else this.req.destroy();
      return;
    }
    const framing = getFraming(this.options.method, res);
    const answerEnd = new AnswerEnd(this.req, res, framing);
    const chunks: Buffer[] = [];
    let size = 0;
    this.reservation = this.options.memory.tryReserve(0);
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      const hasRoom = this.reservation?.grow(chunk.length) === true;
      // Without room, a truncated answer can no longer be replaced, but nothing is lost.
      if (hasRoom && size <= MAX_BUFFERED_ANSWER_BYTES) return;
      res.off('data', onData);
      res.pause();
      const remainder = { stream: res, framing, end: answerEnd };
      this.completeAnswer(status, res, chunks, head, remainder, {
        reason: hasRoom ? 'large' : 'noMemory',
        framing,
        bufferedBytes: size,
        reservedBytes: this.options.memory.reservedBytes,
      });
    };
    res.on('data', onData);
    answerEnd.subscribe((outcome) => {
      if (outcome === 'whole') this.completeAnswer(status, res, chunks, head);
      else this.finish({ kind: 'broken' });
    });
    res.once('end', () => this.destroyIfRequestIncomplete());
  }

  /**
   * Whether an answer is a late one, to another request or a probe, behind which the own one may
   * come. Probes have no id, and share connections with requests.
   * @internal
   */
  private mayOwnAnswerFollow(head: AnswerHead): boolean {
    const { callerRequestId: own } = this.options;
    const { callerRequestId: id, target, hasNotRun, status, headers } = head;
    if (own === undefined || this.skippedCount >= MAX_SKIPPED_ANSWERS) return false;
    // Probes are never misdirected, as they name no target.
    const isOfProbe = status !== MISDIRECTED_REQUEST && (target !== undefined || hasNotRun);
    const isOfOther = id === undefined ? isOfProbe : id !== own;
    return isOfOther && headers.connection?.toLowerCase() !== 'close';
  }

  /** Reads the body of a rejection to its end, or closes the connection. @internal */
  private discardBody(res: IncomingMessage): void {
    let size = 0;
    const timer = setTimeout(() => this.req.destroy(), DISCARD_TIMEOUT_MS);
    res.once('close', () => {
      // Otherwise the target does not read the rest of the request, and the connection stays in use.
      if (this.req.writableFinished) clearTimeout(timer);
    });
    res.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) this.req.destroy();
    });
  }

  /** @internal */
  private completeAnswer(
    status: number,
    res: IncomingMessage,
    chunks: readonly Buffer[],
    { reading, limit, statements }: AnswerHead,
    remainder?: AnswerRemainder,
    passOnReason?: PassOnReason,
  ): void {
    if (this.hasEnded) return;
    const { headers } = cleanHeaders(res.rawHeaders);
    // The target did not confirm that the request has not run, so the caller must not conclude it.
    const isMisleading = NOT_RUN_STATUSES.has(status);
    this.answer = {
      status: isMisleading ? BAD_GATEWAY : status,
      headers: isMisleading ? [] : headers,
      body: isMisleading ? Buffer.alloc(0) : Buffer.concat(chunks),
      remainder: isMisleading ? undefined : remainder,
      passOnReason: isMisleading ? undefined : passOnReason,
      reservation: this.reservation ?? NO_RESERVATION,
    };
    if (isMisleading && remainder !== undefined) this.req.destroy();
    this.finish({ kind: 'answered', status, reading, limit, ...statements });
  }

  /** Closes the connection of an answer that is not delivered, unless the answer is complete. */
  discardAnswer(): void {
    this.reservation?.release();
    this.answer?.remainder?.stream.destroy();
  }

  /**
   * Destroys the connection of a target that answered before it had received the whole request: it
   * would take the rest of the body for the start of the next request on this connection.
   * @internal
   */
  private destroyIfRequestIncomplete(): void {
    if (!this.req.writableFinished) this.req.destroy();
  }
}
