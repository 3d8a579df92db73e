import test from 'ava';

import type { SoakObservations } from '../../soak/checkSoak.js';
import { checkSoak } from '../../soak/checkSoak.js';
import { runSoak } from '../../soak/runSoak.js';
import { SoakWorld } from '../../soak/SoakWorld.js';

const SOUND: SoakObservations = {
  callers: [
    { id: 'a', isIdempotent: false, sentAt: 10, port: 1, endedAt: 20, status: 200, isSound: true },
    { id: 'b', isIdempotent: true, sentAt: 10, port: 1, endedAt: 20, status: 503, isSound: false },
  ],
  runs: [{ id: 'a', target: 't-1', at: 12 }],
  bans: [],
  noticed: [],
  calmFrom: 100,
};

/** Times at which a target that named a limit got requests. */
const LIMITED = Array.from({ length: 20 }, (_, i) => 10 + i * 300);

test('what was seen is held against each promise', (t) => {
  t.deepEqual(checkSoak(SOUND), []);
  t.snapshot({
    twice: checkSoak({ ...SOUND, runs: [...SOUND.runs, { id: 'a', target: 't-2', at: 14 }] }),
    refusedAndRan: checkSoak({
      ...SOUND,
      runs: [...SOUND.runs, { id: 'b', target: 't-2', at: 14 }],
    }),
    notWhole: checkSoak({
      ...SOUND,
      callers: [{ ...SOUND.callers[0], isSound: false }],
    }),
    late: checkSoak({
      ...SOUND,
      bans: [{ target: 't-1', from: 5, until: 50, reason: 'z-1 was out' }],
    }),
    notRecovered: checkSoak({ ...SOUND, calmFrom: 0 }),
    behindClose: checkSoak({
      ...SOUND,
      callers: [{ ...SOUND.callers[0], isIdempotent: true, status: 0, isBehindClose: true }],
    }),
    limited: checkSoak({
      ...SOUND,
      callers: LIMITED.map((at) => ({ ...SOUND.callers[0], id: `l-${at}`, endedAt: at + 5 })),
      runs: LIMITED.map((at) => ({ id: `l-${at}`, target: 't-1', at })),
      namings: [{ target: 't-1', perSecond: 0.4, at: 0 }],
      calmFrom: 1e6,
    }),
    noticed: checkSoak({ ...SOUND, noticed: ['a planned stop cut 1 requests'] }),
  });
});

test('a short soak of real processes keeps every promise', async (t) => {
  // Links to the store and to targets are silenced, reset and delayed, processes are killed, paused
  // and stopped, and all of that overlaps. A caller would notice a booking made twice, another's
  // answer, half an answer, or a refusal of what was done after all.
  t.timeout(60_000);
  const { broken, requests, served } = await runSoak({ seed: 104, faultsMs: 5_000 });
  t.deepEqual(broken, []);
  t.true(served > requests / 2);
});

test('a stop that a kill overlaps is no stop that took too long', async (t) => {
  // Seed 308: 46 ms after a planned stop began the same process was killed by another fault. The check
  // took the kill for the end of the grace period, so that the soak blamed the gateway.
  t.timeout(60_000);
  const { broken } = await runSoak({ seed: 308, faultsMs: 1_500 });
  t.deepEqual(broken, []);
});

test('a target that two faults take away is taken away once', async (t) => {
  // One fault replaces a target while another one lets it drain. The second removal took some other
  // target off the list, so that nothing ended its servers: all tests passed, and the run did not end.
  const world = new SoakWorld('not-used');
  await world.store.start();
  const first = await world.addTarget('z-1');
  const second = await world.addTarget('z-2');
  world.removeTarget(first);
  world.removeTarget(first);
  t.deepEqual(world.targets, [second]);
  await world.stop();
});

test('a version that is rolled out beside other faults is judged rightly', async (t) => {
  // A bad version that is completed takes the old targets away from all callers.
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 3001, faultsMs: 3_000, hasRollouts: true });
  t.deepEqual(broken, []);
});

// A limit is shared out by gateways that are killed and paused meanwhile.
test('targets get no more than limits allow that they name beside other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 4001, faultsMs: 6_000, hasLimits: true });
  t.deepEqual(broken, []);
});
