import type { LocalOutcome, ServiceSpare } from '../core/index.js';

/** The head of a forwarded request. */
export interface ForwardHead {
  readonly kind: 'head';
  readonly service: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly key?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  /** Time left until the deadline, in milliseconds: the clocks of two VMs can't be compared. */
  readonly remainingMs: number;
  readonly contentLength?: number;
  /** The whole body, if it is there already; no body frames follow then. */
  readonly body?: Uint8Array;
}

/** A piece of a body. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly data: Uint8Array;
}

/** The end of a request's body. */
export interface BodyEnd {
  readonly kind: 'end';
}

/** The head of an answer. */
export interface ForwardAnswer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: readonly string[];
  readonly contentType?: string;
  readonly endsWithConnection: boolean;
  /** Set if the peer made the answer itself. */
  readonly ownOutcome?: LocalOutcome;
  readonly retryAfterMs?: number;
  readonly spare?: ServiceSpare;
  /** The target that answered, and its zone; absent if the peer made the answer itself. */
  readonly target?: string;
  readonly zone?: string;
}

/** The end of an answer, or its breaking off. */
export interface AnswerEnd {
  readonly kind: 'end';
  /** False if the answer stopped short. */
  readonly whole: boolean;
}

/** From the origin to the peer. */
export type ForwardFrame = ForwardHead | BodyFrame | BodyEnd;

/** From the peer to the origin. */
export type AnswerFrame = ForwardAnswer | BodyFrame | AnswerEnd;
