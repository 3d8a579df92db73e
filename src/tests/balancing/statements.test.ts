import test from 'ava';

import type { AttemptResult, TargetStatements } from '../../balancing/index.js';
import { countTargets, getLongestPauses } from '../../balancing/index.js';
import { makeReading, makeTarget, Scene } from './scene.js';

const SERVICE = 'horaires';

/** Ends the latest attempt with a rejection that states something. */
function reject(scene: Scene, statements: TargetStatements): void {
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
