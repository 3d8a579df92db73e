import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { getLeaseEnd } from '../fleet/index.js';

/**
 * Cancels the attempts at targets in cold start once this process's lease has expired.
 *
 * The next holder starts such a target with one request. If an attempt of this process were still
 * running there, the target would get two at once and fail. Attempts are cancelled when the lease
 * ends, rather than given shorter deadlines from the start, so that an answer which takes longer
 * than a lease can complete while the lease is renewed. A process that is paused cancels late, and
 * attempts older than its lease may then overlap with the next holder's.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function cancelOnColdTargets(state: EntryState, now: number): Effect[] {
  if (now < getLeaseEnd(state)) return [];
  const effects: Effect[] = [];
  for (const record of state.targets.records.values()) {
    if (record.phase === 'warm') continue;
    for (const [attempt, outstanding] of record.outstanding) {
      if (outstanding.recalled) continue;
      outstanding.recalled = true;
      effects.push({ kind: 'cancelAttempt', attempt });
    }
  }
  return effects;
}
