import type { Clock } from './Clock.js';

/**
 * Resolves after some time.
 * @param clock - Time to go by.
 * @param ms - How long, in milliseconds.
 * @example
 * await sleep(clock, 250);
 */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
