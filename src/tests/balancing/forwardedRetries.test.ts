import test from 'ava';

import type { BalancerEffect, ForwardResult } from '../../balancing/index.js';
import { makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = ['t-1', 't-2', 't-3', 't-4', 't-5', 't-6'].map((id) => makeTarget(id));
const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const ROUTES = [{ ...ROUTE, maxTargets: 4 }];

/** Time after which an attempt is overdue and all readings are too old, in milliseconds. */
const OVERDUE_MS = 900;

function countTaken(scene: Scene): number {
  return scene.all('log').filter(({ event }) => event === 'retry.granted').length;
}

function getForwards(scene: Scene): Extract<BalancerEffect, { kind: 'forwardRequest' }>[] {
  return scene.all('forwardRequest');
}

/** Creates a VM whose first attempt of a request is open, and whose hedge has been passed on. */
function passHedgeOn(): { scene: Scene; first: number } {
  const scene = new Scene(TARGETS, ROUTES);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  scene.arrive();
  scene.answerProbes();
  scene.end({ kind: 'answered', status: 200 });
  scene.now += 100;
  const request = scene.arrive();
  scene.answerProbes();
  const first = scene.lastSent.attempt;
  scene.now += OVERDUE_MS;
  for (let i = 0; i < 20 && getForwards(scene).length === 0; i++) {
    scene.wait(4, request);
    scene.failProbes();
  }
  return { scene, first };
}

const ENDS: Readonly<Record<string, { end: ForwardResult; taken: number }>> = {
  'has rejected': { end: { kind: 'refused', reason: 'rejected' }, taken: 2 },
  'could not be reached': { end: { kind: 'unsent' }, taken: 1 },
  'has no target': { end: { kind: 'refused', reason: 'noTarget' }, taken: 1 },
};

// One retry that was granted would reach targets twice: sent by the other VM, and by this one.
for (const [name, { end, taken }] of Object.entries(ENDS)) {
  test(`a hedge that was passed on to a VM which ${name} is taken ${taken} times for two attempts`, (t) => {
    const { scene, first } = passHedgeOn();
    t.is(countTaken(scene), 1);
    const [{ attempt }] = getForwards(scene);
    scene.dispatch({ kind: 'forwardEnded', attempt, end });
    scene.dispatch({ kind: 'attemptEnded', attempt: first, end: { kind: 'broken' } });
    t.is(getForwards(scene).length, 2);
    t.is(countTaken(scene), taken);
  });
}

const LOST_ENDS: readonly ForwardResult[] = [
  { kind: 'failed', reason: 'targetFailed' },
  { kind: 'broken' },
];

// The other VM may have had it run by all targets that are left, and this one would add further ones.
for (const end of LOST_ENDS) {
  test(`a request that another VM may have run is not sent once more: ${end.kind}`, (t) => {
    const { scene, first } = passHedgeOn();
    const [{ attempt, terms }] = getForwards(scene);
    t.is(terms.maxTargets, ROUTES[0].maxTargets - 1);
    scene.dispatch({ kind: 'forwardEnded', attempt, end });
    scene.dispatch({ kind: 'attemptEnded', attempt: first, end: { kind: 'broken' } });
    t.is(getForwards(scene).length, 1);
    t.is(countTaken(scene), 1);
    t.deepEqual(
      scene.all('answer').map(({ status, reason }) => [status, reason]),
      [[502, 'targetFailed']],
    );
  });
}

// The VM that passed the request on would ask another one, which sends it again without a take.
test('a VM that has sent a request of another VM does not answer that it has no target', (t) => {
  const scene = new Scene(TARGETS.slice(0, 1), ROUTES);
  scene.dispatch({ kind: 'vmsChanged', vms: VMS });
  scene.arriveForwarded({ maxTargets: 4, sinceFirstMs: 0, service: 'horaires' });
  scene.answerProbes();
  scene.end({ kind: 'rejected', reading: undefined });
  for (let i = 0; i < 20; i++) scene.wait(20, 99);
  t.is(scene.all('sendAttempt').length, 1);
  t.deepEqual(
    scene.all('answer').map(({ status, reason }) => [status, reason]),
    [[503, 'rejected']],
  );
});
