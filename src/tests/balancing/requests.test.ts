import test from 'ava';

import { makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2'), makeTarget('t-3')];
const ONCE = { ...ROUTE, isIdempotent: false };
const SOUND = { kind: 'answered', status: 200 } as const;

test('a request is sent to the target that is idle', (t) => {
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes((id) => (id === 't-2' ? 0 : 1));
  t.is(scene.lastSent.to.target, 't-2');
  scene.end(SOUND);
  const [{ deadlineAt, ...delivered }] = scene.all('deliver');
  t.deepEqual(delivered, { kind: 'deliver', request: 1, attempt: 1 });
  t.is(scene.all('deliver').length, 1);
  t.true(deadlineAt > scene.now && deadlineAt <= scene.now + ROUTE.timeoutMs);
});

test('a non-idempotent request is not sent again after its connection broke', (t) => {
  // The connection is reset after a booking was sent, so it is unknown whether the booking was
  // made. If it were sent again, the member's card could be charged twice.
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  scene.answerProbes();
  scene.end({ kind: 'broken' });
  t.is(scene.all('sendAttempt').length, 1);
  const [answer] = scene.all('answer');
  t.is(answer.status, 502);
  t.is(answer.retryAfterMs, undefined);
});

for (const kind of ['rejected', 'misdirected'] as const) {
  test(`a non-idempotent request is sent again after it was ${kind}`, (t) => {
    const scene = new Scene(TARGETS, [ONCE]);
    scene.arrive();
    scene.answerProbes();
    const first = scene.lastSent.to.target;
    scene.end({ kind });
    scene.answerProbes();
    t.is(scene.all('sendAttempt').length, 2);
    t.not(scene.lastSent.to.target, first);
  });
}

test('a refusal says that a request has not run only if that is certain', (t) => {
  // The answer of the first target is lost, and the second target is full. A refusal that says that
  // the request has not run would be wrong, since the first target may have run it.
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes();
  scene.end({ kind: 'broken' });
  scene.answerProbes();
  scene.end({ kind: 'rejected' });
  t.is(scene.all('answer')[0].status, 502);
});

test('a request is sent to no more targets than its route allows', (t) => {
  const scene = new Scene(TARGETS);
  scene.arrive();
  for (let sent = 0; sent < 2; sent++) {
    scene.answerProbes();
    scene.end({ kind: 'rejected' });
  }
  t.is(scene.all('sendAttempt').length, 2);
  const [answer] = scene.all('answer');
  t.is(answer.status, 503);
  t.true((answer.retryAfterMs ?? 0) > 0);
});

test('a request is answered at its route’s timeout', (t) => {
  // The target hangs. The caller must be answered at the route's timeout, not only when it gives
  // up.
  const scene = new Scene(TARGETS, [ONCE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(2_000, request);
  t.is(scene.all('answer')[0].status, 504);
  t.deepEqual(scene.all('cancelAttempt'), [{ kind: 'cancelAttempt', attempt: 1 }]);
});

test('all attempts are cancelled when the caller disconnects', (t) => {
  const scene = new Scene(TARGETS);
  const request = scene.arrive();
  scene.answerProbes();
  scene.dispatch({ kind: 'callerLeft', request });
  t.is(scene.all('cancelAttempt').length, 1);
  t.is(scene.state.pendingRequests.size, 0);
});

test('an idempotent request that takes too long is hedged', (t) => {
  // The target has become slow after the request was sent; only the elapsed time shows it.
  const scene = new Scene(TARGETS);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
  scene.end(SOUND);
  t.deepEqual(scene.all('cancelAttempt'), [{ kind: 'cancelAttempt', attempt: 1 }]);
  t.is(scene.all('deliver').length, 1);
});

// A hedge that becomes overdue itself, after the first attempt has failed, is followed by another one.
test('each attempt after the first one is taken from the retry budget', (t) => {
  const scene = new Scene(TARGETS, [{ ...ROUTE, maxTargets: 3 }]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  scene.answerProbes();
  scene.dispatch({ kind: 'attemptEnded', attempt: 1, end: { kind: 'broken' } });
  scene.wait(900, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 3);
  t.is(scene.state.retryBudget.getUsage('horaires', scene.now).retries, 2);
});

test('a non-idempotent request is not hedged', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

// The operator has stated that the request may not run twice, and its first attempt may have run.
test('a request whose route is no longer idempotent is not sent again', (t) => {
  const scene = new Scene(TARGETS);
  const request = scene.arrive();
  scene.answerProbes();
  const table = { ...scene.state.table!, version: 2, routes: [ONCE] };
  scene.dispatch({ kind: 'tableRead', table });
  scene.wait(600, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
  scene.end({ kind: 'broken' });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

test('targets that drain or whose zone is out of service get no requests', (t) => {
  // An operator takes a zone out of service and a target drains; requests sent to either are lost.
  const scene = new Scene([
    makeTarget('t-1', { isDraining: true }),
    makeTarget('t-2', { zone: 'port' }),
    makeTarget('t-3'),
  ]);
  scene.dispatch({ kind: 'zonesOutRead', zones: ['port'] });
  for (let sent = 0; sent < 5; sent++) {
    scene.arrive();
    scene.answerProbes();
    t.is(scene.lastSent.to.target, 't-3');
    scene.end(SOUND);
    scene.now += 50;
  }
});

test('a service without targets is refused at once', (t) => {
  const scene = new Scene([]);
  scene.arrive();
  t.like(scene.all('answer')[0], { status: 503, reason: 'noTarget' });
});

test('an older configuration is ignored', (t) => {
  // A lagging peer sends the previous configuration. Adopting it would undo a change that was
  // confirmed to the operator.
  const scene = new Scene(TARGETS);
  scene.dispatch({
    kind: 'tableRead',
    table: { ...scene.state.table!, version: 3, routes: [{ ...ROUTE, pathPrefix: '/new/' }] },
  });
  scene.dispatch({ kind: 'tableRead', table: { ...scene.state.table!, version: 2, routes: [] } });
  t.is(scene.state.table?.version, 3);
  scene.arrive('/new/today');
  t.is(scene.all('answer').length, 0);
  scene.arrive('/horaires/today');
  t.is(scene.all('answer')[0].status, 404);
});

test('without a configuration a request is refused with status 503, not 404', (t) => {
  // A process that has just started knows no routes. A caller that gets status 404 would not retry.
  const scene = new Scene(TARGETS);
  scene.state.table = undefined;
  scene.arrive();
  t.like(scene.all('answer')[0], { status: 503, reason: 'notConfigured' });
});

test('a target that accepts no connection is avoided, and trying another one takes no retry', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  scene.answerProbes();
  const dead = scene.lastSent.to.target;
  scene.end({ kind: 'unsent' });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
  t.not(scene.lastSent.to.target, dead);
});

test('a probe of an earlier process of a target does not affect the restarted one', (t) => {
  // A target restarts under the same id. A probe of its earlier process must not affect the new
  // one.
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.dispatch({ kind: 'targetsRead', targets: [makeTarget('t-1', { bornAt: 2 })] });
  scene.dispatch({
    kind: 'probeEnded',
    target: 't-1',
    bornAt: 1,
    end: { kind: 'refused' },
  });
  t.is(scene.state.targets.get('t-1')?.deadUntil, 0);
});

test('requests that arrive at the end of a graceful shutdown are refused', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'stopAsked' });
  scene.now += 1_000;
  scene.arrive();
  t.is(scene.all('answer').length, 0);
  scene.now += 2_000;
  scene.arrive();
  t.like(scene.all('answer')[0], { status: 503, reason: 'stopping' });
});
