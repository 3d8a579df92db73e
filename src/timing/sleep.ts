import type { Clock } from './Clock.js';

/**
 * Resolves after a delay.
 * @param clock - Clock that runs the timer.
 * @param ms - Delay in milliseconds.
 * @example
 * await sleep(clock, 250);
 */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
