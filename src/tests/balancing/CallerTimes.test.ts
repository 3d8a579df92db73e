import test from 'ava';

import { CallerTimes } from '../../balancing/CallerTimes.js';
import { getRetryAfterMs } from '../../balancing/endings.js';
import { createRandom } from '../../standIns/models/index.js';
import { makeTarget, Scene } from './scene.js';

const USUAL_MS = 4_000;

/**
 * Yields timeouts of first tries: most callers allow the usual time, the others down to 0.85 of it.
 */
function* firstTimes(count: number): Generator<number> {
  const random = createRandom(3);
  for (let i = 0; i < count; i++) {
    yield random() < 0.6 ? USUAL_MS : USUAL_MS * (1 - 0.15 * random());
  }
}

test('a first try that allows a little less time than usual is not taken for a retry', (t) => {
  // Callers of one kind do not all allow the same time: a third of them allow up to 15% less. If
  // they were taken for callers that retry, they would count as late from the start, wait behind
  // the others and be refused, so that users see errors while targets have free slots.
  const times = new CallerTimes();
  for (const allowedMs of firstTimes(400)) t.is(times.recordTimeout('lookup', allowedMs), 0);
});

test('the retry of a refused caller is recognised', (t) => {
  const times = new CallerTimes();
  for (const allowedMs of firstTimes(50)) times.recordTimeout('lookup', allowedMs);
  for (const chance of [0, 0.5, 0.99]) {
    const waitedMs = getRetryAfterMs(USUAL_MS, chance);
    const sinceMs = times.recordTimeout('lookup', USUAL_MS - waitedMs);
    t.true(Math.abs(sinceMs - waitedMs) <= 10, `${sinceMs} of ${waitedMs}`);
  }
});

test('a first try that allows less time than usual gets a last slot if it meets its objective there', (t) => {
  // All targets have one slot left, on which work takes longer but still meets the objective.
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
