import test from 'ava';

import { LAB_PLANS, playLab } from '../../lab/index.js';
import { makeReading, makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2'), makeTarget('t-3')];
const SLOTS = 2;

/** Lets a request find all targets full in two rounds, so that it waits for a free slot. */
function arriveAndWait(scene: Scene): number {
  // Longer than a reading counts as fresh.
  scene.now += 50;
  const request = scene.arrive();
  scene.answerProbes(() => SLOTS);
  scene.wait(1, request);
  scene.answerProbes(() => SLOTS);
  return request;
}

/** Ends the first attempt; its target reports how many requests it still runs. */
function endFirst(scene: Scene, running: number): void {
  const reading = makeReading(scene.now, running);
  const end = { kind: 'answered', status: 200, reading } as const;
  scene.dispatch({ kind: 'attemptEnded', attempt: 1, end });
}

test('a slot that an answer shows as free is used at once by a waiting request', (t) => {
  // All targets are full, and a request waits. If it only looked for itself every 25 ms, a slot
  // would stay idle in between although the answer that freed it has shown it.
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes();
  const waiting = arriveAndWait(scene);
  t.is(scene.all('sendAttempt').length, 1);
  const probes = scene.all('probe').length;
  endFirst(scene, 1);
  t.is(scene.lastSent.request, waiting);
  t.is(scene.all('probe').length, probes);
});

test('the newest waiting request is sent first, and one free slot serves one request', (t) => {
  // After a burst many requests wait. The oldest is the most likely to be late even if it is sent
  // now. Served first, it would make the next one late as well, and so on until all of them are
  // late.
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes();
  arriveAndWait(scene);
  const newest = arriveAndWait(scene);
  endFirst(scene, 1);
  t.deepEqual(
    scene.all('sendAttempt').map(({ request }) => request),
    [1, newest],
  );
});

test('a request with open probes waits for them and takes the best target', (t) => {
  // Under light load a request has probed several targets. If it were sent to the first one that
  // reports its load, it would get a slot on which work takes longer while another target is idle.
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes();
  scene.now += 50;
  const request = scene.arrive();
  scene.answerProbes(() => SLOTS);
  scene.wait(30, request);
  const idleTarget = scene.all('sendAttempt')[0].to.target === 't-3' ? 't-2' : 't-3';
  endFirst(scene, 1);
  t.is(scene.all('sendAttempt').length, 1);
  scene.answerProbes((target) => (target === idleTarget ? 0 : 1));
  t.is(scene.lastSent.to.target, idleTarget);
});

test('a request that cannot meet its objective is refused within that objective', (t) => {
  // All targets stay full. If the request were held until long after its objective, its caller
  // would have little time left to retry.
  const scene = new Scene(TARGETS);
  const startedAt = scene.now;
  const request = scene.arrive();
  while (scene.all('answer').length === 0 && scene.now < startedAt + ROUTE.timeoutMs) {
    scene.answerProbes(() => SLOTS);
    scene.wait(25, request);
  }
  t.is(scene.all('answer')[0].status, 503);
  t.true((scene.all('answer')[0].retryAfterMs ?? 0) > 0);
  t.true(scene.now - startedAt < ROUTE.objectiveMs);
});

test('in a surge requests are refused within their objective', (t) => {
  // The load is 1.6 times what targets handle without slowing down. Refused callers wait 100 ms on
  // average with an objective of 300 ms; without the early refusal of late requests it would be 395
  // ms (virtual time).
  const { score } = playLab(LAB_PLANS.surge, 7);
  t.true(score.heldMs < LAB_PLANS.surge.routes[0].objectiveMs);
});

/** Lets callers send first tries, so that a later retry is recognised. */
function learnCallerTimes(scene: Scene): void {
  for (let i = 0; i < 10; i++) {
    scene.arrive();
    scene.answerProbes();
    scene.end({ kind: 'answered', status: 200 });
    scene.now += 50;
  }
}

test('a late request is not refused before a target has reported its load', (t) => {
  // After a power loss callers retry that are late already. Each VM opens all its connections at
  // once, so that probes take 40 ms. Late requests must not be refused after two rounds without an
  // answer, since all targets may be idle.
  const scene = new Scene(TARGETS);
  learnCallerTimes(scene);
  const sent = scene.all('sendAttempt').length;
  const request = scene.arrive('/horaires/today', 1_500);
  scene.wait(16, request);
  scene.wait(16, request);
  scene.now += 8;
  t.deepEqual(scene.all('answer'), []);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, sent + 1);
});

test('a late request is refused at once if targets have reported that they are full', (t) => {
  const scene = new Scene(TARGETS);
  learnCallerTimes(scene);
  const request = scene.arrive('/horaires/today', 1_500);
  scene.answerProbes(() => SLOTS);
  scene.wait(20, request);
  scene.answerProbes(() => SLOTS);
  scene.wait(25, request);
  t.is(scene.all('answer')[0].status, 503);
});

test('a late request is refused at once if no target may be probed', (t) => {
  // All targets of a service accept no connection and are in their backoff. No answer can arrive,
  // so waiting would only use up the time that the caller has left.
  const scene = new Scene(TARGETS);
  learnCallerTimes(scene);
  for (const { entry } of scene.state.targets.values()) {
    scene.dispatch({
      kind: 'probeEnded',
      target: entry.id,
      bornAt: entry.bornAt,
      end: { kind: 'refused' },
    });
  }
  const request = scene.arrive('/horaires/today', 1_500);
  scene.wait(20, request);
  t.is(scene.all('answer')[0].status, 503);
});
