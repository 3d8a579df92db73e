import type { AttemptId, RequestId, TargetId } from '../core/model/index.js';
import type { CrashNews } from '../crashes/index.js';
import type { ForwardTerms } from './events.js';
import type { EvidenceKind } from './evidence.js';
import type { QuotaAnswer, QuotaAsk } from '../quotas/index.js';
import type { LimitedTarget, LimitReport, PermitAnswer, PermitAsk } from '../limits/index.js';

/** Why this entry VM answers a request locally, without an answer from a target. */
export type LocalAnswerReason =
  /** No configuration is known yet. */
  | 'notConfigured'
  | 'noRoute'
  | 'stopping'
  /** The caller's API key is missing or unknown. */
  | 'unknownKey'
  /** The organisation has used up its quota. */
  | 'overQuota'
  /** The service has no usable target. */
  | 'noTarget'
  /** All usable targets have rate limits, and these are used up. */
  | 'limited'
  /** All usable targets want no requests from this VM for some time. */
  | 'paused'
  /** Targets crashed whenever they ran the request. */
  | 'crashesTargets'
  /** All targets that were probed are full, or would answer too late. */
  | 'overloaded'
  /** Targets rejected the request, and it may not be sent to another one. */
  | 'rejected'
  /** Like `rejected`, but the target that rejected it last had free slots. */
  | 'rejectedWithRoom'
  /** A target may have run the request, but its answer was lost. */
  | 'targetFailed'
  /**
   * The route's or the caller's timeout passed while a target may have been running the request.
   */
  | 'timedOut';

/** Target that a request or a probe is sent to. */
export interface Destination {
  readonly target: TargetId;
  readonly bornAt: number;
  /** IP address and port. */
  readonly address: string;
}

/** A log line. Values of its fields are numbers, strings and lists of these. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: BalancerLogEvent;
  readonly fields: Readonly<Record<string, unknown>>;
  /** Kinds of evidence that a refusal rests on; counted and not logged. */
  readonly evidence?: readonly EvidenceKind[];
}

/** Events that the balancer logs; `docs/OPERATIONS.md` lists their fields. */
export type BalancerLogEvent =
  | 'request.sent'
  | 'request.answered'
  | 'request.refused'
  | 'request.failed'
  | 'request.callerLeft'
  | 'answer.passedOn'
  | 'answer.cut'
  | 'answer.skipped'
  | 'request.kept'
  | 'retry.granted'
  | 'retry.refused'
  | 'request.forwarded'
  | 'forward.failed'
  | 'service.unreachable'
  | 'service.reachable'
  | 'request.suspected'
  | 'request.cleared'
  | 'crash.notCounted'
  | 'attempt.failed'
  | 'target.added'
  | 'target.removed'
  | 'target.draining'
  | 'target.failing'
  | 'target.sound'
  | 'target.dead'
  | 'target.alive'
  | 'target.cold'
  | 'target.limited'
  | 'target.unlimited'
  | 'target.limitUnreadable'
  | 'target.paused'
  | 'target.pauseUnreadable'
  | 'target.headerUnread'
  | 'permit.issuerSilent'
  | 'quota.issuerSilent'
  | 'admission.level'
  | 'service.learnt'
  | 'config.adopted'
  | 'zones.out'
  | 'rollout.state'
  | 'rollout.stage'
  | 'vms.changed'
  | 'vms.listed';

/** Instructions to the process. */
export type BalancerEffect =
  | { readonly kind: 'probe'; readonly to: Destination; readonly path: string }
  | {
      readonly kind: 'sendAttempt';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly to: Destination;
      /** Time until the request's deadline, in milliseconds. */
      readonly allowedMs: number;
      /** Name of the caller's organisation; undefined if it has none. */
      readonly organisation?: string;
    }
  /** Passes a request on to another VM. */
  | {
      readonly kind: 'forwardRequest';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly vm: string;
      /** Time until the caller's timeout, in milliseconds. */
      readonly allowedMs: number;
      readonly terms: ForwardTerms;
    }
  /** Closes idle connections to targets, since they may be dead. */
  | { readonly kind: 'dropIdleConnections'; readonly targets: readonly Destination[] }
  /** Cancels an attempt or a forward; for an attempt at most a `statementsRead` event follows, for an answer on its way. */
  | { readonly kind: 'cancelAttempt'; readonly attempt: AttemptId }
  /** Delivers the answer of a completed attempt to the caller. */
  | {
      readonly kind: 'deliver';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      /** When the caller must have the whole answer, in monotonic milliseconds. */
      readonly deadlineAt: number;
    }
  | {
      readonly kind: 'answer';
      readonly request: RequestId;
      readonly status: number;
      readonly reason: LocalAnswerReason;
      /**
       * After how long the caller should retry, in milliseconds; set only if the request has not
       * run and will not run.
       */
      readonly retryAfterMs?: number;
    }
  /** Requests a `wakeDue` event at a time; it replaces an earlier one for the same request. */
  | { readonly kind: 'wake'; readonly request: RequestId; readonly at: number }
  /** Requests a permit to send to a limited target from another VM. */
  | { readonly kind: 'askPermit'; readonly vm: string; readonly ask: PermitAsk }
  /** Answers another VM's request for a permit. */
  | { readonly kind: 'answerPermit'; readonly to: string; readonly answer: PermitAnswer }
  /** Returns an unused permit to the VM that issued it. */
  | { readonly kind: 'returnPermit'; readonly vm: string; readonly target: LimitedTarget }
  /** Asks another VM for a permit to send a request of an organisation. */
  | { readonly kind: 'askQuota'; readonly vm: string; readonly ask: QuotaAsk }
  /** Answers another VM that has asked for such a permit. */
  | { readonly kind: 'answerQuota'; readonly to: string; readonly answer: QuotaAnswer }
  /** Returns an unused permit of an organisation to the VM that issued it. */
  | { readonly kind: 'returnQuota'; readonly vm: string; readonly organisation: string }
  /** Tells a few other VMs which limits targets have advertised. */
  | { readonly kind: 'gossipLimits'; readonly reports: readonly LimitReport[] }
  /** Tells a few other VMs which requests were running on targets that crashed. */
  | { readonly kind: 'gossipCrashes'; readonly news: CrashNews }
  | LogEffect;
