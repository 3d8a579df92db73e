import type { CoreSettings } from '../core/index.js';

/** Share of the store's call budget reserved for reports; the rest is the core's. */
export const REPORT_STORE_SHARE = 0.1;

/** Minimum time between two flushes, in milliseconds. */
export const FLUSH_PERIOD_MS = 10_000;

/** Maximum number of writes per flush: one addition and one retry after a conflict. */
const WRITES_PER_FLUSH = 2;

/**
 * Computes the time between two flushes of an entry VM, in milliseconds. If the VM is lost, the counts
 * since its last flush are lost too. The period grows with the size of the fleet, so that all entry VMs
 * together stay within the report's share of the store's budget.
 * @param settings - Core settings, from which the report's share is already deducted.
 * @example
 * timers.subscribe(getFlushPeriodMs(settings.core), () => void levels.flush(recorder, Date.now()));
 */
export function getFlushPeriodMs(
  settings: Pick<CoreSettings, 'maxEntryVms' | 'storeWritesPerSecond'>,
): number {
  const { maxEntryVms, storeWritesPerSecond } = settings;
  const reportWrites = (storeWritesPerSecond / (1 - REPORT_STORE_SHARE)) * REPORT_STORE_SHARE;
  const neededMs = ((maxEntryVms * WRITES_PER_FLUSH) / reportWrites) * 1_000;
  return Math.max(FLUSH_PERIOD_MS, Math.ceil(neededMs));
}
