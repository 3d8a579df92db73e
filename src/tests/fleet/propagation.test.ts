import test from 'ava';
import fc from 'fast-check';

import { findTreePosition, sortVmsForTree } from '../../fleet/FollowTree.js';
import { dividePropagation, getLongestPropagationMs, MAX_HOPS } from '../../fleet/propagation.js';

const FLEETS = [
  { vms: 17, zones: 3 },
  { vms: 94, zones: 5 },
  { vms: 312, zones: 3 },
];

function getMostHops(vms: number, zones: number): number {
  const all = Array.from({ length: vms }, (_, i) => ({
    name: `vm-${i}`,
    zone: `zone-${i % zones}`,
    peers: `10.0.0.1:${i}`,
    linkMbps: 100,
  }));
  const sorted = sortVmsForTree(all);
  return Math.max(...all.map(({ name }) => findTreePosition(sorted, name).hops));
}

// A change that takes longer than the bound reaches callers as a 404 or targets as a late request.
test('the stages of a change together take no longer than the bound', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1_000, max: 86_400_000 }), (boundMs) => {
      const times = dividePropagation(boundMs);
      for (let hops = 0; hops <= MAX_HOPS; hops++) {
        if (getLongestPropagationMs(times, hops) > boundMs) return false;
      }
      return times.watchWaitMs < times.staleMs && times.checkMs < times.stalePerHopMs;
    }),
  );
  t.snapshot([2_000, 2_500].map(dividePropagation));
});

// With more VMs between a source and a watcher than are reckoned with, the bound would not hold.
test('no fleet has more hops than the bound is divided for', (t) => {
  t.deepEqual(
    FLEETS.filter(({ vms, zones }) => getMostHops(vms, zones) > MAX_HOPS),
    [],
  );
});
