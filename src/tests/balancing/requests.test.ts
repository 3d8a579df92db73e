import test from 'ava';

import { makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2'), makeTarget('t-3')];
const ONCE = { ...ROUTE, isIdempotent: false };
const SOUND = { kind: 'answered', status: 200 } as const;

test('a request goes to the target that is idle now', (t) => {
  const scene = new Scene(TARGETS);
  scene.arrive();
  scene.answerProbes((id) => (id === 't-2' ? 0 : 1));
  t.is(scene.lastSent.to.target, 't-2');
  scene.end(SOUND);
  t.deepEqual(scene.all('deliver'), [{ kind: 'deliver', request: 1, attempt: 1 }]);
});

test('a request that may run once is not sent again after its connection broke', (t) => {
  // The target's connection is reset after a booking was sent. Nobody knows whether it was made; sent
  // again, the member's card could be charged twice.
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
  test(`a request that may run once is sent again after it was ${kind}`, (t) => {
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

test('a refusal says that a request has not run only while that is certain', (t) => {
  // The first target's answer is lost, the second is full. Said to be not run, an idempotent request
  // is counted as lost although a target may have done its work.
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

test('a request gets its answer when its route’s time is over', (t) => {
  // A target hangs. The caller must learn at the time that the operator set, not when it gives up itself.
  const scene = new Scene(TARGETS, [ONCE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(2_000, request);
  t.is(scene.all('answer')[0].status, 504);
  t.deepEqual(scene.all('cancelAttempt'), [{ kind: 'cancelAttempt', attempt: 1 }]);
});

test('a caller that leaves is worked for no more', (t) => {
  const scene = new Scene(TARGETS);
  const request = scene.arrive();
  scene.answerProbes();
  scene.dispatch({ kind: 'callerLeft', request });
  t.is(scene.all('cancelAttempt').length, 1);
  t.is(scene.state.journeys.size, 0);
});

test('an idempotent request that takes too long is sent to a second target as well', (t) => {
  // The target has turned slow after the request was sent, and nothing tells so but time.
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

test('a request that may run once is not sent to a second target beside the first', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

test('targets that leave or whose zone is out get nothing', (t) => {
  // An operator takes a zone out and a target drains; what is sent there all the same is lost.
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

test('an older configuration changes nothing', (t) => {
  // A lagging peer tells of the configuration before the last one. Going back to it would undo what
  // the operator was told is in force.
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

test('before a configuration is known a request is refused, not called unknown', (t) => {
  // A process that has just started knows no route. A caller told 404 would give up for good.
  const scene = new Scene(TARGETS);
  scene.state.table = undefined;
  scene.arrive();
  t.like(scene.all('answer')[0], { status: 503, reason: 'notConfigured' });
});

test('a target that takes no connection is left alone, and the request goes on for free', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  scene.answerProbes();
  const dead = scene.lastSent.to.target;
  scene.end({ kind: 'unsent' });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
  t.not(scene.lastSent.to.target, dead);
});

test('an answer of a target that went and came back under its id is not its own', (t) => {
  // A target restarts under the id it had. A probe of its earlier life must say nothing of this one.
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

test('what was sent in the last moments of a planned stop is refused', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'stopAsked' });
  scene.now += 1_000;
  scene.arrive();
  t.is(scene.all('answer').length, 0);
  scene.now += 2_000;
  scene.arrive();
  t.like(scene.all('answer')[0], { status: 503, reason: 'stopping' });
});
