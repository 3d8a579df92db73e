import type { AttemptId, RequestId, ServiceName, TargetId } from '../core/model/index.js';
import type { Route } from './model.js';
import type { SendingBasis } from './ServiceCurve.js';
import type { TargetRecord } from './TargetRecord.js';
import type { VersionLane } from './versions.js';

/** One sending of a request to a target. */
export interface Sending {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly target: TargetRecord;
  readonly sentAt: number;
  /** What was expected of it, without what is learnt of the target itself, in milliseconds. */
  readonly expectedMs: number;
  /** Work that the request was thought to be, in milliseconds. */
  readonly workMs: number;
  readonly basis: SendingBasis;
  /** When it takes too long, so that the target is taken for slow; monotonic milliseconds. */
  readonly overdueAt: number;
  isOverdue: boolean;
}

/** Targets asked for their load on behalf of one request. */
export interface ProbeRound {
  readonly startedAt: number;
  /** Targets whose probe, or a permit to send to them, is awaited. */
  readonly waitingFor: Set<TargetId>;
  /** Targets that permits were asked for. */
  readonly permitsAsked: Set<TargetRecord>;
}

/** A request's way from its arrival to its answer. */
export interface Journey {
  readonly request: RequestId;
  /** Id that the caller gave it. */
  readonly callerRequestId: string | undefined;
  readonly route: Route;
  readonly service: ServiceName;
  /** Version that it is for, while its service moves to another one. */
  lane: VersionLane;
  readonly arrivedAt: number;
  /** How long before its arrival the caller asked first, in milliseconds. */
  readonly sinceFirstMs: number;
  /** When the answer must be there to meet the route's objective; monotonic milliseconds. */
  readonly dueAt: number;
  /** End of the route's or the caller's time, whichever is sooner; monotonic milliseconds. */
  readonly deadlineAt: number;
  /** When the caller gives up by itself; monotonic milliseconds. */
  readonly callerLeavesAt: number;
  round: ProbeRound | undefined;
  /** Rounds of probes begun so far. */
  rounds: number;
  /** No further round before this time, unless a probe answers. */
  nextRoundAt: number;
  readonly sendings: Set<Sending>;
  /** Targets that it was sent to. */
  readonly tried: Set<TargetId>;
  /** Whether a target may have run it. */
  mayHaveRun: boolean;
  /** Whether the sending that is looked for now is a repeat that was taken from the budget. */
  isRepeatPaid: boolean;
  /** Whether a second sending was looked for beside the first. */
  isHedged: boolean;
}
