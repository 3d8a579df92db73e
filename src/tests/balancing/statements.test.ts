import test from 'ava';

import type { AttemptResult, TargetStatements } from '../../balancing/index.js';
import { countTargets, getLongestPauses } from '../../balancing/index.js';
import { getScores } from '../../balancing/TargetRecord.js';
import { makeReading, makeTarget, ROUTE, Scene } from './scene.js';

const SERVICE = 'horaires';

/** Ends the latest attempt with a rejection that states something. */
function reject(scene: Scene, statements: TargetStatements & { readonly limit?: number }): void {
  scene.end({ kind: 'rejected', reading: makeReading(scene.now, 0), ...statements });
}

/** Sends a request to the only target and rejects it. */
function makeRejected(statements: TargetStatements): Scene {
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.answerProbes();
  reject(scene, statements);
  return scene;
}

function getPauseMs(scene: Scene): number {
  return getLongestPauses(scene.state, scene.now).get(SERVICE) ?? 0;
}

test('log and counts tell which targets ask for a pause or shut down', (t) => {
  const statements: readonly TargetStatements[] = [
    { pauseMs: 3_000 },
    { pauseMs: 0 },
    { pauseMs: 'unreadable' },
    { isDraining: true },
    {},
  ];
  for (const each of statements) {
    const scene = makeRejected(each);
    const lines = scene
      .all('log')
      .filter(({ event }) => event.startsWith('target.') && event !== 'target.added')
      .map(({ event, fields }) => ({ event, fields }));
    const counts = countTargets(scene.state, scene.now).get(SERVICE);
    t.snapshot({ lines, counts, pauseMs: getPauseMs(scene) }, JSON.stringify(each));
  }
});

test('a probe’s answer states the same, whether or not its load is readable', (t) => {
  const ends = [
    { kind: 'answered', coldMs: 0, reading: makeReading(1_000, 0) },
    { kind: 'broken' },
  ] as const;
  for (const end of ends) {
    const scene = new Scene([makeTarget('t-1')]);
    const statements = { pauseMs: 2_000, isDraining: true };
    scene.dispatch({
      kind: 'probeEnded',
      target: 't-1',
      bornAt: 1,
      end: { ...end, ...statements },
    });
    t.is(getPauseMs(scene), 2_000);
    t.is(countTargets(scene.state, scene.now).get(SERVICE)?.draining, 1);
  }
});

// Answers overtake each other, and each rejection binds for its own time.
test('a shorter pause does not end a longer one', (t) => {
  const scene = makeRejected({ pauseMs: 3_000 });
  const end = { kind: 'answered', coldMs: 0, reading: makeReading(scene.now, 0) } as const;
  for (const pauseMs of [1_000, undefined, 0]) {
    scene.dispatch({ kind: 'probeEnded', target: 't-1', bornAt: 1, end: { ...end, pauseMs } });
    t.is(getPauseMs(scene), 3_000);
  }
  scene.dispatch({ kind: 'probeEnded', target: 't-1', bornAt: 1, end: { ...end, pauseMs: 4_000 } });
  t.is(getPauseMs(scene), 4_000);
});

// A target that names days by mistake would otherwise be lost to the VM until it restarts.
test('a pause ends after an hour at the latest', (t) => {
  t.is(getPauseMs(makeRejected({ pauseMs: 86_400_000 })), 3_600_000);
});

test('what a target asked for outlives its registration but not its process', (t) => {
  const statements = { pauseMs: 3_000, isDraining: true };
  const cases = [
    { name: 'registered again', target: makeTarget('t-1'), isKept: true },
    { name: 'moved', target: makeTarget('t-1', { address: '10.0.0.9:80' }), isKept: true },
    { name: 'started again', target: makeTarget('t-1', { bornAt: 2 }), isKept: false },
    { name: 'another one at its address', target: makeTarget('t-2'), isKept: false },
  ];
  for (const { name, target, isKept } of cases) {
    for (const isGoneBetween of [true, false]) {
      const scene = makeRejected(statements);
      if (isGoneBetween) scene.dispatch({ kind: 'targetsRead', targets: [] });
      scene.dispatch({ kind: 'targetsRead', targets: [target] });
      t.is(getPauseMs(scene) > 0, isKept, name);
      t.is(countTargets(scene.state, scene.now).get(SERVICE)?.draining, isKept ? 1 : 0, name);
    }
  }
});

// The first attempt still belongs to the process that has ended.
test('a late answer of a process that has ended says nothing of its successor', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.answerProbes();
  scene.dispatch({ kind: 'targetsRead', targets: [makeTarget('t-1', { bornAt: 2 })] });
  reject(scene, { pauseMs: 3_000, isDraining: true });
  t.is(getPauseMs(scene), 0);
  t.is(countTargets(scene.state, scene.now).get(SERVICE)?.draining, 0);
});

test('an answer to another request still tells that its target shuts down', (t) => {
  const ends: readonly AttemptResult[] = [
    { kind: 'spoilt', isDraining: true },
    { kind: 'answered', status: 200, isDraining: true },
    { kind: 'answered', status: 500, isDraining: true },
  ];
  for (const end of ends) {
    const scene = new Scene([makeTarget('t-1')]);
    scene.arrive();
    scene.answerProbes();
    scene.end(end);
    t.is(countTargets(scene.state, scene.now).get(SERVICE)?.draining, 1);
  }
});

const PAUSE_MS = 3_000;

test('a paused target gets neither requests nor probes until its pause ends', (t) => {
  const scene = makeRejected({ pauseMs: PAUSE_MS });
  const probes = scene.all('probe').length;
  scene.now += PAUSE_MS - 1;
  scene.arrive();
  t.is(scene.all('probe').length, probes);
  t.is(scene.all('sendAttempt').length, 1);
  scene.now += 1;
  scene.arrive();
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
});

// The request had chosen the target before it asked for the pause.
test('a request that waits for a probe of a target that pauses is not sent to it', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.answerProbes();
  scene.now += 100;
  scene.arrive();
  reject(scene, { pauseMs: PAUSE_MS });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

/** Lets a request wait for a permit to send to the only target, which runs another request. */
function makeWaitingForPermit(): { readonly scene: Scene; readonly grant: () => void } {
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.answerProbes();
  const limited = { target: 't-1', bornAt: 1 };
  scene.dispatch({ kind: 'vmsChanged', vms: ['vm-2', 'vm-3', 'vm-4', 'vm-5', 'vm-6'] });
  const reports = [{ ...limited, perSecond: 6, ageMs: 0 }];
  scene.dispatch({ kind: 'limitsReported', reports });
  scene.now += 100;
  scene.arrive();
  const [{ ask }] = scene.all('askPermit');
  const answer = { kind: 'permitAnswer', ask: ask.ask, ...limited, reports: [] } as const;
  const grant = () =>
    scene.dispatch({ kind: 'permitAnswered', answer: { ...answer, isGranted: true, waitMs: 0 } });
  return { scene, grant };
}

test('a request that waits for a permit of a target that pauses is not sent to it', (t) => {
  const { scene, grant } = makeWaitingForPermit();
  reject(scene, { limit: 6, pauseMs: PAUSE_MS });
  const probes = scene.all('probe').length;
  grant();
  t.is(scene.all('probe').length, probes);
  t.is(scene.all('sendAttempt').length, 1);
});

test('a second attempt goes to a target that has not paused', (t) => {
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2')]);
  scene.arrive();
  scene.answerProbes();
  const paused = scene.lastSent.to.target;
  reject(scene, { pauseMs: PAUSE_MS });
  for (let i = 0; i < 20; i++) {
    scene.now += 100;
    scene.arrive();
    scene.answerProbes();
  }
  const later = scene.all('sendAttempt').slice(1);
  t.is(later.length, 21);
  t.true(later.every(({ to }) => to.target !== paused));
});

// A request that is held until its deadline would only keep its caller waiting.
test('a request is refused at once if all targets pause for longer than it can wait', (t) => {
  const scene = makeRejected({ pauseMs: PAUSE_MS });
  scene.now += 100;
  scene.arrive();
  const answers = scene.all('answer');
  t.deepEqual(
    answers.map(({ status, reason }) => `${status} ${reason}`),
    ['503 paused', '503 paused'],
  );
  t.true((answers[1].retryAfterMs ?? 0) >= PAUSE_MS - 100);
});

test('callers that are refused during a pause are told different times', (t) => {
  const scene = makeRejected({ pauseMs: PAUSE_MS });
  for (let i = 0; i < 20; i++) scene.arrive();
  const times = scene.all('answer').map(({ retryAfterMs }) => retryAfterMs);
  t.true(new Set(times).size > 15);
});

test('a request waits for the end of a pause if it still meets its objective', (t) => {
  const scene = makeRejected({ pauseMs: 150 });
  const request = scene.arrive();
  for (let waitedMs = 0; waitedMs < 150; waitedMs += 25) {
    t.is(scene.all('sendAttempt').length, 1);
    scene.wait(25, request);
  }
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
  t.is(scene.all('answer').length, 1);
});

test('a refusal names the limit if other targets are paused', (t) => {
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2')], [{ ...ROUTE, maxTargets: 1 }]);
  scene.arrive();
  scene.answerProbes();
  const limited = scene.lastSent.to.target === 't-1' ? 't-2' : 't-1';
  reject(scene, { pauseMs: PAUSE_MS });
  const reports = [{ target: limited, bornAt: 1, perSecond: 0.1, ageMs: 0 }];
  scene.dispatch({ kind: 'limitsReported', reports });
  for (let i = 0; i < 10; i++) scene.arrive();
  t.is(scene.all('answer').at(-1)?.reason, 'limited');
});

// The score would keep requests away for seconds after the end of the pause.
test('a rejection that asks for a pause does not count as a failure as well', (t) => {
  const getFailures = (scene: Scene) => {
    const record = scene.state.targets.get('t-1');
    return record === undefined ? 1 : getScores(record, scene.now).failures;
  };
  t.is(getFailures(makeRejected({ pauseMs: PAUSE_MS })), 0);
  for (const pauseMs of [undefined, 0, 'unreadable'] as const) {
    t.true(getFailures(makeRejected({ pauseMs })) > 0);
  }
});

test('requests are refused at once if all targets have announced their shutdown', (t) => {
  const scene = makeRejected({ isDraining: true });
  scene.arrive();
  t.deepEqual(
    scene.all('answer').map(({ reason }) => reason),
    ['noTarget', 'noTarget'],
  );
});

test('the permit that a request waits for is returned if its target announces its shutdown', (t) => {
  const { scene, grant } = makeWaitingForPermit();
  reject(scene, { limit: 6, isDraining: true });
  grant();
  t.is(scene.all('sendAttempt').length, 1);
  t.is(scene.all('returnPermit').length, 1);
});

// The rejection crosses the cancel of its attempt, whose request the caller has given up.
test('the pause that a target asks for in answer to a cancelled attempt is kept', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.dispatch({ kind: 'callerLeft', request });
  const statements = { pauseMs: PAUSE_MS };
  scene.dispatch({ kind: 'statementsRead', target: 't-1', bornAt: 0, statements });
  t.is(getPauseMs(scene), 0);
  scene.dispatch({ kind: 'statementsRead', target: 't-1', bornAt: 1, statements });
  t.is(getPauseMs(scene), PAUSE_MS);
});

test('a header that nothing reads is logged once, and only a few of them', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  for (let i = 0; i < 100; i++) {
    const unreadHeaders = ['server-mood', `server-${i}`];
    const statements = { unreadHeaders };
    scene.dispatch({ kind: 'statementsRead', target: 't-1', bornAt: 1, statements });
  }
  const lines = scene.all('log').filter(({ event }) => event === 'target.headerUnread');
  t.is(lines.length, 20);
  t.is(lines.filter(({ fields }) => fields.header === 'server-mood').length, 1);
});
