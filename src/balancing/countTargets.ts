import type { ServiceName } from '../core/model/index.js';
import type { BalancerState } from './BalancerState.js';
import { getLimit } from './limits.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining, isPaused } from './TargetRecord.js';

/** State of a target as shown in metrics; the first one that applies, in this order. */
export type TargetStanding =
  'draining' | 'zoneOut' | 'dead' | 'paused' | 'cold' | 'limited' | 'usable';

/** All states, in the order in which they are checked. */
export const TARGET_STANDINGS: readonly TargetStanding[] = [
  'draining',
  'zoneOut',
  'dead',
  'paused',
  'cold',
  'limited',
  'usable',
];

function getStanding(state: BalancerState, record: TargetRecord, now: number): TargetStanding {
  if (isDraining(record)) return 'draining';
  if (state.zonesOut.has(record.entry.zone)) return 'zoneOut';
  if (record.deadUntil > now) return 'dead';
  if (isPaused(record, now)) return 'paused';
  if (record.coldUntil > now) return 'cold';
  return getLimit(state, record, now) === undefined ? 'usable' : 'limited';
}

/**
 * Counts each service's targets by their state as this entry VM sees it.
 *
 * A VM that has lost its targets refuses its callers while all other VMs serve theirs. Comparing
 * these counts between VMs shows it at once.
 * @param state - State of this entry VM.
 * @param now - Monotonic milliseconds.
 * @example
 * countTargets(state, clock.now()).get('horaires')?.usable;
 */
export function countTargets(
  state: BalancerState,
  now: number,
): ReadonlyMap<ServiceName, Readonly<Record<TargetStanding, number>>> {
  const counts = new Map<ServiceName, Record<TargetStanding, number>>();
  // A service without targets is reported as zero instead of being missing.
  for (const service of [...state.services.keys(), ...state.targetsByService.keys()]) {
    const zeros = TARGET_STANDINGS.map((standing) => [standing, 0]);
    counts.set(service, Object.fromEntries(zeros) as Record<TargetStanding, number>);
  }
  for (const record of state.targets.values()) {
    const count = counts.get(record.entry.service);
    if (count !== undefined) count[getStanding(state, record, now)] += 1;
  }
  return counts;
}
