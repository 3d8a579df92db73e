import type { BalancerContext } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';

/**
 * Creates what the reducer knows besides state and events.
 * @param clock - Source of the current time.
 * @param random - Source of random numbers from 0 to 1.
 */
export function createContext(clock: Clock, random: () => number): BalancerContext {
  return {
    get now() {
      return clock.now();
    },
    random,
  };
}
