import test from 'ava';

import { refuseOrFail } from '../../balancing/endings.js';
import type { PendingRequest } from '../../balancing/PendingRequest.js';
import { makeTarget, ROUTE, Scene } from './scene.js';

const ONCE = { ...ROUTE, isIdempotent: false };

/** Ways in which a request may run, or may have run. */
const WAYS: Readonly<Record<string, (pending: PendingRequest) => void>> = {
  'an attempt is open': () => {},
  'an attempt may have run': (pending) => {
    pending.attempts.clear();
    pending.hasPossiblyRun = true;
  },
  'it is passed on to another VM': (pending) => {
    pending.attempts.clear();
    pending.forward = { id: 9, vm: 'vm-2', sentAt: 0 };
  },
};

// Guards against a refusal, whatever its reason, of a request that runs or has run.
for (const [way, prepare] of Object.entries(WAYS)) {
  test(`a request is not refused while ${way}`, (t) => {
    const scene = new Scene([makeTarget('t-1')], [ONCE]);
    scene.arrive();
    scene.answerProbes();
    const { state, now } = scene;
    const [pending] = state.pendingRequests.values();
    prepare(pending);
    const effects = refuseOrFail(state, pending, 'crashesTargets', { now, random: () => 0.5 });
    const answer = effects.find(({ kind }) => kind === 'answer');
    t.like(answer, { status: 502, reason: 'targetFailed', retryAfterMs: undefined });
    const line = effects.find((effect) => effect.kind === 'log');
    t.like(line, { event: 'request.failed' });
  });
}

// Guards against a second run of a request whose route may not be repeated any more.
test('a hedge that was decided on is not sent if the route is not idempotent any more', (t) => {
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2')], [ROUTE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  const table = { ...scene.state.table!, version: 2, routes: [ONCE] };
  scene.dispatch({ kind: 'tableRead', table });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
  t.deepEqual(scene.all('answer'), []);
  scene.end({ kind: 'broken' });
  t.is(scene.all('sendAttempt').length, 1);
  t.is(scene.all('answer')[0].status, 502);
});
