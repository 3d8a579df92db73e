import test from 'ava';

import { VersionEvidence } from '../../rollouts/index.js';

test('reported totals do not change with later answers', (t) => {
  // A coordinating VM receives its own reports without a datagram. When the reported totals were
  // shared objects that kept growing, none of the VM's later answers were counted.
  const evidence = new VersionEvidence();
  evidence.recordAnswer('lookup', undefined, false);
  const { totals } = evidence;
  evidence.recordAnswer('lookup', undefined, true);
  evidence.recordAnswer('lookup', 2, true);
  t.deepEqual(totals, { 'old lookup': { answers: 1, bad: 0 } });
  t.deepEqual(evidence.totals, {
    'old lookup': { answers: 2, bad: 1 },
    'new2 lookup': { answers: 1, bad: 1 },
  });
});

test('a VM reports a few routes separately and the others together', (t) => {
  const evidence = new VersionEvidence();
  for (let i = 0; i < 100; i++) evidence.recordAnswer(`route-${i}`, i, false);
  t.true(Object.keys(evidence.totals).length < 40);
  const answers = Object.values(evidence.totals).map((count) => count.answers);
  t.is(
    answers.reduce((sum, each) => sum + each, 0),
    100,
  );
});
