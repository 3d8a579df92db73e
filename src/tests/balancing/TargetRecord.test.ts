import test from 'ava';

import { createTargetRecord, getScores, noteSlowness } from '../../balancing/TargetRecord.js';
import { LAB_PLANS, playLab } from '../../lab/index.js';
import { makeTarget } from './scene.js';

test('a target that takes twice as long as it says is taken for twice as slow, and no slower', (t) => {
  // Many answers come from one target, all a little late by its own readings. Each multiplied what the
  // one before had left, until the target counted as twelve times as slow and stood idle.
  const record = createTargetRecord(makeTarget('t-1'), 0);
  for (let i = 0; i < 200; i++) noteSlowness(record, 2, 0);
  t.true(getScores(record, 0).slowness <= 2);
  t.true(getScores(record, 0).slowness > 1.9);
});

test('one VM that sees every answer decides no worse than seventeen that see a part each', (t) => {
  // A deployment with few VMs, or with much more traffic for each. Payoff in a surge with one VM 0.67
  // before, 0.87 since (virtual time, one seed); with seventeen it stayed as it was.
  const seeds = [7, 14, 21];
  const getPayoff = (plan: (typeof LAB_PLANS)[string]): number =>
    seeds.reduce((sum, seed) => sum + playLab(plan, seed).score.payoff, 0) / seeds.length;
  t.true(getPayoff(LAB_PLANS.oneVm) >= getPayoff(LAB_PLANS.surge) - 0.03);
});
