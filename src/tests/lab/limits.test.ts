import test from 'ava';

import { LIMIT_PLANS, playLab } from '../../lab/index.js';

const SEEDS = [1, 2, 3];

// A target that advertises a limit fails for all callers if the VMs keep sending at the old rate.
test('targets that advertise a limit get no more requests than it allows', (t) => {
  for (const [name, plan] of Object.entries(LIMIT_PLANS)) {
    for (const seed of SEEDS) t.deepEqual(playLab(plan, seed).broken, [], `${name}, seed ${seed}`);
  }
});
