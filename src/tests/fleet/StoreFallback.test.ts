import test from 'ava';

import type { FleetStore } from '../../fleet/FleetStore.js';
import { StoreCallError } from '../../fleet/FleetStore.js';
import { FleetView } from '../../fleet/FleetView.js';
import { StoreFallback } from '../../fleet/StoreFallback.js';
import { StoreMirror } from '../../fleet/StoreMirror.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { createRandom } from '../../standIns/models/index.js';

const CHECK_MS = 120;

/** Calls that VMs without fresh word make to a store that is away for eight seconds. */
function countCalls(vms: number): number {
  const random = createRandom(1);
  const fallbacks = Array.from({ length: vms }, () => new StoreFallback());
  let calls = 0;
  for (let now = 0; now < 8_000; now += CHECK_MS) {
    for (const fallback of fallbacks) {
      fallback.noteLost(now);
      if (!fallback.isOpen(now)) continue;
      calls += 1;
      fallback.noteFailure(now, vms, random());
    }
  }
  return calls;
}

test('a large fleet asks a store that is away hardly more often than a small one', (t) => {
  // The store is down for eight seconds and no VM has fresh word. Each asks for itself, again and
  // again; users see nothing of it but the bill, and once the store is back it is slow for all.
  t.snapshot([15, 94, 142].map((vms) => ({ vms, calls: countCalls(vms) })));
});

test('a VM that loses the one it follows asks another before the store', (t) => {
  // A third of the VMs is cut off. Those that followed them need no call to the store while the next
  // VM in turn knows as much; each of them asking the store is paid for, and slows it down for all.
  const fallback = new StoreFallback();
  fallback.noteLost(5_000);
  t.false(fallback.isOpen(5_000));
  fallback.noteWaiting(5_300, 300);
  t.false(fallback.isOpen(5_300));
  fallback.noteFresh();
  fallback.noteLost(9_000);
  t.false(fallback.isOpen(9_000));
});

test('a VM asks the store once the second in a row has no fresh word', (t) => {
  // The two that it asked may be cut off while the store and this VM are not. Configurations would
  // come into force seconds late here.
  const fallback = new StoreFallback();
  fallback.noteLost(5_000);
  fallback.noteWaiting(5_401, 401);
  t.true(fallback.isOpen(5_401));
  t.true(fallback.isOpen(8_400));
  t.false(fallback.isOpen(8_401));
});

/** A store that fails all calls, and counts them. */
function makeAwayStore() {
  const calls: string[] = [];
  const fail = (section: string): Promise<never> => {
    calls.push(section);
    return Promise.reject(new StoreCallError('unavailable', 'away'));
  };
  const store: FleetStore = {
    list: fail,
    watch: fail,
    announce: () => fail('announce'),
    writeRolloutState: () => fail('rollouts'),
  };
  return { calls, store };
}

test('a VM that does not watch finds out by one call that the store is away', async (t) => {
  const clock = new VirtualClock();
  const { calls, store } = makeAwayStore();
  const mirror = new StoreMirror({
    store,
    view: new FleetView(clock),
    clock,
    log: new EventLog('vm-1', {
      write: (_text, done) => done(),
      now: () => clock.now(),
      wallNow: () => 0,
    }),
    random: createRandom(1),
    onFailure: () => mirror.stop(),
  });
  mirror.start('canaryFirst');
  await new Promise(setImmediate);
  clock.runUntil(clock.now() + 5_000);
  await new Promise(setImmediate);
  t.deepEqual(calls, ['configuration']);
});
