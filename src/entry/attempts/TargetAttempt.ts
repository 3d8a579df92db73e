import type { Dispatcher } from 'undici';

import type { AttemptEnd, CoreEvent } from '../../core/index.js';
import type { AnswerOrigin, AnswerSink, AnswerSource, Exchange } from '../exchange/Exchange.js';
import { cleanHeaders, endsInChunks } from '../exchange/headers.js';
import type { Attempt } from './Attempt.js';
import type { AttemptReporter } from './AttemptReporter.js';
import { readLoadReport, readRetryAfterMs } from './loadReport.js';
import type { TargetDispatchOptions } from './TargetClient.js';
import type { TargetConnection } from './TargetConnection.js';

const FIRST_FINAL_STATUS = 200;

/**
 * A cancelled attempt's answer is read to its end if its declared length is at most this many
 * bytes, so that the connection can be reused.
 */
const MAX_DRAINED_ANSWER_BYTES = 16 * 1024;

const VIA = '1.1 masticlink';

/** Dependencies of an attempt to a target. */
export interface TargetAttemptParts {
  readonly attempt: number;
  readonly exchange: Exchange;
  readonly dispatcher: Dispatcher;
  readonly reporter: AttemptReporter;
  readonly origin: AnswerOrigin;
  /** Whether the request may still be sent; checked just before its first byte is written. */
  readonly canSend: () => boolean;
  /** Time left until the request's deadline, in milliseconds; passed on to the target. */
  readonly remainingMs: number;
  /** Called if the request's body exceeds the size limit while it is streamed. */
  readonly onBodyTooLarge: () => void;
}

/**
 * An attempt that sends a request to a target. undici calls `onConnect` just before it writes the
 * first byte: after an error before that call the request has certainly not been sent (`notSent`),
 * after a later error it may have run.
 */
export class TargetAttempt implements Attempt, AnswerSource, Dispatcher.DispatchHandler {
  /** @internal */
  private abortRequest: ((err?: Error) => void) | undefined;

  /** @internal */
  private resumeReading: (() => void) | undefined;

  /** @internal */
  private hasStartedWriting = false;

  /** @internal */
  private isDrainable = false;

  /** @internal */
  private connection: TargetConnection | undefined;

  /** Whether the close of the connection is the end of the answer. @internal */
  private endsWithConnection = false;

  /** @param parts - The request to send, and the dispatcher that sends it. */
  constructor(private readonly parts: TargetAttemptParts) {}

  /** Sends the request. */
  start(): void {
    const { exchange, dispatcher, remainingMs, onBodyTooLarge } = this.parts;
    const { method, path, headers } = exchange.head;
    const options: TargetDispatchOptions = {
      method,
      path,
      headers: [...headers, 'masticlink-deadline-ms', String(Math.max(0, Math.floor(remainingMs)))],
      body: exchange.body.open(onBodyTooLarge),
      // The core enforces deadlines; undici's own timeouts would abort requests within them.
      headersTimeout: 0,
      bodyTimeout: 0,
      onConnection: (connection) => {
        this.connection = connection;
      },
    };
    dispatcher.dispatch(options, this);
  }

  cancel(): void {
    this.stop('cancelled');
  }

  /** Ends the attempt at its deadline. If no byte was written, the target has received nothing. */
  expire(): void {
    this.stop(this.hasStartedWriting ? 'timedOut' : 'notSent');
  }

  relayTo(sink: AnswerSink): void {
    if (this.parts.reporter.startRelay(sink, this)) this.resume();
  }

  resume(): void {
    this.resumeReading?.();
  }

  /** @internal */
  onConnect(abort: (err?: Error) => void): void {
    this.abortRequest = abort;
    // A second call is a retry by undici. The request may have run, so it must not be sent again.
    const isStale = this.parts.reporter.hasEnded || this.hasStartedWriting;
    // If the process was paused while the connection was established, it resumes here. By then its
    // lease may have expired, and another process may be sending to the target.
    if (isStale || !this.parts.canSend()) abort();
    else this.hasStartedWriting = true;
  }

  /** @internal */
  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < FIRST_FINAL_STATUS) return true;
    this.resumeReading = resume;
    const clean = cleanHeaders(raw);
    const load = readLoadReport(clean);
    const retryAfterMs = readRetryAfterMs(clean);
    const event: CoreEvent = {
      kind: 'attemptAnswered',
      attempt: this.parts.attempt,
      status,
      load,
      retryAfterMs,
    };
    clean.headers.push('Via', clean.via === undefined ? VIA : `${clean.via}, ${VIA}`);
    const { headers, contentType, transferEncoding } = clean;
    const isFramed =
      transferEncoding === undefined
        ? clean.contentLength !== undefined
        : endsInChunks(transferEncoding);
    const { origin } = this.parts;
    const contentLength =
      clean.contentLength === undefined ? undefined : Number(clean.contentLength);
    const endsWithConnection = !isFramed;
    this.endsWithConnection = endsWithConnection;
    const head = { status, headers, contentType, contentLength, endsWithConnection, origin };
    this.isDrainable = contentLength !== undefined && contentLength <= MAX_DRAINED_ANSWER_BYTES;
    return this.parts.reporter.reportHead(head, event);
  }

  /** @internal */
  onData(chunk: Buffer): boolean {
    return this.parts.reporter.relayChunk(chunk);
  }

  /** @internal */
  onComplete(): void {
    const isCut = this.endsWithConnection && this.connection?.wasReset === true;
    this.parts.reporter.reportEnd(isCut ? 'cut' : 'complete');
  }

  /** @internal */
  onError(): void {
    if (!this.hasStartedWriting) this.parts.reporter.reportEnd('notSent');
    else this.parts.reporter.reportEnd(this.parts.reporter.hasHead ? 'cut' : 'reset');
  }

  /** @internal */
  private stop(end: AttemptEnd): void {
    const { reporter } = this.parts;
    const canDrain = reporter.hasHead && !reporter.isRelayed && this.isDrainable;
    reporter.reportEnd(end);
    // Reading the few remaining bytes is cheaper for the target than a new connection.
    if (canDrain) this.resumeReading?.();
    else this.abortRequest?.();
  }
}
