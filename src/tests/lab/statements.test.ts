import test from 'ava';

import { DRAIN_PLANS, PAUSE_PLANS, playLab } from '../../lab/index.js';

const SEEDS = [1, 2, 3];

// A target that sheds load fails if the VMs that it has rejected keep sending.
test('a target that asks for a pause gets at most two requests of the same VM until its end', (t) => {
  for (const [name, plan] of Object.entries(PAUSE_PLANS)) {
    for (const seed of SEEDS) {
      const { broken, pauses } = playLab(plan, seed);
      t.deepEqual(broken, [], `${name}, seed ${seed}`);
      t.true(pauses > 0, name);
    }
  }
});

// A target exits soon after its answers announce it, and requests that reach it later are lost.
test('a target whose answers announce its shutdown gets no requests afterwards', (t) => {
  for (const [name, plan] of Object.entries(DRAIN_PLANS)) {
    for (const seed of SEEDS) t.deepEqual(playLab(plan, seed).broken, [], `${name}, seed ${seed}`);
  }
});
