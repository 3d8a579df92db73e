import test from 'ava';

import { LIMIT_PLANS, playLab } from '../../lab/index.js';

const SEEDS = [1, 2, 3];

// A target in need that all VMs send to as before breaks down, and then serves nobody.
test('targets that name a limit get no more than it allows', (t) => {
  for (const [name, plan] of Object.entries(LIMIT_PLANS)) {
    for (const seed of SEEDS) t.deepEqual(playLab(plan, seed).broken, [], `${name}, seed ${seed}`);
  }
});
