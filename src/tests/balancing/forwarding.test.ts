import test from 'ava';

import type { BalancerEffect, ForwardResult, Route } from '../../balancing/index.js';
import { makeReading, makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = ['t-1', 't-2', 't-3', 't-4', 't-5', 't-6'].map((id) => makeTarget(id));
const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const BOOKING: Route = { ...ROUTE, name: 'book', isIdempotent: false };

type ForwardEffect = Extract<BalancerEffect, { kind: 'forwardRequest' }>;

function getForwards(scene: Scene): ForwardEffect[] {
  return scene.all('forwardRequest');
}

/** Creates a VM whose targets have answered and then no longer do. */
function cutOff(routes: readonly Route[] = [ROUTE], targets = TARGETS): Scene {
  const scene = new Scene(targets, routes);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  scene.arrive();
  scene.answerProbes();
  scene.end({ kind: 'answered', status: 200 });
  scene.now += 100;
  const request = scene.arrive();
  for (let i = 0; i < 4; i++) {
    scene.failProbes();
    scene.wait(5, request);
  }
  return scene;
}

function endForward(scene: Scene, end: ForwardResult): void {
  const attempt = getForwards(scene).at(-1)?.attempt ?? 0;
  scene.dispatch({ kind: 'forwardEnded', attempt, end });
}

function getAnswers(scene: Scene): unknown[] {
  return scene.all('answer').map(({ status, reason }) => [status, reason]);
}

test('a request for a service whose targets fail one after the other is passed on', (t) => {
  const scene = cutOff();
  const [forward] = getForwards(scene);
  t.true(VMS.slice(1).includes(forward.vm));
  t.like(forward.terms, { maxTargets: 2, service: 'horaires' });
  t.deepEqual(getAnswers(scene), []);
  endForward(scene, { kind: 'answered', status: 200 });
  t.deepEqual(
    scene.all('deliver').map(({ attempt }) => attempt),
    [1, forward.attempt],
  );
  t.is(scene.state.forwards.size, 0);
});

test('further requests are passed on at once', (t) => {
  const scene = cutOff();
  endForward(scene, { kind: 'answered', status: 200 });
  scene.arrive();
  t.is(getForwards(scene).length, 2);
});

// A probe that is merely late must not wait for its timeout while other VMs serve.
test('a request whose probes are not answered in time is passed on before they time out', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  scene.arrive();
  scene.answerProbes();
  scene.end({ kind: 'answered', status: 200 });
  scene.now += 3_000;
  const request = scene.arrive();
  for (let i = 0; i < 12; i++) scene.wait(20, request);
  t.is(getForwards(scene).length, 1);
  t.deepEqual(scene.all('sendAttempt').length, 1);
});

test('a VM that has heard from no target since its start waits for them', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  const request = scene.arrive();
  for (let i = 0; i < 12; i++) scene.wait(20, request);
  t.is(getForwards(scene).length, 0);
});

test('a service with targets that answer is in reach, however many do not', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  for (let i = 0; i < 30; i++) {
    scene.now += 50;
    const request = scene.arrive();
    for (const { entry, probeSentAt } of scene.state.targets.values()) {
      if (probeSentAt === undefined) continue;
      const reading = makeReading(scene.now, 0);
      const isSound = entry.id === 't-6';
      const end = isSound
        ? ({ kind: 'answered', reading, coldMs: 0 } as const)
        : ({ kind: 'refused' } as const);
      scene.dispatch({ kind: 'probeEnded', target: entry.id, bornAt: entry.bornAt, end });
    }
    scene.wait(20, request);
  }
  t.true(getForwards(scene).length < 3);
  t.true(scene.all('sendAttempt').length > 20);
});

// VMs that pass requests to each other while all targets are down would do so in a circle.
test('a request that was passed on is refused at once if this VM reaches no target either', (t) => {
  const scene = cutOff();
  const before = scene.all('answer').length;
  scene.arriveForwarded({ maxTargets: 2, sinceFirstMs: 0, service: 'horaires' });
  t.is(getForwards(scene).length, 1);
  t.deepEqual(getAnswers(scene).slice(before), [[503, 'noTarget']]);
});

test('a request is refused at once when no other VM reaches a target', (t) => {
  const scene = cutOff();
  for (let i = 0; i < 3; i++) endForward(scene, { kind: 'refused', reason: 'noTarget' });
  t.deepEqual(new Set(getForwards(scene).map(({ vm }) => vm)), new Set(VMS.slice(1)));
  t.deepEqual(getAnswers(scene), [[503, 'noTarget']]);
  scene.now += 10;
  scene.arrive();
  t.is(getForwards(scene).length, 3);
  t.is(getAnswers(scene).length, 2);
});

// Each VM that takes no connection costs a timeout.
// Guards against a 502 for a request that has not run, which its caller may not send again.
test('a key that the helper does not know is answered 401 and not sent on', (t) => {
  const scene = cutOff();
  endForward(scene, { kind: 'refused', reason: 'unknownKey' });
  t.deepEqual(getAnswers(scene), [[401, 'unknownKey']]);
  t.is(scene.all('answer')[0].retryAfterMs, undefined);
  t.is(getForwards(scene).length, 1);
});

test('a request does not look for a helper for long', (t) => {
  const scene = cutOff();
  scene.now += 250;
  endForward(scene, { kind: 'unsent' });
  scene.now += 400;
  endForward(scene, { kind: 'unsent' });
  t.is(getForwards(scene).length, 2);
  t.deepEqual(getAnswers(scene), [[503, 'noTarget']]);
});

// Passed on under overload, requests would cost other VMs what they have no room for either.
test('a service whose targets answer requests is in reach, however long its probes wait', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  scene.arrive();
  scene.answerProbes();
  const { attempt } = scene.lastSent;
  scene.now += 100;
  const request = scene.arrive();
  for (let i = 0; i < 3; i++) scene.wait(20, request);
  scene.dispatch({ kind: 'attemptEnded', attempt, end: { kind: 'answered', status: 200 } });
  for (let i = 0; i < 6; i++) scene.wait(20, request);
  t.is(getForwards(scene).length, 0);
});

test('a VM that could not help is asked again after a while', (t) => {
  const scene = cutOff();
  for (let i = 0; i < 3; i++) endForward(scene, { kind: 'unsent' });
  scene.now += 600;
  scene.arrive();
  t.is(getForwards(scene).length, 4);
});

test('a VM that refuses for the moment is asked for further requests', (t) => {
  const scene = cutOff();
  endForward(scene, { kind: 'refused', reason: 'overloaded' });
  t.deepEqual(getAnswers(scene), [[503, 'overloaded']]);
  scene.arrive();
  t.is(getForwards(scene).length, 2);
});

// An answer that was lost between the VMs may be that of a request that has run.
for (const [name, end] of [
  ['whose connection breaks', { kind: 'broken' }],
  ['that the helper has failed', { kind: 'failed', reason: 'targetFailed' }],
] as const) {
  test(`a request ${name} after it was passed on fails and goes no second way`, (t) => {
    const scene = cutOff([BOOKING]);
    endForward(scene, end);
    t.deepEqual(getAnswers(scene), [[502, 'targetFailed']]);
    t.is(getForwards(scene).length, 1);
  });
}

test('a request that has possibly run is not passed on unless it is idempotent', (t) => {
  const routes = [BOOKING];
  const scene = new Scene(TARGETS, routes);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  const request = scene.arrive();
  scene.answerProbes();
  scene.now += 100;
  const other = scene.arrive();
  for (let i = 0; i < 4; i++) {
    scene.failProbes();
    scene.wait(5, other);
  }
  t.is(getForwards(scene).length, 1);
  scene.wait(1_000, request);
  t.is(getForwards(scene).length, 1);
  scene.wait(3_000, request);
  t.deepEqual(getAnswers(scene), [[504, 'timedOut']]);
});

test('the caller’s time left and the number of targets left are passed on', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  const request = scene.arrive();
  scene.answerProbes();
  scene.now += 200;
  scene.end({ kind: 'broken' });
  for (let i = 0; i < 4; i++) {
    scene.failProbes();
    scene.wait(5, request);
  }
  const [{ terms, allowedMs }] = getForwards(scene);
  t.is(terms.maxTargets, 1);
  t.true(allowedMs <= 3_800 && allowedMs > 3_700);
});

// Taken for retries that are late, by the little time that the route's timeout leaves them, requests
// that were passed on were refused while others were served.
test('a request that is passed on is as old at the helper as it is', (t) => {
  const scene = cutOff();
  const [{ terms, allowedMs }] = getForwards(scene);
  t.true((terms.sinceFirstMs ?? 1_000) <= 20);
  const helper = new Scene(TARGETS);
  for (let i = 0; i < 5; i++) helper.arrive();
  helper.arriveForwarded(terms, allowedMs - 2_500);
  const pending = helper.state.pendingRequests.get(99);
  t.is(pending?.sinceFirstMs, terms.sinceFirstMs);
});

test('a caller that leaves cancels what was passed on', (t) => {
  const scene = cutOff();
  const [{ request, attempt }] = getForwards(scene);
  scene.dispatch({ kind: 'callerLeft', request });
  t.deepEqual(scene.all('cancelAttempt').at(-1)?.attempt, attempt);
  endForward(scene, { kind: 'answered', status: 200 });
  t.is(scene.all('deliver').length, 1);
});

test('while a service is out of reach a few of its targets are probed', (t) => {
  const scene = cutOff();
  const before = scene.all('probe').length;
  for (let i = 0; i < 50; i++) {
    scene.now += 20;
    scene.arrive();
    scene.failProbes();
  }
  const probes = scene.all('probe').length - before;
  t.true(probes >= 10 && probes <= 24, `${probes} probes in a second`);
});

// Marks of the cut would keep most targets out of use for seconds after it.
test('what was held against targets during the cut ends with it', (t) => {
  const scene = cutOff();
  t.true([...scene.state.targets.values()].some(({ deadUntil }) => deadUntil > scene.now));
  scene.now += 200;
  scene.arrive();
  scene.answerProbes();
  const records = [...scene.state.targets.values()];
  t.true(records.every(({ deadUntil, failures }) => deadUntil <= scene.now && failures === 0));
  const forwards = getForwards(scene).length;
  scene.arrive();
  scene.answerProbes();
  t.is(getForwards(scene).length, forwards);
  t.deepEqual(scene.all('log').filter(({ event }) => event.startsWith('service.reach')).length, 1);
});

test('a service whose few targets are all down is asked for at other VMs', (t) => {
  const scene = cutOff([ROUTE], TARGETS.slice(0, 2));
  t.is(getForwards(scene).length, 1);
});

test('requests that are passed on are spread over the VMs that helped lately', (t) => {
  const scene = cutOff();
  endForward(scene, { kind: 'refused', reason: 'noTarget' });
  const excluded = getForwards(scene)[0].vm;
  endForward(scene, { kind: 'answered', status: 200 });
  for (let i = 0; i < 40; i++) {
    scene.arrive();
    if (i % 2 === 0) endForward(scene, { kind: 'answered', status: 200 });
  }
  const later = getForwards(scene).slice(2);
  const counts = VMS.map((vm) => later.filter((each) => each.vm === vm).length);
  t.is(counts[VMS.indexOf(excluded)], 0);
  t.is(counts.filter((count) => count >= 5).length, 2);
});

// The name of the VM that writes a line must not be replaced by that of the helper.
test('lines about requests that are passed on keep the name of the VM that writes them', (t) => {
  const scene = cutOff();
  endForward(scene, { kind: 'refused', reason: 'noTarget' });
  endForward(scene, { kind: 'answered', status: 200 });
  const lines = scene.all('log').filter(({ fields }) => 'via' in fields);
  t.is(lines.length, 4);
  t.false(lines.some(({ fields }) => 'vm' in fields));
});
