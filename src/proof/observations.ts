import type { ConfigRoot, LocalOutcome, ServiceName, ZoneName } from '../core/index.js';
import type { TargetStart } from '../standIns/models/index.js';

/** A request as its caller makes it. */
export interface CallerRequest {
  /** Identity of this sending by the caller; a resend with the same key has another. */
  readonly uid: string;
  readonly service: ServiceName;
  readonly caller: string;
  readonly method: string;
  readonly fingerprint: string;
  readonly key?: string;
  /** Service time at a healthy, warm target, in milliseconds. */
  readonly serviceMs?: number;
  /** Time that the caller allows, in milliseconds. */
  readonly deadlineMs?: number;
  readonly zone?: ZoneName;
}

/** What a caller saw in the end. */
export type CallerAnswer =
  /** Whole answer of a target; `ofUid` is the request it answers. */
  | { readonly kind: 'answered'; readonly status: number; readonly ofUid: string }
  | {
      readonly kind: 'own';
      readonly status: number;
      readonly outcome: LocalOutcome;
      readonly code: string;
      readonly retryAfterMs?: number;
    }
  /** Replay of what was kept under the key; `ofUid` is the request that ran. */
  | { readonly kind: 'replayed'; readonly ofUid: string }
  /** The answer stopped short or the connection ended without one. */
  | { readonly kind: 'broken' }
  /** No connection came about: the VM's process had ended. */
  | { readonly kind: 'refused' }
  /** The caller gave up waiting. */
  | { readonly kind: 'gaveUp' };

/** What is seen from outside the cores: at targets, callers, the store and the processes' edges. */
export type Observation =
  | { readonly kind: 'targetStarted'; readonly start: TargetStart }
  | { readonly kind: 'targetFellOver'; readonly target: string }
  /** A process hands a request or a probe to its network, monotonic time of the proof. */
  | {
      readonly kind: 'sentToTarget';
      readonly vm: string;
      readonly target: string;
      readonly isProbe: boolean;
    }
  | { readonly kind: 'callerSent'; readonly request: CallerRequest; readonly vm: string }
  | {
      readonly kind: 'callerAnswered';
      readonly request: CallerRequest;
      readonly vm: string;
      readonly answer: CallerAnswer;
      readonly tookMs: number;
    }
  /** A process gave a request a second answer. */
  | { readonly kind: 'answeredTwice'; readonly vm: string; readonly uid: string }
  | { readonly kind: 'accepted'; readonly root: ConfigRoot }
  | { readonly kind: 'inForce'; readonly vm: string; readonly generation: number }
  | { readonly kind: 'life'; readonly vm: string; readonly change: LifeChange };

/** What becomes of an entry process. */
export type LifeChange = 'started' | 'paused' | 'resumed' | 'stopAsked' | 'exited' | 'killed';

/** Hears all observations in order. */
export type Observe = (observation: Observation, at: number) => void;
