import test from 'ava';

import { LAB_PLANS, makePlan, playLab } from '../../lab/index.js';

const SHORT = makePlan({
  untilMs: 6_000,
  surges: [{ fromMs: 2_000, untilMs: 4_000, factor: 1.6 }],
});

test('runs with the same seed are identical, and differ for another seed', (t) => {
  const { score } = playLab(SHORT, 3);
  t.deepEqual(playLab(SHORT, 3).score, score);
  t.notDeepEqual(playLab(SHORT, 4).score, score);
});

test('every request is answered in time, late or not at all', (t) => {
  const { score, records } = playLab(SHORT, 5);
  t.is(score.asked, records.length);
  t.true(Math.abs(score.inTime + score.late + score.unserved - 1) < 1e-9);
});

test('payoff at low load is close to that of an omniscient scheduler', (t) => {
  const { score, ceiling, broken } = playLab(LAB_PLANS.calm, 1);
  t.true(score.payoff > ceiling.payoff - 0.05);
  t.deepEqual(broken, []);
});

test('bounds hold in every plan', (t) => {
  for (const [name, plan] of Object.entries(LAB_PLANS)) {
    t.deepEqual(playLab(plan, 2).broken, [], name);
  }
});
