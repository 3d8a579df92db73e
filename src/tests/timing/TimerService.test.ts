import test from 'ava';

import type { Clock } from '../../timing/index.js';
import { TimerService } from '../../timing/index.js';

/** A clock that counts how often a timer fired. */
class CountingClock implements Clock {
  wakeUps = 0;

  private time = 0;

  private next: { readonly at: number; readonly action: () => void } | undefined;

  now(): number {
    return this.time;
  }

  after(delayMs: number, action: () => void): () => void {
    this.next = { at: this.time + delayMs, action };
    return () => {
      this.next = undefined;
    };
  }

  runUntil(end: number): void {
    while (this.next !== undefined && this.next.at <= end) {
      const { at, action } = this.next;
      this.time = at;
      this.next = undefined;
      this.wakeUps += 1;
      action();
    }
  }
}

test('calls that fall due near each other share one wake-up and keep their rates', (t) => {
  const clock = new CountingClock();
  const timers = new TimerService(clock, () => 5);
  const calls = { fast: 0, slow: 0 };
  timers.subscribe(5, () => {
    calls.fast += 1;
  });
  timers.subscribe(52, () => {
    calls.slow += 1;
  });
  clock.runUntil(1_000);
  t.is(calls.fast, 200);
  t.is(calls.slow, 18);
  t.is(clock.wakeUps, 200);
  timers.stop();
  clock.runUntil(2_000);
  t.is(clock.wakeUps, 200);
});
