import test from 'ava';

import { Wakes } from '../../gateway/Wakes.js';
import { VirtualClock } from '../../proof/VirtualClock.js';

test('a request is looked at once, at the time that was set last', (t) => {
  // Two timers for one request would look for a second target for it, and it might run twice.
  const clock = new VirtualClock();
  const due: number[] = [];
  const wakes = new Wakes(clock, (request) => due.push(request));
  const start = clock.now();
  wakes.set(1, start + 50);
  wakes.set(1, start + 100);
  wakes.set(2, start + 60);
  wakes.set(3, start - 10);
  wakes.cancel(2);
  clock.runUntil(start + 80);
  t.deepEqual(due, [3]);
  clock.runUntil(start + 200);
  t.deepEqual(due, [3, 1]);
});

test('nothing is due after a stop', (t) => {
  const clock = new VirtualClock();
  const wakes = new Wakes(clock, () => t.fail());
  wakes.set(1, clock.now() + 10);
  wakes.stop();
  clock.runUntil(clock.now() + 100);
  t.pass();
});
