import type {
  AttemptId,
  PartitionId,
  ServiceConfig,
  ServiceName,
  TargetConfig,
  TargetHandover,
  TargetId,
  TargetPhase,
  ZoneName,
} from '../model/index.js';
import { LatencyDistribution } from './LatencyDistribution.js';

/** An attempt at a target that has not ended, so its slot is not free yet. */
export interface OutstandingAttempt {
  readonly startedAt: number;
  /** Fingerprint of the request, by which crash suspects are identified. */
  readonly fingerprint: string;
  /** Whether the head of the answer has arrived; the body may still be incomplete. */
  answered: boolean;
  /** Whether its target died while holding it; its own end then doesn't count as another death. */
  lost: boolean;
  /** Whether it was cancelled because this process's lease expired. */
  recalled: boolean;
}

/** Why a target gets no new requests, independent of its free slots. */
export type HoldReason =
  /** The target reported that it is draining. */
  | 'draining'
  /** It was removed from its service, or its partition went to another entry VM. */
  | 'removed';

/** A target that this process holds, with its limit, health and outstanding attempts. */
export interface LocalTarget {
  config: TargetConfig;
  /** Configuration of its service that is in force. */
  service: ServiceConfig;
  readonly partition: PartitionId;
  phase: TargetPhase;
  /** Requests that may be outstanding at the target; at most its declared slots. */
  limit: number;
  readonly outstanding: Map<AttemptId, OutstandingAttempt>;
  /** Set while it gets no new requests, whatever its limit and health. */
  hold?: HoldReason;
  /** When it last became cold; answers to earlier requests are no evidence of its state. */
  coldSince: number;
  /** Good answers since the limit last changed. */
  goodAnswers: number;
  /** Log likelihood ratio, from answers, that the target is slow; see `slowness`. */
  slowScore: number;
  /** Whether it counts as slow; it gets no new requests until those outstanding are answered. */
  slow: boolean;
  /** Consecutive failures: no connection, a reset, a failed probe, an error answer or a refusal. */
  failures: number;
  /** End of the backoff after failures; no new requests before it; monotonic milliseconds. */
  avoidUntil: number;
  /** End of the pause that the target asked for when it refused a request; monotonic milliseconds. */
  pausedUntil: number;
  /** Identifies the run of the target's process, by its last report. */
  bootId?: string;
  /** Answers to requests sent before this time may come from an earlier run of its process. */
  bootSince: number;
  /** When a load report last lowered the limit; monotonic milliseconds. */
  loadLoweredAt: number;
  /** Requests that the previous holder still has there, and when they must have ended. */
  inherited: number;
  inheritedUntil: number;
  /** Open connections to the target, as reported by the adapter. */
  connections: number;
  /** Whether the adapter has reported a connection of this target. */
  connectionsKnown: boolean;
  /** When a request or probe was last sent or answered; monotonic milliseconds. */
  usedAt: number;
  /** Whether a probe is outstanding. */
  probing: boolean;
  /** Slot time that probes may take now, in milliseconds, and when it was last refilled. */
  probeBudgetMs: number;
  probeBudgetAt: number;
  /** Request that waits until this target has no other requests, to run on it alone. */
  reservedFor?: number;
  /** Attempt that runs alone on this target. */
  alone?: AttemptId;
}

/** Handover of a target by its previous holder, kept until this process holds the target. */
export interface PendingHandover {
  readonly handover: TargetHandover;
  readonly receivedAt: number;
}

/** State of the targets in this process's partitions. */
export interface TargetsState {
  /** Targets that this process holds, and released ones that still have requests outstanding. */
  readonly records: Map<TargetId, LocalTarget>;
  /** Targets that this process holds, by service; without released ones. */
  readonly byService: Map<ServiceName, LocalTarget[]>;
  readonly latencies: Map<ServiceName, LatencyDistribution>;
  readonly handovers: Map<TargetId, PendingHandover>;
  /** Zones that were out when the configuration was last adopted. */
  readonly zonesOut: Set<ZoneName>;
}

/** Creates the state of a process that holds no target. */
export function createTargetsState(): TargetsState {
  return {
    records: new Map(),
    byService: new Map(),
    latencies: new Map(),
    handovers: new Map(),
    zonesOut: new Set(),
  };
}
