import test from 'ava';

import type { StoreOp } from '../../core/index.js';
import type { ServiceLevelHistory } from '../../report/index.js';
import { FLUSH_PERIOD_MS, ServiceLevelRecorder, ServiceLevelStore } from '../../report/index.js';
import { StoreFake } from '../StoreFake.js';

const START = Date.parse('2026-03-05T10:20:00Z');
const HOUR_MS = 3_600_000;

/** Creates the recorder and store of an entry VM, with a wall clock that the test controls. */
function makeVm(store: StoreFake, id: string, clock: { now: number }) {
  const recorder = new ServiceLevelRecorder({
    getObjective: (service) => (service === 'bei' ? { latencyMs: 100, share: 0.99 } : undefined),
    wallNow: () => clock.now,
  });
  const levels = new ServiceLevelStore(store, id);
  return {
    levels,
    answer: (latencyMs: number, target = 'bei/t1') =>
      recorder.record({ service: 'bei', zone: 'a', target, outcome: 'answered', latencyMs }),
    recorder,
    flush: () => levels.flush(recorder, clock.now),
  };
}

function getTotals(history: ServiceLevelHistory | undefined): number[] {
  const sums = [0, 0, 0, 0];
  const inHours = Object.values(history?.hours ?? {}).flatMap(Object.values);
  for (const series of [...inHours, ...Object.values(history?.days ?? {})]) {
    (series['bei|a'] ?? []).forEach((count: number, i: number) => {
      sums[i] += count;
    });
  }
  return sums;
}

test('outcomes are counted by service, zone and minute, and by target only if bad', async (t) => {
  const store = new StoreFake();
  const clock = { now: START };
  const vm = makeVm(store, 'vm1#1', clock);
  vm.answer(20);
  vm.answer(100);
  vm.answer(101);
  vm.recorder.record({ service: 'bei', zone: 'b', outcome: 'refused', latencyMs: 1 });
  vm.recorder.record({ service: 'nobody', zone: 'b', outcome: 'refused', latencyMs: 1 });
  clock.now += 60_000;
  vm.recorder.record({
    service: 'bei',
    zone: 'a',
    target: 'bei/t2',
    outcome: 'failed',
    latencyMs: 9,
  });
  t.true(await vm.flush());
  t.snapshot(store.model.peek('report/hours/2026-03-05T10')?.value);
});

test('if an entry VM is replaced, only its counts since the last flush are lost', async (t) => {
  // A VM is lost without warning and a new one gets its name. Of the counts of the old VM, only those
  // since its last flush may be lost.
  const store = new StoreFake();
  const clock = { now: START };
  const first = makeVm(store, 'vm1#1', clock);
  for (let second = 0; second < 60; second += 1) {
    first.answer(20);
    clock.now += 1_000;
    if ((clock.now - START) % FLUSH_PERIOD_MS === 0) await first.flush();
  }
  for (let second = 0; second < FLUSH_PERIOD_MS / 1_000 - 1; second += 1) first.answer(20);
  const second = makeVm(store, 'vm1#2', clock);
  second.answer(20);
  await second.flush();
  const [good] = getTotals(await second.levels.read(clock.now));
  t.is(good, 61);
});

test('an addition whose answer was lost is counted once', async (t) => {
  // The store applies an addition and its answer is lost. A plain retry would count every request of
  // the period twice, and the burn report would be wrong for the 30 days of the budget.
  const store = new StoreFake();
  const clock = { now: START };
  const vm = makeVm(store, 'vm1#1', clock);
  let losses = 1;
  store.model.faults.losesAnswer = (op: StoreOp) => {
    if (op.op !== 'put' || losses === 0) return false;
    losses -= 1;
    return true;
  };
  vm.answer(20);
  t.false(await vm.flush());
  vm.answer(300);
  t.true(await vm.flush());
  t.deepEqual(getTotals(await vm.levels.read(clock.now)), [1, 1, 0, 0]);
});

test('concurrent additions of several entry VMs are all counted', async (t) => {
  // Several VMs read the same object and then write it. Without a conditional write the last one would
  // overwrite the others.
  const store = new StoreFake();
  const clock = { now: START };
  const vms = ['vm1#1', 'vm2#1', 'vm3#1'].map((id) => makeVm(store, id, clock));
  for (let round = 0; round < 6; round += 1) {
    for (const vm of vms) vm.answer(20);
    await Promise.all(vms.map((vm) => vm.flush()));
  }
  for (const vm of vms) while (!(await vm.flush())) t.pass();
  t.deepEqual(getTotals(await vms[0].levels.read(clock.now)), [18, 0, 0, 0]);
});

test('counts of a store outage are buffered and stored in their own hours afterwards', async (t) => {
  // The store is unavailable for three hours. The counts of that time must be added to the hours in
  // which the requests ended.
  const store = new StoreFake();
  const clock = { now: START };
  const vm = makeVm(store, 'vm1#1', clock);
  store.model.faults.down = 'refusing';
  for (let hour = 0; hour < 3; hour += 1) {
    vm.answer(20);
    t.false(await vm.flush());
    clock.now += HOUR_MS;
  }
  delete store.model.faults.down;
  t.true(await vm.flush());
  const history = await vm.levels.read(clock.now);
  t.deepEqual(Object.keys(history?.hours ?? {}), [
    '2026-03-05T10',
    '2026-03-05T11',
    '2026-03-05T12',
  ]);
});

test('old hours are rolled up into their day exactly once, and expired days are deleted', async (t) => {
  // Without roll-ups, counts by the minute would fill the store within a month. A roll-up takes two
  // writes and may be interrupted between them; the hour must be neither lost nor counted twice.
  const store = new StoreFake();
  const clock = { now: START };
  const vm = makeVm(store, 'vm1#1', clock);
  vm.answer(20);
  await vm.flush();
  clock.now += 4 * 24 * HOUR_MS + HOUR_MS;
  let interrupted = false;
  store.model.faults.losesAnswer = (op: StoreOp) => {
    const isMove = op.op === 'put' && op.key.startsWith('report/days/') && !interrupted;
    interrupted ||= isMove;
    return isMove;
  };
  for (let i = 0; i < 3; i += 1) {
    await vm.flush();
    t.deepEqual(getTotals(await vm.levels.read(clock.now)), [1, 0, 0, 0]);
    clock.now += HOUR_MS;
  }
  t.is(store.model.peek('report/hours/2026-03-05T10'), undefined);
  clock.now += 40 * 24 * HOUR_MS;
  await vm.flush();
  t.is(store.model.peek('report/days/2026-03-05'), undefined);
});
