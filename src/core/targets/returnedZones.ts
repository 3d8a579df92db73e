import { isZoneOut } from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ZoneName } from '../model/index.js';
import { turnCold } from './coldStart.js';

/**
 * Marks the targets of each zone that has returned to service as cold.
 *
 * The process doesn't know what operators did while a zone was out. Its targets may have restarted,
 * and would fail under their earlier load, with resets just after the zone's return.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function turnReturnedZonesCold(state: EntryState, context: Context): Effect[] {
  const { zonesOut, records } = state.targets;
  const returned = new Set<ZoneName>();
  for (const zone of zonesOut) if (!isZoneOut(state, zone)) returned.add(zone);
  for (const zone of returned) zonesOut.delete(zone);
  for (const zone of state.configuration.zones.keys()) {
    if (isZoneOut(state, zone)) zonesOut.add(zone);
  }
  if (returned.size === 0) return [];
  return [...records.values()]
    .filter((record) => returned.has(record.config.zone))
    .flatMap((record) => turnCold(record, 'zone-back', context.now));
}
