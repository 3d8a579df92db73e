import type {
  LocalAnswer,
  LocalOutcome,
  RequestId,
  ServiceName,
  StoredAnswer,
  TargetId,
  ZoneName,
} from '../../core/index.js';
import type { RawHeaders } from './headers.js';
import type { RequestBody } from './RequestBody.js';

/** A request's head, as it goes on to a target or peer. */
export interface RequestHead {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Without hop-by-hop headers, with Via and X-Forwarded-For extended. */
  readonly headers: RawHeaders;
}

/** The target that an answer comes from. */
export interface AnswerOrigin {
  readonly target: TargetId;
  readonly zone: ZoneName;
}

/** An answer's head, as it goes on to the caller. */
export interface AnswerHead {
  readonly status: number;
  /** Without hop-by-hop headers. */
  readonly headers: RawHeaders;
  readonly contentType: string | undefined;
  /** Size of the body in bytes, if the head tells it. */
  readonly contentLength?: number;
  /** The answer's end shows only in the end of its connection, so the caller's must show it too. */
  readonly endsWithConnection: boolean;
  /** Absent if a peer made the answer itself. */
  readonly origin?: AnswerOrigin;
  /** Set if a peer made the answer itself. */
  readonly ownOutcome?: LocalOutcome;
}

/** Where an answer comes from; it sends nothing more after a refused `write` until resumed. */
export interface AnswerSource {
  resume(): void;
}

/** Where an answer goes. */
export interface AnswerSink {
  /**
   * Sends the head.
   * @param head - Status and headers.
   * @param source - To be resumed when there is room again.
   */
  begin(head: AnswerHead, source: AnswerSource): void;
  /**
   * Sends a piece of the body; false if the source is to wait for `resume`.
   * @param chunk - The piece.
   */
  write(chunk: Buffer): boolean;
  /** All of the answer was written. */
  end(): void;
}

/** One request at this process and the one who waits for its answer: a caller, or a peer. */
export interface Exchange extends AnswerSink {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly caller: string;
  readonly fingerprint: string;
  /** Value of the Idempotency-Key header. */
  readonly key?: string;
  readonly head: RequestHead;
  readonly body: RequestBody;
  /**
   * Answers in masticlink's own name.
   * @param answer - What to say.
   */
  answer(answer: LocalAnswer): void;
  /**
   * Answers with what was kept under the request's key.
   * @param answer - The kept answer.
   */
  replay(answer: StoredAnswer): void;
  /** Breaks off, so that a part of an answer is not taken for the whole. */
  abort(): void;
}
