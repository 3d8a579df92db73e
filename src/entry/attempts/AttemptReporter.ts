import type { AttemptEnd, AttemptId, CoreEvent } from '../../core/index.js';
import type { AnswerHead, AnswerSink, AnswerSource, Exchange } from '../exchange/Exchange.js';
import { AnswerCopier } from './AnswerCopier.js';

/** Dependencies of an attempt's reporter. */
export interface AttemptReporterParts {
  readonly attempt: AttemptId;
  readonly exchange: Exchange;
  readonly dispatch: (event: CoreEvent) => void;
  /** Maximum body size of an answer stored under an idempotency key, in bytes. */
  readonly storedAnswerBytes: number;
  /** Called once, when the attempt ends. */
  readonly onEnded: (end: AttemptEnd) => void;
}

/**
 * Reports the progress of an attempt to the core and relays its answer. The end is reported exactly
 * once: a second report would free a slot that another request holds.
 */
export class AttemptReporter {
  /** @internal */
  private sink: AnswerSink | undefined;

  /** @internal */
  private head: AnswerHead | undefined;

  /** @internal */
  private readonly copier: AnswerCopier | undefined;

  /** Whether the end was reported. */
  hasEnded = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: AttemptReporterParts) {
    if (parts.exchange.key !== undefined) this.copier = new AnswerCopier(parts.storedAnswerBytes);
  }

  /** Whether the answer's head was received. */
  get hasHead(): boolean {
    return this.head !== undefined;
  }

  /** Whether the answer is being relayed. */
  get isRelayed(): boolean {
    return this.sink !== undefined;
  }

  /**
   * Reports the answer's head; returns whether the body may be read now.
   * @param head - Status and headers.
   * @param event - The event to dispatch to the core.
   */
  reportHead(head: AnswerHead, event: CoreEvent): boolean {
    this.head = head;
    this.copier?.recordHead(head.status, head.contentType ?? '');
    this.parts.dispatch(event);
    return this.sink !== undefined;
  }

  /**
   * Starts to relay the answer; returns false if its head hasn't been received or it is already
   * being relayed.
   * @param sink - Destination of the answer.
   * @param source - Source of the answer, which the sink resumes when it has room again.
   */
  startRelay(sink: AnswerSink, source: AnswerSource): boolean {
    if (this.head === undefined || this.sink !== undefined) return false;
    this.sink = sink;
    sink.begin(this.head, source);
    return true;
  }

  /**
   * Relays a chunk of the body; returns false if the source must pause.
   * @param chunk - The chunk.
   */
  relayChunk(chunk: Buffer): boolean {
    if (this.hasEnded) return true;
    this.copier?.addChunk(chunk);
    return this.sink?.write(chunk) ?? false;
  }

  /**
   * Reports the end of the attempt; only the first call has an effect.
   * @param end - How the attempt ended.
   */
  reportEnd(end: AttemptEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    if (end === 'complete') this.sink?.end();
    const { exchange, attempt, dispatch, onEnded } = this.parts;
    onEnded(end);
    const stored = end === 'complete' ? this.copier?.getStoredAnswer() : undefined;
    dispatch({
      kind: 'attemptEnded',
      attempt,
      end,
      bodyReplayable: exchange.body.isReplayable,
      stored,
    });
  }
}
