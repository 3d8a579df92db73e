import test from 'ava';

import type { ZoneOccupancy } from '../../balancing/zonePressure.js';
import { ZonePressure } from '../../balancing/zonePressure.js';
import { makeTarget, Scene } from './scene.js';

const SERVICE = 'lookup';
const MAX_SHARE = 0.75;
const STEP_MS = 50;

/** Feeds occupancies for some time and returns the share after each step. */
function feed(
  pressure: ZonePressure,
  ms: number,
  getOccupancy: (now: number, share: number) => ZoneOccupancy,
  startMs = 0,
): number[] {
  return Array.from({ length: ms / STEP_MS }, (_, i) => {
    const now = startMs + i * STEP_MS;
    pressure.update(SERVICE, getOccupancy(now, pressure.getShare(SERVICE)), MAX_SHARE, now);
    return pressure.getShare(SERVICE);
  });
}

// Bytes between zones are billed: a deployment with even demand must not pay for this decision.
test('no share goes to other zones while the own zone has room, or all are as busy', (t) => {
  const calm = feed(new ZonePressure(), 5_000, () => ({ own: 0.5, others: 0.1 }));
  const busy = feed(new ZonePressure(), 5_000, () => ({ own: 0.95, others: 0.9 }));
  t.is(Math.max(...calm, ...busy), 0);
});

// A single reading of an idle target elsewhere would move much of the load there.
test('only a small share looks for other zones while it is unknown how busy they are', (t) => {
  const shares = feed(new ZonePressure(), 10_000, () => ({ own: 1.2, others: undefined }));
  t.true(Math.max(...shares) <= 0.1 + 1e-9, `${Math.max(...shares)}`);
  t.true(Math.max(...shares) > 0.05);
});

// Moved at once, all VMs of a zone would fill the next one, and come back together.
test('the share settles where the zones are equally busy, and returns as the wave passes', (t) => {
  const pressure = new ZonePressure();
  // What a zone sends away occupies the others, after the time of the work.
  const shares: number[] = [];
  const getOccupancy = (peak: number) => (): ZoneOccupancy => {
    const sent = shares[shares.length - 6] ?? 0;
    return { own: peak * (1 - sent), others: 0.4 + (peak * sent) / 3 };
  };
  const record = (peak: number, ms: number, startMs: number): number[] => {
    for (let at = 0; at < ms; at += STEP_MS) {
      shares.push(...feed(pressure, STEP_MS, getOccupancy(peak), startMs + at));
    }
    return shares.slice(-ms / STEP_MS);
  };
  const during = record(1.1, 10_000, 0);
  const settled = during.slice(-60);
  t.true(Math.max(...settled) - Math.min(...settled) < 0.05, 'it swings');
  t.true(settled[0] > 0.2 && settled[0] < 0.6, `${settled[0]}`);
  const after = record(0.4, 3_000, 10_000);
  t.is(after[after.length - 1], 0);
});

// A gap without requests would otherwise count as a long wave.
test('a pause between requests moves the share by one bounded step', (t) => {
  const pressure = new ZonePressure();
  pressure.update(SERVICE, { own: 1, others: 0.2 }, MAX_SHARE, 0);
  pressure.update(SERVICE, { own: 1, others: 0.2 }, MAX_SHARE, 60_000);
  t.true(pressure.getShare(SERVICE) <= 0.2, `${pressure.getShare(SERVICE)}`);
});

/** Probes of 200 requests that go to another zone, with the own zone's targets at an occupancy. */
function countRemoteProbes(ownRunning: number): number {
  const makeTargets = (count: number, zone: string) =>
    Array.from({ length: count }, (_, i) => makeTarget(`${zone}-${i}`, { zone }));
  const scene = new Scene([...makeTargets(20, 'quai'), ...makeTargets(60, 'phare')]);
  let remote = 0;
  for (let i = 0; i < 200; i++) {
    const known = scene.all('probe').length;
    const sent = scene.all('sendAttempt').length;
    const request = scene.arrive();
    remote += scene
      .all('probe')
      .slice(known)
      .filter(({ to }) => to.target.startsWith('phare')).length;
    while (scene.all('sendAttempt').length === sent) {
      scene.answerProbes((id) => (id.startsWith('quai') ? ownRunning : 0));
      if (scene.all('sendAttempt').length === sent) scene.wait(1, request);
    }
    scene.end({ kind: 'answered', status: 200 });
    scene.now += 50;
  }
  return remote;
}

// The first probes of a request decide whether it waits for its own zone in a wave.
test('first probes stay in the own zone until it is busy', (t) => {
  t.is(countRemoteProbes(0), 0);
  const remote = countRemoteProbes(2);
  t.true(remote > 20, `${remote} probes`);
});
