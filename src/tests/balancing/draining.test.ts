import test from 'ava';

import { countTargets } from '../../balancing/index.js';
import { makeTarget, Scene } from './scene.js';

const SERVICE = 'horaires';

test('a target whose answer announces its shutdown gets neither requests nor probes', (t) => {
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2')]);
  scene.arrive();
  scene.answerProbes();
  const draining = scene.lastSent.to.target;
  scene.end({ kind: 'answered', status: 200, isDraining: true });
  const probes = scene.all('probe').length;
  for (let i = 0; i < 20; i++) {
    scene.now += 60_000;
    scene.arrive();
    scene.answerProbes();
    // The store may not know of the shutdown yet.
    scene.dispatch({ kind: 'targetsRead', targets: [makeTarget('t-1'), makeTarget('t-2')] });
  }
  const later = [...scene.all('sendAttempt').slice(1), ...scene.all('probe').slice(probes)];
  t.is(scene.all('sendAttempt').length, 21);
  t.true(later.every(({ to }) => to.target !== draining));
});

test('requests that a target runs when it announces its shutdown are still answered', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  scene.arrive();
  scene.answerProbes();
  const first = scene.lastSent.attempt;
  const second = scene.arrive();
  // It waits before it may take the target's last slot.
  scene.wait(50, second);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 2);
  scene.end({ kind: 'answered', status: 200, isDraining: true });
  const end = { kind: 'answered', status: 200, isDraining: true } as const;
  scene.dispatch({ kind: 'attemptEnded', attempt: first, end });
  t.is(scene.all('deliver').length, 2);
  t.is(scene.all('cancelAttempt').length, 0);
});

// A VM that follows another source after an outage of the store may read an older list.
test('a registered drain is not taken back by a list without it, but by a new start', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  const countDraining = () => countTargets(scene.state, scene.now).get(SERVICE)?.draining;
  scene.dispatch({ kind: 'targetsRead', targets: [makeTarget('t-1', { isDraining: true })] });
  for (const targets of [[makeTarget('t-1')], [], [makeTarget('t-1')]]) {
    scene.dispatch({ kind: 'targetsRead', targets });
    t.is(countDraining(), targets.length);
  }
  scene.arrive();
  t.is(scene.all('probe').length, 0);
  scene.dispatch({ kind: 'targetsRead', targets: [makeTarget('t-1', { bornAt: 2 })] });
  t.is(countDraining(), 0);
});

// Without a start time, a list in which the target is ready is the only sign of a new start.
test('a registered drain of a target without a start time ends with its registration', (t) => {
  const target = makeTarget('t-1', { bornAt: 0 });
  const scene = new Scene([{ ...target, isDraining: true }]);
  scene.dispatch({ kind: 'targetsRead', targets: [target] });
  t.is(countTargets(scene.state, scene.now).get(SERVICE)?.draining, 0);
});
