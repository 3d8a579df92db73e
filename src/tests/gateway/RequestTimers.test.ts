import test from 'ava';

import { RequestTimers } from '../../gateway/RequestTimers.js';
import { VirtualClock } from '../../proof/VirtualClock.js';

test('a request’s timer fires once, at the time that was set last', (t) => {
  // If both timers of a request fired, a second target would be chosen and the request might run
  // twice.
  const clock = new VirtualClock();
  const due: number[] = [];
  const timers = new RequestTimers(clock, (request) => due.push(request));
  const start = clock.now();
  timers.set(1, start + 50);
  timers.set(1, start + 100);
  timers.set(2, start + 60);
  timers.set(3, start - 10);
  timers.cancel(2);
  clock.runUntil(start + 80);
  t.deepEqual(due, [3]);
  clock.runUntil(start + 200);
  t.deepEqual(due, [3, 1]);
});

test('no timer fires after a stop', (t) => {
  const clock = new VirtualClock();
  const timers = new RequestTimers(clock, () => t.fail());
  timers.set(1, clock.now() + 10);
  timers.stop();
  clock.runUntil(clock.now() + 100);
  t.pass();
});
