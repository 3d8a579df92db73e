import { isZoneOut } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import { isConfigurationFresh } from '../fleet/index.js';
import type { ServiceName, TargetId } from '../model/index.js';
import { getFreeSlots } from './getFreeSlots.js';
import type { LocalTarget } from './TargetsState.js';

/** Prefers warm targets, since those in cold start take longer, and then more free slots. */
function isBetter(record: LocalTarget, free: number, best: LocalTarget, bestFree: number): boolean {
  const isWarm = record.phase === 'warm';
  if (isWarm !== (best.phase === 'warm')) return isWarm;
  return free > bestFree;
}

/**
 * Chooses the target of a service with the most free slots, a warm one if possible; undefined if no
 * slot is free or this process's configuration may be outdated.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param now - Monotonic milliseconds.
 * @param tried - Targets that the request was sent to before; chosen only if there is no other.
 */
export function chooseTarget(
  state: EntryState,
  service: ServiceName,
  now: number,
  tried?: readonly TargetId[],
): LocalTarget | undefined {
  if (!isConfigurationFresh(state, now)) return undefined;
  let best: LocalTarget | undefined;
  let bestFree = 0;
  let fallback: LocalTarget | undefined;
  for (const record of state.targets.byService.get(service) ?? []) {
    const free = record.reservedFor === undefined ? getFreeSlots(state, record, now) : 0;
    if (free === 0 || isZoneOut(state, record.config.zone)) continue;
    if (tried?.includes(record.config.id)) {
      fallback = record;
    } else if (best === undefined || isBetter(record, free, best, bestFree)) {
      best = record;
      bestFree = free;
    }
  }
  return best ?? fallback;
}
