import test from 'ava';

import { CallerTimes } from '../../balancing/CallerTimes.js';
import { getRetryAfterMs } from '../../balancing/endings.js';
import { createRandom } from '../../standIns/models/index.js';
import { makeTarget, Scene } from './scene.js';

const USUAL_MS = 4_000;

/** Allowed times of callers that ask first: most the usual one, the rest down to 0.85 of it. */
function* firstTimes(count: number): Generator<number> {
  const random = createRandom(3);
  for (let i = 0; i < count; i++) {
    yield random() < 0.6 ? USUAL_MS : USUAL_MS * (1 - 0.15 * random());
  }
}

test('a first request that allows a little less than is usual is not taken for a returning one', (t) => {
  // Callers of one kind don't all allow the same time: a third of them allow up to 15% less. Taken for
  // callers that were refused before, they are thought late from the start, wait behind the others and
  // are refused; their user sees an error while targets have free slots.
  const times = new CallerTimes();
  for (const allowedMs of firstTimes(400)) t.is(times.note('lookup', allowedMs), 0);
});

test('a caller that was refused is known when it comes back', (t) => {
  const times = new CallerTimes();
  for (const allowedMs of firstTimes(50)) times.note('lookup', allowedMs);
  for (const chance of [0, 0.5, 0.99]) {
    const waitedMs = getRetryAfterMs(USUAL_MS, chance);
    const sinceMs = times.note('lookup', USUAL_MS - waitedMs);
    t.true(Math.abs(sinceMs - waitedMs) <= 10, `${sinceMs} of ${waitedMs}`);
  }
});

test('a first request that allows less than is usual gets the last slots in time', (t) => {
  // All targets have one slot left, on which work takes longer but still ends in time.
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2'), makeTarget('t-3')]);
  for (let i = 0; i < 20; i++) {
    scene.now += 500;
    scene.arrive();
    scene.answerProbes();
    scene.end({ kind: 'answered', status: 200 });
  }
  scene.now += 500;
  const sentBefore = scene.all('sendAttempt').length;
  const request = scene.arrive('/horaires/today', 3_500);
  scene.answerProbes(() => 1);
  scene.wait(1, request);
  scene.answerProbes(() => 1);
  t.is(scene.all('sendAttempt').length, sentBefore + 1);
});
