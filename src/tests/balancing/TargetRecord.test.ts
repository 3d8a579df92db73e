import test from 'ava';

import { createTargetRecord, getScores, recordSlowness } from '../../balancing/TargetRecord.js';
import { LAB_PLANS, playLab } from '../../lab/index.js';
import { makeTarget } from './scene.js';

test('a target that takes twice as long as expected counts as twice as slow, not slower', (t) => {
  // Guards against slowness that accumulates: many answers come from one target, each a little
  // later than its readings suggest. If each ratio were multiplied with the previous score, the
  // target would count as twelve times as slow and get no requests.
  const record = createTargetRecord(makeTarget('t-1'), 0);
  for (let i = 0; i < 200; i++) recordSlowness(record, 2, 0);
  t.true(getScores(record, 0).slowness <= 2);
  t.true(getScores(record, 0).slowness > 1.9);
});

test('one VM that sees every answer decides no worse than seventeen VMs that each see some', (t) => {
  // A deployment may have few VMs, or much more traffic for each. A VM must not score targets worse
  // because it sees more of their answers: with that fault the payoff of one VM in a surge is 0.67
  // instead of 0.87 (virtual time, one seed). With seventeen VMs the payoff is the same either way.
  const seeds = [7, 14, 21];
  const getPayoff = (plan: (typeof LAB_PLANS)[string]): number =>
    seeds.reduce((sum, seed) => sum + playLab(plan, seed).score.payoff, 0) / seeds.length;
  t.true(getPayoff(LAB_PLANS.oneVm) >= getPayoff(LAB_PLANS.surge) - 0.03);
});
