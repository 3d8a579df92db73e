import test from 'ava';

import { playRollout, ROLLOUT_PLANS } from '../../lab/index.js';

const BOUND = { share: 0.1, slack: 50 };

test('good versions complete in time without lost requests, even with faulty targets or killed coordinators', (t) => {
  for (const name of ['good', 'goodIll', 'goodKilled']) {
    const plan = ROLLOUT_PLANS[name];
    const { state, writtenAt, lost } = playRollout(plan, 3, BOUND);
    t.is(state, 'completed', name);
    t.true(writtenAt <= plan.durationMs, name);
    t.is(lost, 0, name);
  }
});

test('bad versions of each kind are rolled back within the exposure bound', (t) => {
  // Versions that fail or are slow: from the start, later, only under load, or on one route only.
  for (const name of [
    'fails',
    'failsLater',
    'failsOnRoute',
    'failsFull',
    'slowLater',
    'slowFull',
  ]) {
    const plan = ROLLOUT_PLANS[name];
    const { state, exposed, requests, afterBadMs } = playRollout(plan, 5, BOUND);
    t.is(state, 'rolledBack', name);
    t.true(exposed <= BOUND.share * requests + BOUND.slack, name);
    t.true(afterBadMs < 5_000, name);
  }
});
