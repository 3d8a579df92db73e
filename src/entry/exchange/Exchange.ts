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

/** A request's head, as it is sent on to a target or peer. */
export interface RequestHead {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Without hop-by-hop headers, with Via and X-Forwarded-For extended. */
  readonly headers: RawHeaders;
}

/** The target that produced an answer. */
export interface AnswerOrigin {
  readonly target: TargetId;
  readonly zone: ZoneName;
}

/** An answer's head, as it is relayed to the caller. */
export interface AnswerHead {
  readonly status: number;
  /** Without hop-by-hop headers. */
  readonly headers: RawHeaders;
  readonly contentType: string | undefined;
  /** Size of the body in bytes, if the head declares it. */
  readonly contentLength?: number;
  /**
   * Whether only the close of the connection marks the end of the answer. The connection to the
   * caller must then be closed too.
   */
  readonly endsWithConnection: boolean;
  /** Absent if the peer generated the answer itself. */
  readonly origin?: AnswerOrigin;
  /** Set if the peer generated the answer itself. */
  readonly ownOutcome?: LocalOutcome;
}

/** Source of an answer. After a `write` that returned false, it pauses until it is resumed. */
export interface AnswerSource {
  resume(): void;
}

/** Destination of an answer. */
export interface AnswerSink {
  /**
   * Sends the head.
   * @param head - Status and headers.
   * @param source - Resumed when the sink has room again.
   */
  begin(head: AnswerHead, source: AnswerSource): void;
  /**
   * Sends a chunk of the body; returns false if the source must pause until it is resumed.
   * @param chunk - The chunk.
   */
  write(chunk: Buffer): boolean;
  /** Ends the answer, once all of it has been written. */
  end(): void;
}

/** A request at this process, and the connection to the caller or peer that awaits its answer. */
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
   * Sends an answer that masticlink generated.
   * @param answer - The answer.
   */
  answer(answer: LocalAnswer): void;
  /**
   * Sends the answer that was stored under the request's idempotency key.
   * @param answer - The stored answer.
   */
  replay(answer: StoredAnswer): void;
  /** Aborts the connection, so that a partial answer isn't mistaken for a complete one. */
  abort(): void;
}
