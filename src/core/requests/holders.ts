import { getTargetsOf, isZoneOut } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import { getHolder, getPartition } from '../fleet/index.js';
import type { Assignment, FleetConfig, Member, ServiceName, TargetConfig } from '../model/index.js';

/** An entry VM that holds targets of a service under the assignment. */
export interface ServiceHolder {
  readonly member: Member;
  /** Number of the service's targets that it holds, in zones that are in. */
  readonly targets: number;
  /** Declared slots of those targets. */
  readonly slots: number;
}

interface CachedHolders {
  readonly assignment: Assignment;
  readonly config: FleetConfig;
  readonly targets: readonly TargetConfig[];
  readonly holders: readonly ServiceHolder[];
}

/** Holders by service, with the objects that they were computed from. */
export type HolderCache = Map<ServiceName, CachedHolders>;

function computeHolders(state: EntryState, service: ServiceName): ServiceHolder[] {
  const { members } = state.fleet.assignment;
  const slots = state.configuration.services.get(service)?.capacity.slots ?? 1;
  const counts = new Map<Member, number>();
  for (const target of getTargetsOf(state, service)) {
    if (isZoneOut(state, target.zone)) continue;
    const member = getHolder(getPartition(state.settings, target), members);
    if (member !== undefined) counts.set(member, (counts.get(member) ?? 0) + 1);
  }
  return [...counts].map(([member, targets]) => ({ member, targets, slots: targets * slots }));
}

/**
 * The entry VMs that hold a service's targets under the assignment. Recomputed only when the
 * assignment, the configuration or the service's targets change.
 * @param state - The process's state.
 * @param service - The service's name.
 */
export function getServiceHolders(
  state: EntryState,
  service: ServiceName,
): readonly ServiceHolder[] {
  const { assignment } = state.fleet;
  const config = state.configuration.current;
  const targets = getTargetsOf(state, service);
  const cached = state.requests.holders.get(service);
  const isCurrent =
    cached?.assignment === assignment && cached.config === config && cached.targets === targets;
  if (isCurrent) return cached.holders;
  const holders = computeHolders(state, service);
  state.requests.holders.set(service, { assignment, config, targets, holders });
  return holders;
}

/**
 * Whether an entry VM holds targets of a service.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param id - Identity of the entry VM.
 */
export function isHolderOf(state: EntryState, service: ServiceName, id: string): boolean {
  return getServiceHolders(state, service).some((holder) => holder.member.id === id);
}
