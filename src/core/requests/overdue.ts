import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { reject } from './finish.js';

/** Time after a deadline in which the adapters should report it themselves, in milliseconds. */
const DEADLINE_GRACE_MS = 500;

/**
 * Rejects requests whose deadline passed without a report from the adapter, so that no caller waits
 * for an answer that will never come.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function rejectOverdue(state: EntryState, context: Context): Effect[] {
  const effects: Effect[] = [];
  for (const record of state.requests.requests.values()) {
    const isRelaying = record.relayedAttempt !== undefined;
    if (isRelaying || record.deadlineAt + DEADLINE_GRACE_MS > context.now) continue;
    effects.push(...reject(state, record, 'deadline-passed'));
  }
  return effects;
}
