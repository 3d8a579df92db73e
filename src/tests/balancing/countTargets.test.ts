import test from 'ava';

import { countTargets } from '../../balancing/index.js';
import { makeTarget, Scene } from './scene.js';

test('targets are counted by how they stand', (t) => {
  const scene = new Scene([
    makeTarget('t-1'),
    makeTarget('t-2', { isDraining: true }),
    makeTarget('t-3', { zone: 'phare' }),
    makeTarget('t-4', { coldMs: 3_000 }),
    makeTarget('t-5'),
  ]);
  scene.dispatch({ kind: 'zonesOutRead', zones: ['phare'] });
  scene.dispatch({ kind: 'probeEnded', target: 't-5', bornAt: 1, end: { kind: 'refused' } });
  t.snapshot([...countTargets(scene.state, scene.now)]);
});

test('a service that has lost all targets shows as none, not as missing', (t) => {
  // A VM may see that all targets have expired, and miss that they are back. It then refuses its
  // callers while all other VMs serve theirs, and an alarm on a missing figure never fires.
  const scene = new Scene([makeTarget('t-1')]);
  scene.dispatch({ kind: 'targetsRead', targets: [] });
  t.is(countTargets(scene.state, scene.now).get('horaires')?.usable, 0);
});
