import test from 'ava';

import {
  countRefusedWithinQuota,
  findWorstQuotaWindows,
  makeOrganisations,
  makePlan,
  makeRoute,
  makeTargets,
  playLab,
} from '../../lab/index.js';
import { drawArrivals } from '../../lab/LabCallers.js';
import { createRandom } from '../../standIns/models/index.js';

const BOUND = { windowMs: 5_000, overage: 0.1, slack: 20 };

const ORGANISATIONS = {
  count: 8,
  exponent: 1.2,
  limitFactor: 1.6,
  burstSeconds: 1,
  minBurst: 10,
  surges: [{ rank: 1, factor: 8, fromMs: 2_000, untilMs: 4_000 }],
  bound: BOUND,
};

const SMALL = makePlan({
  vms: 6,
  targets: [makeTargets('lookup', { count: 12 })],
  surges: [],
  untilMs: 6_000,
  oneWayDelayMs: 0.25,
});

// Without the phase all zones peak together, and there is nothing to send to another zone.
test('demand of zones peaks at the times that their phases give', (t) => {
  const wave = { swing: 0.8, periodMs: 6_000, phases: [0, 0.5] };
  const zones = { count: 2, betweenDelayMs: 0.5, wave };
  const arrivals = drawArrivals({ ...SMALL, zones }, createRandom(1));
  const count = (zone: string, from: number, until: number): number =>
    arrivals.filter((each) => each.zone === zone && each.at >= from && each.at < until).length;
  t.true(count('zone-1', 0, 3_000) > 1.8 * count('zone-1', 3_000, 6_000));
  t.true(count('zone-2', 3_000, 6_000) > 1.8 * count('zone-2', 0, 3_000));
});

// A surge of one organisation or route that reached the others would hide who is served worse.
test('surges multiply the requests of one organisation or one route only', (t) => {
  const plan = {
    ...SMALL,
    routes: [makeRoute('lookup', { name: 'a' }), makeRoute('lookup', { name: 'b' })],
    surges: [{ fromMs: 2_000, untilMs: 4_000, factor: 3, route: 'b' }],
    organisations: ORGANISATIONS,
  };
  const arrivals = drawArrivals(plan, createRandom(2));
  const count = (rank: number, route: string, from: number): number =>
    arrivals.filter(
      ({ at, route: { name }, organisation }) =>
        name === route && organisation?.rank === rank && at >= from && at < from + 2_000,
    ).length;
  const getGrowth = (rank: number, route: string): number =>
    (2 * count(rank, route, 2_000)) / (count(rank, route, 0) + count(rank, route, 4_000));
  t.true(Math.abs(getGrowth(0, 'a') - 1) < 0.25);
  t.true(Math.abs(getGrowth(0, 'b') - 3) < 0.6);
  t.true(Math.abs(getGrowth(1, 'a') - 8) < 2);
  t.true(getGrowth(1, 'b') > 18);
});

// A lab that misses runs over the bound would pass any way of sharing quotas.
test('the worst window counts first runs, and refusals below the limit are found', (t) => {
  const [{ quota }] = makeOrganisations({ ...SMALL, organisations: ORGANISATIONS });
  t.true(quota.ratePerSecond > 80 && quota.burst > 50);
  const small = { name: 'o', quota: { ratePerSecond: 2, burst: 2 } };
  const startedAt = [0, 10, 20, 100, 5_050, 5_060];
  const tries = startedAt.map((at, i) => ({
    organisation: 'o',
    startedAt: at,
    ranAt: i === 4 ? undefined : at,
    isOverQuota: i === 2 || i === 4,
  }));
  const [{ got, at, allowed }] = findWorstQuotaWindows([small], tries, BOUND);
  t.deepEqual([got, at, Math.round(allowed * 10) / 10], [4, 100, 33.2]);
  t.is(countRefusedWithinQuota([small], tries), 1);
});

test('results are given by route, zone and organisation', (t) => {
  const zones = { count: 3, betweenDelayMs: 0.5 };
  const surges = { ...ORGANISATIONS, surges: [] };
  const result = playLab({ ...SMALL, zones, organisations: surges }, 3);
  t.deepEqual([...result.groups.byZone.keys()], ['zone-1', 'zone-2', 'zone-3']);
  t.is(result.groups.byOrganisation.size, 8);
  t.true((result.groups.worstOrganisations ?? 0) > 0.8);
  t.true(result.zoneBytes > 0);
  t.deepEqual(result.broken, []);
});
