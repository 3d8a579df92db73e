import type { Effect } from '../effects.js';
import type { LoadReport } from '../events.js';
import { turnCold } from './coldStart.js';
import type { LocalTarget } from './TargetsState.js';

/** Reported load, as a share of its slots, from which a target counts as full. */
const FULL_LOAD = 0.9;
/** Shortest time between two reductions by reports, in milliseconds: reports are repeated. */
const MIN_LOWER_INTERVAL_MS = 100;

/**
 * Lowers the limit by one if the target reports a full load that the requests of this process don't
 * explain. Reports may be stale or wrong, so they never lower it below half of the slots.
 */
function lowerLimitByLoad(record: LocalTarget, load: number, now: number): void {
  const { slots } = record.service.capacity;
  const isLoadedByOthers = load >= FULL_LOAD && record.outstanding.size * 2 < slots;
  if (!isLoadedByOthers || now - record.loadLoweredAt < MIN_LOWER_INTERVAL_MS) return;
  record.loadLoweredAt = now;
  record.limit = Math.min(record.limit, Math.max(Math.ceil(slots / 2), record.limit - 1));
}

/**
 * Applies a target's report about itself: its boot id, whether it is draining, and its load.
 * @param record - The target.
 * @param report - The report.
 * @param sentAt - When the request or probe that returned the report was sent.
 * @param now - Monotonic milliseconds.
 */
export function applyLoadReport(
  record: LocalTarget,
  report: LoadReport,
  sentAt: number,
  now: number,
): Effect[] {
  const effects: Effect[] = [];
  if (report.bootId !== undefined && sentAt >= record.bootSince) {
    const hasRestarted = record.bootId !== undefined && record.bootId !== report.bootId;
    if (record.bootId !== report.bootId) record.bootSince = sentAt;
    record.bootId = report.bootId;
    if (hasRestarted) effects.push(...turnCold(record, 'restarted', now));
  }
  if (report.draining === true && record.hold === undefined) {
    record.hold = 'draining';
    effects.push({
      kind: 'log',
      level: 'info',
      part: 'targets',
      text: `${record.config.id} is draining: it gets no new requests`,
    });
  }
  if (report.load !== undefined) lowerLimitByLoad(record, report.load, now);
  return effects;
}
