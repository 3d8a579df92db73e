import type { LocalOutcome, ServiceSpare } from '../core/index.js';

/** First frame of a forwarded request. */
export interface ForwardHead {
  readonly kind: 'head';
  readonly service: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly key?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  /** Time left until the deadline, in milliseconds; the clocks of two VMs can't be compared. */
  readonly remainingMs: number;
  readonly contentLength?: number;
  /** The whole body, if it has been read already; no body frames follow then. */
  readonly body?: Uint8Array;
}

/** A chunk of the body of a request or an answer. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly data: Uint8Array;
}

/** Last frame of a request whose body is sent in body frames. */
export interface RequestBodyEnd {
  readonly kind: 'end';
}

/** First frame of the answer to a forwarded request. */
export interface ForwardAnswerHead {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: readonly string[];
  readonly contentType?: string;
  readonly endsWithConnection: boolean;
  /** Set if the peer produced the answer itself, without one from a target. */
  readonly ownOutcome?: LocalOutcome;
  readonly retryAfterMs?: number;
  readonly spare?: ServiceSpare;
  /** Target that answered, and its zone; both absent if the peer produced the answer itself. */
  readonly target?: string;
  readonly zone?: string;
}

/** Last frame of an answer, complete or not. */
export interface AnswerEnd {
  readonly kind: 'end';
  /** False if the answer was cut short. */
  readonly whole: boolean;
}

/** Frames that the forwarding entry VM sends to the peer. */
export type ForwardFrame = ForwardHead | BodyFrame | RequestBodyEnd;

/** Frames that the peer sends back to the forwarding entry VM. */
export type AnswerFrame = ForwardAnswerHead | BodyFrame | AnswerEnd;
