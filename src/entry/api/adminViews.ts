import type { EntryState, Member, TargetPhase } from '../../core/index.js';

/** The fleet as one process sees it. */
export interface FleetSummary {
  readonly self: Member;
  readonly epoch: number;
  readonly members: readonly Member[];
  readonly partitions: number;
  readonly leaseRemainingMs: number | null;
  readonly stopping: boolean;
  readonly peers: readonly {
    readonly id: string;
    readonly zone: string;
    readonly heardMsAgo: number;
    readonly appliedEpoch: number;
    readonly generation: number;
    readonly leaving: boolean;
  }[];
}

/** A service as one process sees it. */
export interface ServiceSummary {
  readonly name: string;
  readonly targets: number;
  readonly drivenHere: number;
}

/** A target as seen by the process that drives it. */
export interface TargetSummary {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly partition: string;
  readonly phase: TargetPhase;
  readonly limit: number;
  readonly outstanding: number;
  /** One sentence that explains how many requests the target can take now. */
  readonly why: string;
}

type LocalTarget = EntryState['targets']['records'] extends Map<string, infer R> ? R : never;

/**
 * Summarizes the fleet as this process sees it.
 * @param state - The process's state; read-only.
 * @param now - Monotonic milliseconds.
 */
export function summarizeFleet(state: EntryState, now: number): FleetSummary {
  const { fleet, settings } = state;
  const remaining = fleet.leaseEnd - now;
  return {
    self: settings.self,
    epoch: fleet.assignment.epoch,
    members: fleet.assignment.members,
    partitions: fleet.granted.size,
    leaseRemainingMs: Number.isFinite(remaining) ? Math.round(remaining) : null,
    stopping: fleet.stopping,
    peers: [...fleet.peers.values()].map((peer) => ({
      id: peer.member.id,
      zone: peer.member.zone,
      heardMsAgo: Math.round(now - peer.lastHeardAt),
      appliedEpoch: peer.appliedEpoch,
      generation: peer.generation,
      leaving: peer.leaving,
    })),
  };
}

/**
 * Summarizes the services of the configuration in force at this process.
 * @param state - The process's state; read-only.
 */
export function summarizeServices(state: EntryState): ServiceSummary[] {
  return state.configuration.current.services.map(({ name }) => ({
    name,
    targets: state.configuration.targets.get(name)?.length ?? 0,
    drivenHere: state.targets.byService.get(name)?.length ?? 0,
  }));
}

function explainCapacity(state: EntryState, record: LocalTarget, now: number): string {
  if (state.configuration.zones.get(record.config.zone)?.state !== 'in') {
    return `operators have taken zone ${record.config.zone} out`;
  }
  if (now >= state.fleet.leaseEnd) return "this process's lease has lapsed";
  if (!state.fleet.granted.has(record.partition)) return 'its partition is driven elsewhere';
  if (record.phase !== 'warm') return `it is ${record.phase}: it takes ${record.limit} at once`;
  if (record.outstanding.size >= record.limit) return 'all it may take is outstanding';
  return `it takes ${record.limit - record.outstanding.size} more now`;
}

/**
 * Summarizes the targets that this process drives, and explains the capacity of each.
 * @param state - The process's state; read-only.
 * @param now - Monotonic milliseconds.
 */
export function summarizeTargets(state: EntryState, now: number): TargetSummary[] {
  return [...state.targets.records.values()].map((record) => ({
    id: record.config.id,
    service: record.config.service,
    zone: record.config.zone,
    address: record.config.address,
    partition: record.partition,
    phase: record.phase,
    limit: record.limit,
    outstanding: record.outstanding.size,
    why: explainCapacity(state, record, now),
  }));
}
