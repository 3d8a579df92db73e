import test from 'ava';

import type { AttemptResult, BalancerEffect, ProbeResult, Route } from '../../balancing/index.js';
import type { CrashNews } from '../../crashes/index.js';
import { getRendezvousWinner } from '../../core/hash.js';
import { makeReading, makeTarget, ROUTE, Scene, TABLE } from './scene.js';

const TARGETS = ['t-1', 't-2', 't-3', 't-4', 't-5'].map((id) => makeTarget(id));
const MANY_TARGETS = Array.from({ length: 8 }, (_, i) => makeTarget(`t-${i + 1}`));
const FATAL = '/horaires/fatal';

function getGossip(effects: readonly BalancerEffect[]): CrashNews[] {
  return effects.flatMap((effect) => (effect.kind === 'gossipCrashes' ? [effect.news] : []));
}

function getSuspects(scene: Scene): string[] {
  return getGossip(scene.effects).flatMap(({ suspects }) =>
    suspects.flatMap(({ crashes }) => crashes.map(({ target }) => target)),
  );
}

function makeNews(crashedTargets: readonly string[], fingerprint = FATAL): CrashNews {
  const crashes = crashedTargets.map((target) => ({ target, bornAt: 1, ageMs: 200 }));
  return { suspects: [{ fingerprint, crashes, answeredAgeMs: undefined }], alive: [] };
}

/** Places a request and returns the target that it was sent to. */
function place(scene: Scene, path = FATAL): string {
  scene.arrive(path);
  scene.answerProbes();
  return scene.lastSent.to.target;
}

/** Answers the probe of one target, or lets it fail. */
function endProbe(scene: Scene, target: string, kind: 'answered' | 'refused' | 'unanswered'): void {
  const reading = makeReading(scene.now, 0);
  const end = kind === 'answered' ? ({ kind, reading, coldMs: 0 } as const) : ({ kind } as const);
  scene.dispatch({ kind: 'probeEnded', target, bornAt: 1, end });
}

/** Answers the probes of all other targets. */
function answerOthers(scene: Scene, crashed: string): void {
  for (const { entry, probeSentAt } of scene.state.targets.values()) {
    if (probeSentAt !== undefined && entry.id !== crashed) endProbe(scene, entry.id, 'answered');
  }
}

/** Breaks the latest attempt and proves that its target has crashed. */
function crash(scene: Scene): string {
  const { target } = scene.lastSent.to;
  scene.now += 30;
  scene.end({ kind: 'broken' });
  scene.now += 2;
  endProbe(scene, target, 'refused');
  answerOthers(scene, target);
  return target;
}

test('a target that breaks a connection and is gone has crashed', (t) => {
  const scene = new Scene(TARGETS);
  place(scene);
  const target = crash(scene);
  t.deepEqual(getSuspects(scene), [target]);
});

test('a target behind a relay is gone if the relay accepts connections and ends them', (t) => {
  const scene = new Scene(TARGETS);
  const target = place(scene);
  scene.end({ kind: 'broken' });
  endProbe(scene, target, 'unanswered');
  answerOthers(scene, target);
  t.deepEqual(getSuspects(scene), [target]);
});

// Answers are cut and connections are reset for other reasons than a crash.
test('a target that breaks a connection and answers a probe has not crashed', (t) => {
  const scene = new Scene(TARGETS);
  const target = place(scene);
  scene.end({ kind: 'broken' });
  endProbe(scene, target, 'answered');
  answerOthers(scene, target);
  t.deepEqual(getSuspects(scene), []);
});

// A VM whose own path is lost would report all targets as crashed, and all requests that it had sent.
test('a VM that has heard from no other target since reports no crash', (t) => {
  const scene = new Scene(TARGETS);
  const target = place(scene);
  scene.now += 30;
  scene.end({ kind: 'broken' });
  endProbe(scene, target, 'refused');
  for (const { entry, probeSentAt } of scene.state.targets.values()) {
    if (probeSentAt !== undefined) endProbe(scene, entry.id, 'refused');
  }
  t.deepEqual(getSuspects(scene), []);
  scene.now += 1_100;
  place(scene, '/horaires/other');
  t.deepEqual(getSuspects(scene), []);
});

// No other target of the service can show that the path is sound.
test('the crash of a service’s only target is proved by an answer of another service', (t) => {
  const other = makeTarget('t-9', { service: 'billets' });
  const scene = new Scene([makeTarget('t-1'), other]);
  place(scene);
  scene.now += 30;
  scene.end({ kind: 'broken' });
  endProbe(scene, 't-1', 'refused');
  t.deepEqual(getSuspects(scene), []);
  scene.now += 20;
  endProbe(scene, 't-9', 'answered');
  t.deepEqual(getSuspects(scene), ['t-1']);
});

test('the end of a target that announced its shutdown is no crash', (t) => {
  const scene = new Scene(TARGETS);
  const target = place(scene);
  const drained = TARGETS.map((each) => ({ ...each, isDraining: each.id === target }));
  scene.dispatch({ kind: 'targetsRead', targets: drained });
  scene.end({ kind: 'broken' });
  endProbe(scene, target, 'refused');
  answerOthers(scene, target);
  t.deepEqual(getSuspects(scene), []);
});

test('a request that has crashed three targets is refused at once and is not sent', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'crashesReported', news: makeNews(['t-1', 't-2', 't-3']) });
  scene.arrive(FATAL);
  t.deepEqual(scene.all('sendAttempt'), []);
  t.deepEqual(scene.all('probe'), []);
  t.snapshot([scene.all('answer'), scene.all('log').at(-1)]);
  place(scene, '/horaires/other');
  t.is(scene.all('sendAttempt').length, 1);
});

// A copy that waits for a target when the news arrive would crash a fourth one.
test('a request that waits is refused when its third crash becomes known', (t) => {
  const scene = new Scene(TARGETS);
  const request = scene.arrive(FATAL);
  scene.dispatch({ kind: 'crashesReported', news: makeNews(['t-1', 't-2', 't-3']) });
  scene.wait(20, request);
  t.deepEqual(scene.all('sendAttempt'), []);
  t.deepEqual(
    scene.all('answer').map(({ reason }) => reason),
    ['crashesTargets'],
  );
});

test('a request gets a second attempt after the first crash under it, and none after the second', (t) => {
  const scene = new Scene(TARGETS);
  place(scene);
  crash(scene);
  t.is(scene.all('sendAttempt').length, 2);
  crash(scene);
  t.is(scene.all('sendAttempt').length, 2);
  t.is(scene.all('answer').at(-1)?.reason, 'targetFailed');
});

test('a request that crashes targets gets no hedge', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'crashesReported', news: makeNews(['t-9']) });
  const request = scene.arrive(FATAL);
  scene.answerProbes();
  scene.wait(1_200, request);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

test('a request that is answered is no longer suspected, and other VMs are told', (t) => {
  const scene = new Scene(TARGETS);
  scene.dispatch({ kind: 'crashesReported', news: makeNews(['t-8', 't-9']) });
  place(scene);
  scene.end({ kind: 'answered', status: 200 });
  t.is(scene.state.crashes.getVerdict(FATAL, scene.now), 'clear');
  t.is(getGossip(scene.effects).at(-1)?.suspects[0].answeredAgeMs, 0);
});

test('news are passed on once', (t) => {
  const scene = new Scene(TARGETS);
  const news = makeNews(['t-8', 't-9']);
  const first = scene.dispatch({ kind: 'crashesReported', news });
  const second = scene.dispatch({ kind: 'crashesReported', news });
  t.is(getGossip(first).length, 1);
  t.is(getGossip(second).length, 0);
});

// A VM that is cut off from some targets takes them for crashed while all others reach them.
test('a VM that has heard from a target since its reported crash contradicts the report', (t) => {
  const scene = new Scene(TARGETS);
  place(scene, '/horaires/other');
  const { target } = scene.lastSent.to;
  const effects = scene.dispatch({ kind: 'crashesReported', news: makeNews([target, 't-8']) });
  t.deepEqual(
    getGossip(effects)[0].alive.map((each) => each.target),
    [target],
  );
  t.is(scene.state.crashes.getCrashes(FATAL, scene.now).length, 1);
});

test('one VM alone tries a refused request again, with one copy at a time', (t) => {
  const routes: Route[] = [{ ...ROUTE, timeoutMs: 4_000 }];
  const vms = ['vm-1', 'vm-2'];
  const sent = vms.map((vm) => {
    const scene = new Scene(TARGETS, routes, vm);
    scene.dispatch({ kind: 'vmsChanged', vms });
    scene.dispatch({ kind: 'crashesReported', news: makeNews(['t-7', 't-8', 't-9']) });
    scene.now += 301_000;
    for (let i = 0; i < 2; i++) {
      scene.arrive(FATAL);
      scene.answerProbes();
    }
    return scene.all('sendAttempt').length;
  });
  const owner = vms.indexOf(getRendezvousWinner(FATAL, vms) ?? '');
  t.deepEqual(sent, owner === 0 ? [1, 0] : [0, 1]);
});

/** Answers a copy of a request; then three targets crash under other copies. */
function answerThenCrash(scene: Scene, end: AttemptResult): void {
  place(scene);
  scene.end(end);
  for (let i = 0; i < 3; i++) {
    place(scene);
    crash(scene);
  }
}

// A failing target answers 500 before it runs the request, and all VMs go on sending it.
test('the error of a target does not show that a request is sound', (t) => {
  const verdicts = [500, 503, 404, 200].map((status) => {
    const scene = new Scene(MANY_TARGETS, [{ ...ROUTE, maxTargets: 1 }]);
    answerThenCrash(scene, { kind: 'answered', status });
    return scene.state.crashes.getVerdict(FATAL, scene.now);
  });
  t.deepEqual(verdicts, ['refused', 'refused', 'clear', 'clear']);
});

/** Results that another process at the address of a target may cause. */
const ANONYMOUS_RESULTS: readonly ProbeResult[] = [
  { kind: 'broken' },
  { kind: 'answered', reading: makeReading(0, 0), coldMs: 0, isAnonymous: true },
];

// Its replacement at the same address answers before the registration has changed.
test('an answer that names no target takes back no crash', (t) => {
  const counts = ANONYMOUS_RESULTS.map((end) => {
    const scene = new Scene(TARGETS);
    place(scene);
    const target = crash(scene);
    scene.now += 1_000;
    scene.dispatch({ kind: 'probeEnded', target, bornAt: 1, end });
    return scene.state.crashes.getCrashes(FATAL, scene.now).length;
  });
  t.deepEqual(counts, [1, 1]);
});

// The replacement rejects requests of VMs that still list the target that has crashed.
test('a rejection or an error at the address of a target takes back no crash', (t) => {
  const ends: AttemptResult[] = [
    { kind: 'rejected' },
    { kind: 'spoilt' },
    { kind: 'answered', status: 500 },
  ];
  const counts = ends.map((end) => {
    const scene = new Scene([makeTarget('t-1')]);
    place(scene, '/horaires/other');
    const { target } = scene.lastSent.to;
    scene.now += 400;
    scene.dispatch({ kind: 'crashesReported', news: makeNews([target]) });
    scene.now += 100;
    scene.end(end);
    return scene.state.crashes.getCrashes(FATAL, scene.now).length;
  });
  t.deepEqual(counts, [1, 1, 1]);
});

// Targets may start again under the id that they had, and answer before they register.
test('a target that answers seconds after its crash has started again', (t) => {
  const scene = new Scene(TARGETS);
  place(scene);
  const target = crash(scene);
  scene.now += 3_000;
  endProbe(scene, target, 'answered');
  t.is(scene.state.crashes.getCrashes(FATAL, scene.now).length, 1);
});

// Targets are told the organisation, so the same message may crash them for one organisation only.
test('what a request of one organisation does is not held against another one’s', (t) => {
  const names = ['acme', 'other'];
  const organisations = names.map((name) => ({ name, keyDigests: [name] }));
  const routes = [{ ...ROUTE, maxTargets: 1 }];
  const scene = new Scene(MANY_TARGETS, routes);
  scene.dispatch({ kind: 'tableRead', table: { ...TABLE, version: 2, routes, organisations } });
  const send = (organisation: string): void => {
    scene.arrive(FATAL, 4_000, FATAL, organisation);
    scene.answerProbes();
  };
  for (let i = 0; i < 3; i++) {
    send('acme');
    crash(scene);
    send('other');
    scene.end({ kind: 'answered', status: 200 });
  }
  send('acme');
  t.is(scene.all('answer').at(-1)?.reason, 'crashesTargets');
  send('other');
  t.is(scene.lastSent.organisation, 'other');
  t.is(scene.all('sendAttempt').length, 7);
});

/** Reasons of the crashes that were not counted. */
function getUncountedReasons(scene: Scene): unknown[] {
  return scene
    .all('log')
    .filter(({ event }) => event === 'crash.notCounted')
    .map(({ fields }) => fields.reason);
}

test('a crash that counts for nothing is logged with the reason', (t) => {
  const scene = new Scene(TARGETS);
  place(scene);
  scene.end({ kind: 'answered', status: 200 });
  place(scene);
  crash(scene);
  t.deepEqual(getUncountedReasons(scene), ['answered']);
  const target = place(scene, '/horaires/second');
  scene.now += 30;
  scene.end({ kind: 'broken' });
  endProbe(scene, target, 'refused');
  scene.now += 1_100;
  place(scene, '/horaires/third');
  t.deepEqual(getUncountedReasons(scene), ['answered', 'unproved']);
});
