import { performance } from 'node:perf_hooks';

import type { CancelTimer, Clock } from './Clock.js';

/** The monotonic clock and the timers of the process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  after(delayMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  }
}
