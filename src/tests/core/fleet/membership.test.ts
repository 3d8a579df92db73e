import test from 'ava';

import { isConfigurationFresh } from '../../../core/fleet/index.js';
import { makeConfiguration, makeService } from '../fixtures.js';
import type { LocalFleetOptions } from '../LocalFleet.js';
import { LocalFleet } from '../LocalFleet.js';

const ZONES = ['a', 'b', 'c'];

/** Starts a fleet with a configuration in the store and runs it for three seconds. */
function startFleet(options: LocalFleetOptions): LocalFleet {
  const fleet = new LocalFleet(options);
  const { root, services } = makeConfiguration(1, [makeService('horaires', 12)]);
  const zones = ZONES.map((name) => ({ name, region: 'north', state: 'in' as const }));
  const put = (key: string, value: unknown): void =>
    fleet.store.call({ op: 'put', key, value, expect: 0 }, () => {});
  for (const object of services) {
    put(`config/services/${object.service.name}/${object.hash}`, object);
  }
  put('config/root', { ...root, zones });
  fleet.runFor(3_000);
  return fleet;
}

/** Counts the partitions that are driven by exactly one process. */
function countDrivenPartitions(fleet: LocalFleet): number {
  return [...fleet.getPartitions()].filter((partition) => fleet.getDrivers(partition).length === 1)
    .length;
}

const PARTITION_COUNT = ZONES.length * 32;

/** Runs the fleet; returns the time from which all partitions stay driven, 0 if they always are. */
function measureIdleMs(fleet: LocalFleet, ms: number): number {
  const start = fleet.clock.now();
  let lastIdleAt = start;
  for (let at = 0; at < ms; at += 10) {
    fleet.runFor(10);
    if (countDrivenPartitions(fleet) < PARTITION_COUNT) lastIdleAt = fleet.clock.now();
  }
  return lastIdleAt - start;
}

test('fleets of 1, 2 and 17 processes drive every partition exactly once', (t) => {
  for (const size of [1, 2, 17]) {
    const fleet = startFleet({ size });
    t.is(countDrivenPartitions(fleet), PARTITION_COUNT, `${size} processes`);
    t.deepEqual(fleet.getConflicts(), []);
    t.true(
      fleet.getProcess(0).state.fleet.assignment.epoch <= 3,
      'processes that start together join in few epochs',
    );
  }
});

test('an ended process is replaced within two heartbeats', (t) => {
  // The process of an entry VM crashes while its VM keeps running. Its targets are idle until other
  // processes drive them, and until then requests wait or are refused.
  const fleet = startFleet({ size: 17 });
  fleet.getProcess(4).condition = 'ended';
  t.true(measureIdleMs(fleet, 3_000) <= 400);
});

test('a dead VM is replaced as soon as its last lease expires', (t) => {
  // A VM fails without notice, and other processes can't tell that from a pause. Its targets have
  // to stay idle until its lease has expired, but no longer.
  const fleet = startFleet({ size: 17 });
  fleet.getProcess(4).condition = 'dead';
  const { leaseDurationMs, leaseMarginMs } = fleet.getProcess(0).state.settings;
  t.true(measureIdleMs(fleet, 5_000) <= leaseDurationMs + leaseMarginMs + 100);
});

test('a holder that resumes from a pause drives no partition that was taken over', (t) => {
  // A VM is paused for some seconds, as in a live migration. When it resumes, its process still
  // assumes that it holds its lease. If it acted on that, targets would get twice the load that
  // they can carry.
  const fleet = startFleet({ size: 5 });
  const paused = fleet.getProcess(2);
  paused.condition = 'paused';
  fleet.runFor(4_000);
  t.is(countDrivenPartitions(fleet), PARTITION_COUNT);
  fleet.resume(paused);
  let conflicts = 0;
  fleet.runFor(3_000, () => {
    conflicts += fleet.getConflicts().length;
  });
  t.is(conflicts, 0);
  t.is(countDrivenPartitions(fleet), PARTITION_COUNT);
  t.true(paused.state.fleet.granted.size > 0, 'the process joined again');
});

test('holders keep their partitions during a long store outage', (t) => {
  // The platform's store is down for a minute and no lease can be renewed there. Without
  // confirmations among the members, the whole fleet would stop.
  const fleet = startFleet({ size: 7 });
  fleet.store.faults.down = 'hanging';
  t.is(measureIdleMs(fleet, 60_000), 0);
  fleet.store.faults.down = undefined;
  t.is(measureIdleMs(fleet, 5_000), 0);
});

test('an isolated entry VM drives nothing, and takes no new work once it has no peer left', (t) => {
  // The network of one VM fails except for the link to a single peer, then completely. From then on
  // it can't learn whether a zone was taken out, so it must not accept requests.
  const fleet = startFleet({ size: 7 });
  const cut = fleet.getProcess(3);
  const friend = fleet.getProcess(4);
  fleet.canReachStore = (process) => process !== cut;
  fleet.isLinked = (from, to) => {
    if (from !== cut && to !== cut) return true;
    return from === friend || to === friend;
  };
  fleet.runFor(5_000);
  t.is(fleet.getDrivers([...cut.state.fleet.granted][0] ?? '').includes(cut), false);
  t.is(countDrivenPartitions(fleet), PARTITION_COUNT);
  t.true(
    isConfigurationFresh(cut.state, fleet.getTime(cut)),
    'its peer confirms the configuration',
  );
  fleet.isLinked = (from, to) => from !== cut && to !== cut;
  fleet.runFor(cut.state.settings.freshnessMs + 600);
  t.false(isConfigurationFresh(cut.state, fleet.getTime(cut)));
  t.true(isConfigurationFresh(friend.state, fleet.getTime(friend)));
});

test('a planned stop hands over at once, serves cached addresses and then exits', (t) => {
  // An operator replaces a VM. Callers that still have its address cached must not be affected.
  const fleet = startFleet({ size: 5 });
  const leaving = fleet.getProcess(1);
  fleet.dispatch(leaving, { kind: 'stopAsked' });
  t.true(measureIdleMs(fleet, 2_000) <= 50);
  t.is(leaving.state.fleet.granted.size, 0);
  const { addressTtlMs } = leaving.state.settings;
  fleet.runFor(addressTtlMs - 2_000);
  t.is(leaving.condition, 'running');
  fleet.runFor(2_500);
  t.is(leaving.condition, 'ended');
  t.is(fleet.store.peek(`fleet/members/${leaving.id}`), undefined);
  t.is(countDrivenPartitions(fleet), PARTITION_COUNT);
});
