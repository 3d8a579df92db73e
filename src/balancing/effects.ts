import type { AttemptId, RequestId, TargetId } from '../core/model/index.js';
import type { LimitedTarget, LimitReport, PermitAnswer, PermitAsk } from '../limits/index.js';

/** Why this entry VM answers a request itself. */
export type OwnReason =
  /** No configuration is known yet. */
  | 'notConfigured'
  | 'noRoute'
  | 'stopping'
  /** No target of the service may be used. */
  | 'noTarget'
  /** All targets that may be used have named limits, which are used up. */
  | 'limited'
  /** Every target that could be asked is full, or would answer too late. */
  | 'overloaded'
  /** Targets rejected it, and it may not be sent again. */
  | 'rejected'
  /** The same, though the target that rejected it last had free slots. */
  | 'rejectedWithRoom'
  /** A target may have run it, and its answer is lost. */
  | 'targetFailed'
  /** The route's or the caller's time is over while a target may be at work on it. */
  | 'timedOut';

/** Where a request or a probe goes. */
export interface Destination {
  readonly target: TargetId;
  readonly bornAt: number;
  /** IP number and port. */
  readonly address: string;
}

/** One line of the log. Values are numbers, texts and lists of these. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: BalancerLogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that the balancer logs; `docs/OPERATIONS.md` lists their fields. */
export type BalancerLogEvent =
  | 'request.sent'
  | 'request.answered'
  | 'request.refused'
  | 'request.failed'
  | 'request.callerLeft'
  | 'request.kept'
  | 'attempt.failed'
  | 'target.added'
  | 'target.removed'
  | 'target.draining'
  | 'target.dead'
  | 'target.alive'
  | 'target.cold'
  | 'target.limited'
  | 'target.unlimited'
  | 'target.limitUnreadable'
  | 'permit.issuerSilent'
  | 'service.learnt'
  | 'config.adopted'
  | 'zones.out'
  | 'rollout.state'
  | 'rollout.stage'
  | 'vms.changed';

/** What the process is to do. */
export type BalancerEffect =
  | { readonly kind: 'probe'; readonly to: Destination; readonly path: string }
  | {
      readonly kind: 'sendAttempt';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly to: Destination;
      /** Time that the target has, in milliseconds. */
      readonly allowedMs: number;
    }
  /** Breaks the sending off; nothing more is heard of it. */
  | { readonly kind: 'cancelAttempt'; readonly attempt: AttemptId }
  /** Gives the caller the answer of a sending that has ended. */
  | { readonly kind: 'deliver'; readonly request: RequestId; readonly attempt: AttemptId }
  | {
      readonly kind: 'answer';
      readonly request: RequestId;
      readonly status: number;
      readonly reason: OwnReason;
      /** When the caller may come back; set only if the request has not run and never will. */
      readonly retryAfterMs?: number;
    }
  /** Asks for a `wakeDue` at this time; a later one for the same request replaces it. */
  | { readonly kind: 'wake'; readonly request: RequestId; readonly at: number }
  /** Asks another VM for a permit to send to a limited target. */
  | { readonly kind: 'askPermit'; readonly vm: string; readonly ask: PermitAsk }
  /** Answers such an ask. */
  | { readonly kind: 'answerPermit'; readonly to: string; readonly answer: PermitAnswer }
  /** Gives a permit back to the VM that issued it. */
  | { readonly kind: 'returnPermit'; readonly vm: string; readonly target: LimitedTarget }
  /** Tells a few other VMs what targets said of their limits. */
  | { readonly kind: 'gossipLimits'; readonly reports: readonly LimitReport[] }
  | LogEffect;
