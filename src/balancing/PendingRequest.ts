import type { AttemptId, RequestId, ServiceName, TargetId } from '../core/model/index.js';
import type { Evidence } from './evidence.js';
import type { Route } from './model.js';
import type { LoadSnapshot } from './ServiceCurve.js';
import type { TargetRecord } from './TargetRecord.js';
import type { VersionTrack } from './versions.js';

/** One attempt to have a target answer a request. */
export interface PendingAttempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly target: TargetRecord;
  readonly sentAt: number;
  /** Expected time to the answer, without the target's own slowness, in milliseconds. */
  readonly expectedMs: number;
  /** Estimated work time of the request, in milliseconds. */
  readonly workMs: number;
  readonly load: LoadSnapshot;
  /** When the attempt counts as overdue and its target as slow; monotonic milliseconds. */
  readonly overdueAt: number;
  isOverdue: boolean;
}

/** One round of probes on behalf of a request. */
export interface ProbeRound {
  readonly startedAt: number;
  /** Targets whose probe result, or a permit for which, is awaited. */
  readonly awaitedTargets: Set<TargetId>;
  /** Targets that permits were asked for. */
  readonly permitTargets: Set<TargetRecord>;
}

/** A request that is passed on to another VM. */
export interface Forward {
  readonly id: AttemptId;
  readonly vm: string;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

/** Whether a request may be sent, as far as the quota of its organisation is concerned. */
export type QuotaState =
  /** Its organisation has no quota, or it has none. */
  | 'unlimited'
  /** No permit has been asked for, or the permit was returned. */
  | 'unasked'
  | 'awaited'
  | 'granted';

/** A permit of an organisation's quota that was asked for or granted. */
export interface QuotaPermit {
  readonly ask: number;
  /** VM that was asked. */
  readonly vm: string;
  /** Monotonic milliseconds. */
  readonly askedAt: number;
}

/** A request that has arrived and has no answer yet. */
export interface PendingRequest {
  readonly id: RequestId;
  /** Id that the caller gave it. */
  readonly callerRequestId: string | undefined;
  /** Hash of what the request asks for and for whom, the same for its copies at all entry VMs. */
  readonly fingerprint: string;
  /** Host header. */
  readonly host: string;
  /** Path with its query string. */
  readonly path: string;
  readonly route: Route;
  readonly service: ServiceName;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation: string | undefined;
  /** Digest of the API key by which it was admitted; undefined if it needs none. */
  readonly keyDigest: string | undefined;
  /** Priority of its organisation, or else of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Order of urgency among requests, by `combinePriorities`. */
  readonly urgency: number;
  quota: QuotaState;
  /** The permit that is awaited or held; undefined if there is none. */
  quotaPermit: QuotaPermit | undefined;
  /** Version that the request is for while its service is being moved to another one. */
  track: VersionTrack;
  readonly arrivedAt: number;
  /**
   * Estimated time between the caller's first try and this arrival, in milliseconds; 0 for a first
   * try.
   */
  readonly sinceFirstMs: number;
  /** Latest time of an answer that meets the route's objective; monotonic milliseconds. */
  readonly dueAt: number;
  /** The route's or the caller's timeout, whichever is sooner; monotonic milliseconds. */
  readonly deadlineAt: number;
  /** When the caller gives up on its own; monotonic milliseconds. */
  readonly callerTimeoutAt: number;
  /** Maximum number of targets that it is sent to by this VM. */
  maxTargets: number;
  /** Whether another VM has passed it on. */
  readonly isForwarded: boolean;
  /** Set while it is passed on to another VM. */
  forward: Forward | undefined;
  /** When it was first passed on; monotonic milliseconds. */
  searchStartedAt: number | undefined;
  /** VMs that it was passed on to. */
  readonly helpersTried: Set<string>;
  round: ProbeRound | undefined;
  /** Probe rounds started so far. */
  roundCount: number;
  /**
   * No further round starts before this time unless a probe result arrives; monotonic milliseconds.
   */
  nextRoundAt: number;
  readonly attempts: Set<PendingAttempt>;
  /** Targets that it was sent to. */
  readonly triedTargets: Set<TargetId>;
  /** Whether a target may have run it. */
  hasPossiblyRun: boolean;
  /** Why its latest sendings have not run, as far as that is certain. */
  evidence: readonly Evidence[];
  /** Number of sendings that have certainly not run. */
  evidenceCount: number;
  /** Whether a retry was taken from the budget that has not been sent yet. */
  hasUnsentRetry: boolean;
}
