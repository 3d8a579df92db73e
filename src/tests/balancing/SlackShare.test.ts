import test from 'ava';
import fc from 'fast-check';

import { SlackShare } from '../../balancing/SlackShare.js';

const WINDOW_MS = 10_000;

// A share that grows as soon as a VM has left is used beside what that VM has used.
test('a share follows a smaller fleet only after a window', (t) => {
  const share = new SlackShare(WINDOW_MS);
  share.recordVms(15, -20_000);
  share.recordVms(12, 2_000);
  share.recordVms(14, 3_000);
  t.deepEqual(
    [1_000, 11_999, 12_000, 12_999, 13_000, 60_000].map((now) => share.getVms(now)),
    [15, 15, 14, 14, 14, 14],
  );
});

// Kept too long, a single report of a large fleet would throttle the VMs for good.
test('the share is that of the largest fleet within the window', (t) => {
  const step = fc.record({ vms: fc.integer({ min: 1, max: 20 }), waitMs: fc.nat(4_000) });
  const property = fc.property(fc.array(step, { minLength: 1, maxLength: 40 }), (steps) => {
    const share = new SlackShare(WINDOW_MS);
    share.recordVms(1, -WINDOW_MS);
    const changes: { from: number; vms: number }[] = [];
    let from = 0;
    for (const { vms, waitMs } of steps) {
      from += waitMs;
      share.recordVms(vms, from);
      changes.push({ from, vms });
    }
    const inForce = changes.filter((_, i) => (changes[i + 1]?.from ?? from) > from - WINDOW_MS);
    return share.getVms(from) === Math.max(...inForce.map(({ vms }) => vms));
  });
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 300 }));
});

// A VM that takes itself for the only one uses the slack of all.
test('there is no share before the VMs are known', (t) => {
  t.is(new SlackShare(WINDOW_MS).getVms(60_000), undefined);
});

// The predecessor of a process has used the same share within the same window.
test('a process has no share for one window', (t) => {
  const share = new SlackShare(WINDOW_MS);
  share.recordVms(15, 1_000);
  t.is(share.getVms(10_999), undefined);
  t.is(share.getVms(11_000), 15);
});

// The VMs on a list of two share all of the slack between them; nothing is left for the others.
test('a VM that is not listed has no share, and gets one a window after it is listed again', (t) => {
  const share = new SlackShare(WINDOW_MS);
  share.recordVms(15, 0);
  t.is(share.getVms(20_000), 15);
  share.recordVms(2, 20_000, false);
  t.is(share.getVms(20_000), undefined);
  share.recordVms(15, 40_000, true);
  t.deepEqual([share.getVms(49_999), share.getVms(50_000)], [undefined, 15]);
});
