import test from 'ava';
import fc from 'fast-check';

import { drawSchedule, scheduleFaults } from '../faultSchedules.js';
import { LocalFleet } from '../LocalFleet.js';

const WINDOW_MS = 1_000;

/** Returns the largest number of calls within any second. */
function getPeak(times: readonly number[]): number {
  let peak = 0;
  let from = 0;
  times.forEach((time, i) => {
    while ((times[from] ?? time) <= time - WINDOW_MS) from += 1;
    peak = Math.max(peak, i - from + 1);
  });
  return peak;
}

test('the fleet stays within its store call budget while membership views differ', (t) => {
  // VMs crash, restart and are partitioned while the store fails, so that processes divide the
  // budget by different numbers of members. If it were exceeded, the store would throttle them all.
  const settings = {
    storeWritesPerSecond: 24,
    storeReadsPerSecond: 40,
    maxEntryVms: 6,
    partitionsPerZone: 2,
    addressTtlMs: 1_000,
  };
  // Calls that full buckets allow on top of a second's budget: at most the minimum capacity of two
  // calls in each process plus the tokens of a quarter of a second.
  const burst = (rate: number): number => 2 * settings.maxEntryVms + rate / 4;
  fc.assert(
    fc.property(drawSchedule(4, 6_000), fc.integer({ min: 1, max: 10_000 }), (schedule, seed) => {
      const fleet = new LocalFleet({ size: 4, seed, settings });
      fleet.runFor(1_000);
      fleet.start(4);
      scheduleFaults(fleet, schedule);
      fleet.runFor(10_000);
      const { storeReadsPerSecond: reads, storeWritesPerSecond: writes } = settings;
      const peaks = [getPeak(fleet.storeWriteTimes), getPeak(fleet.storeReadTimes)];
      return (peaks[0] ?? 0) <= writes + burst(writes) && (peaks[1] ?? 0) <= reads + burst(reads);
    }),
    { seed: 3, numRuns: 15 },
  );
  t.pass();
});

test('when the store recovers from an outage, calls to it are spread over time', (t) => {
  // If all entry VMs called the store at the moment the outage ends, they would overload it again.
  const fleet = new LocalFleet({ size: 17 });
  fleet.runFor(3_000);
  fleet.store.faults.down = 'refusing';
  fleet.runFor(10_000);
  const restoredAt = fleet.clock.now();
  fleet.store.faults.down = undefined;
  fleet.runFor(1_000);
  const firstCalls = [...fleet.storeWriteTimes, ...fleet.storeReadTimes].filter(
    (time) => time > restoredAt && time <= restoredAt + 10,
  );
  t.true(firstCalls.length <= 12, `${firstCalls.length} calls in the first 10 ms`);
  t.is(fleet.store.throttledCalls, 0);
});
