import type { ServiceName } from '../core/model/index.js';
import type { BalancerState } from './BalancerState.js';

/**
 * Returns for each service after how many milliseconds the last of its paused targets accepts
 * requests from this entry VM again; 0 if none is paused.
 * @param state - State of this entry VM.
 * @param now - Monotonic milliseconds.
 */
export function getLongestPauses(
  { targetsByService }: BalancerState,
  now: number,
): ReadonlyMap<ServiceName, number> {
  return new Map(
    [...targetsByService].map(([service, records]) => [
      service,
      Math.max(0, ...records.map(({ notices }) => notices.pausedUntil - now)),
    ]),
  );
}
