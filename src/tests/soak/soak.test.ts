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

/** Times at which a target with an advertised limit receives requests. */
const LIMITED = Array.from({ length: 20 }, (_, i) => 10 + i * 300);

/** Requests that a target receives at intervals of 600 ms. */
const PAUSED = ['p-0', 'p-1', 'p-2', 'p-3', 'p-4', 'p-5'];

test('observations are checked against each guarantee', (t) => {
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
    retried: checkSoak({
      ...SOUND,
      arrivals: Array.from({ length: 63 }, (_, i) => ({ id: 'a', at: 100 * i })),
    }),
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
    paused: checkSoak({
      ...SOUND,
      callers: PAUSED.map((id) => ({ ...SOUND.callers[0], id })),
      pauses: [{ id: PAUSED[0], target: 't-1', at: 0, pauseMs: 3_000 }],
      runs: PAUSED.map((id, i) => ({ id, target: 't-1', at: i * 600 })),
      calmFrom: 1e6,
    }),
    drained: checkSoak({
      ...SOUND,
      callers: PAUSED.map((id, i) => ({ ...SOUND.callers[0], id, endedAt: i * 600 + 5 })),
      drains: [{ target: 't-1', at: 0 }],
      runs: PAUSED.map((id, i) => ({ id, target: 't-1', at: i * 600 })),
      calmFrom: 1e6,
    }),
    noticed: checkSoak({ ...SOUND, noticed: ['a planned stop cut 1 requests'] }),
  });
});

test('a short soak of real processes finds no violation', async (t) => {
  // Links to the store and to targets are silenced, reset and delayed, and processes are killed, paused
  // and stopped, all overlapping. Violations are duplicate executions, wrong or incomplete answers, and
  // refusals of requests that were executed.
  t.timeout(60_000);
  const { broken, requests, served } = await runSoak({ seed: 104, faultsMs: 5_000 });
  t.deepEqual(broken, []);
  t.true(served > requests / 2);
});

test('a stop during which a fault kills the process is no violation', async (t) => {
  // Seed 308: another fault kills a process 46 ms after its planned stop began. If the kill counts as
  // the end of the grace period, the soak reports a violation of the gateway.
  t.timeout(60_000);
  const { broken } = await runSoak({ seed: 308, faultsMs: 1_500 });
  t.deepEqual(broken, []);
});

test('a target that two faults remove is removed once', async (t) => {
  // One fault replaces a target while another one drains it. If the second removal drops another target
  // from the list, nothing closes that one's servers, and the test process does not exit.
  const world = new SoakWorld('not-used');
  await world.store.start();
  const first = await world.addTarget('z-1');
  const second = await world.addTarget('z-2');
  world.removeTarget(first);
  world.removeTarget(first);
  t.deepEqual(world.targets, [second]);
  await world.stop();
});

test('a rollout during other faults ends in the right state', async (t) => {
  // Completing a bad version would leave callers without any good target.
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 3001, faultsMs: 3_000, hasRollouts: true });
  t.deepEqual(broken, []);
});

// Gateways divide a limit among themselves while some of them are killed or paused.
test('targets receive no more than their advertised limits allow during other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 4001, faultsMs: 6_000, hasLimits: true });
  t.deepEqual(broken, []);
});

// Gateways act on what answers state while some of them are killed, and registrations expire.
test.serial(
  'targets that ask for a pause or announce their shutdown are left alone during other faults',
  async (t) => {
    t.timeout(90_000);
    const { broken } = await runSoak({ seed: 5006, faultsMs: 8_000, hasStatements: true });
    t.deepEqual(broken, []);
  },
);

// A gateway that compares revisions across a restore ignores changes until the numbers pass its own.
test('changes reach all gateways after the store was restored from older copies', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 7003, faultsMs: 6_000, hasRestores: true });
  t.deepEqual(broken, []);
});

// Requests crash targets, and gateways lose their paths to all targets, while others are killed or paused.
test('requests that crash targets and paths that are lost are borne during other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({
    seed: 8001,
    faultsMs: 8_000,
    hasCrashes: true,
    hasCuts: true,
  });
  t.deepEqual(broken, []);
});

// Each process that is restarted would take a new share of the retries while all targets fail.
test('retries stay within their limit while targets fail during other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 9001, faultsMs: 12_000, hasFailures: true });
  t.deepEqual(broken, []);
});

// A gateway that takes the removal of a registration for the latest news loses all targets for good.
test('targets that registered again while the store was away are used during other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 9208, faultsMs: 4_000, hasExpiries: true });
  t.deepEqual(broken, []);
});

// A copy of a rejection that is taken for the answer to another request promises that this one has not
// run; its caller, or the gateway, then sends it again.
test.serial(
  'no request that may not run twice is refused after it ran while targets answer twice',
  async (t) => {
    t.timeout(90_000);
    const { broken, copiesMet } = await runSoak({ seed: 9402, faultsMs: 6_000, hasCopies: true });
    t.deepEqual(broken, []);
    t.true(copiesMet > 0);
  },
);

// Guards against truncated answers that look complete: without a length, reset, stalled or copied.
test('answers that are broken off never look complete during other faults', async (t) => {
  t.timeout(90_000);
  const { broken, brokenOff } = await runSoak({ seed: 13001, faultsMs: 5_000, hasAnswers: true });
  t.deepEqual(broken, []);
  t.true(brokenOff > 0);
});

// Statuses that promise, also for requests that run only after they were refused.
test('a request that runs before or after a status that promises breaks the promise', (t) => {
  const [caller] = SOUND.callers;
  for (const status of [408, 421, 429, 503]) {
    for (const at of [12, 5_000]) {
      const runs = [{ id: 'a', target: 't-1', at }];
      t.deepEqual(checkSoak({ ...SOUND, callers: [{ ...caller, status }], runs }), [
        `a was refused with ${status} but ran`,
      ]);
    }
  }
});

// A run that has announced nothing must not be judged by what the run before it announced.
test('a target that starts again under its id has not announced a shutdown', (t) => {
  const [caller] = SOUND.callers;
  const ids = ['a', 'b'];
  const announced: SoakObservations = {
    ...SOUND,
    callers: ids.map((id) => ({ ...caller, id, endedAt: caller.sentAt + 10 })),
    runs: ids.map((id, i) => ({ id, target: 't-1', at: caller.sentAt + i * 3_000 })),
    calmFrom: 1e6,
  };
  const { sentAt: at } = caller;
  t.is(checkSoak({ ...announced, drains: [{ target: 't-1', at }] }).length, 1);
  t.deepEqual(checkSoak({ ...announced, drains: [{ target: 't-1', at, until: at + 1_000 }] }), []);
});
