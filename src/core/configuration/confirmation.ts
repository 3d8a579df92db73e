import type { EntryState } from '../EntryState.js';

/** Stands for "never confirmed", since not every codec supports infinity. */
const MAX_CONFIRMATION_AGE_MS = 1e9;

/**
 * Returns the milliseconds since the current configuration was last confirmed to be the latest.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function getConfirmationAgeMs(state: EntryState, now: number): number {
  const ageMs = Math.round(now - state.configuration.confirmedAt);
  return Math.min(MAX_CONFIRMATION_AGE_MS, Math.max(0, ageMs));
}

/**
 * Records a confirmation that no later generation than `generation` had been accepted at some time.
 * It is ignored if the current configuration is earlier, since that one is then outdated.
 * @param state - The process's state.
 * @param generation - The latest generation at that time.
 * @param at - Monotonic milliseconds of this process, no later than the time of the confirmation.
 */
export function recordConfirmation(state: EntryState, generation: number, at: number): void {
  const { configuration } = state;
  if (generation > configuration.current.generation) return;
  configuration.confirmedAt = Math.max(configuration.confirmedAt, at);
}
