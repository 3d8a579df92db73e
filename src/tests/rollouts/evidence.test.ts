import test from 'ava';

import { VersionEvidence } from '../../rollouts/index.js';

test('totals that were reported stay as they were', (t) => {
  // A VM that coordinates takes its own reports without a datagram. Compared with totals that grow after
  // all, none of its later answers counted.
  const evidence = new VersionEvidence();
  evidence.note('lookup', undefined, false);
  const { totals } = evidence;
  evidence.note('lookup', undefined, true);
  evidence.note('lookup', 2, true);
  t.deepEqual(totals, { 'old lookup': { answers: 1, bad: 0 } });
  t.deepEqual(evidence.totals, {
    'old lookup': { answers: 2, bad: 1 },
    'new2 lookup': { answers: 1, bad: 1 },
  });
});

test('a VM reports few routes apart, and the rest together', (t) => {
  const evidence = new VersionEvidence();
  for (let i = 0; i < 100; i++) evidence.note(`route-${i}`, i, false);
  t.true(Object.keys(evidence.totals).length < 40);
  const answers = Object.values(evidence.totals).map((count) => count.answers);
  t.is(
    answers.reduce((sum, each) => sum + each, 0),
    100,
  );
});
