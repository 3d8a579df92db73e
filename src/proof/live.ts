import type {
  AttemptEnd,
  AttemptId,
  LocalOutcome,
  RequestId,
  ServiceSpare,
  StoredAnswer,
} from '../core/index.js';
import type { CancelTimer } from '../timing/index.js';
import type { CallerRequest } from './observations.js';

/** Head of an answer on its way back to who asked. */
export type AnswerHead =
  | { readonly kind: 'relayed'; readonly status: number; readonly ofUid: string }
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | {
      readonly kind: 'own';
      readonly status: number;
      readonly outcome: LocalOutcome;
      readonly code: string;
      readonly retryAfterMs?: number;
    };

/** Way back from a process to the caller, or to the peer that forwarded. */
export interface AnswerPort {
  answered(head: AnswerHead, spare?: ServiceSpare): void;
  ended(end: 'complete' | 'cut'): void;
  /** The process ended; `silent` if its machine died with it. */
  lost(silent: boolean): void;
}

/** A request within one process. */
export interface LiveRequest {
  readonly id: RequestId;
  readonly asked: CallerRequest;
  readonly port: AnswerPort;
  readonly attempts: Map<AttemptId, LiveAttempt>;
  /** The sending whose answer goes back, once one does. */
  relayed?: AttemptId;
}

/** A sending within one process. */
export interface LiveAttempt {
  readonly id: AttemptId;
  readonly request: LiveRequest;
  ended?: AttemptEnd;
  head?: AnswerHead;
  /** Stops what goes on at the other end. */
  cancelRemote?: () => void;
  cancelDeadline?: CancelTimer;
  /** Target whose connection it uses. */
  connectionTo?: string;
}
