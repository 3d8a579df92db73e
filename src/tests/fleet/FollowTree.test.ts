import test from 'ava';

import { findTreePosition, makeSeedVms, sortVmsForTree } from '../../fleet/FollowTree.js';

function makeVms(count: number, getLinkMbps: (i: number) => number = () => 1_000, zones = 1) {
  return Array.from({ length: count }, (_, i) => ({
    name: `vm-${i}`,
    zone: `zone-${i % zones}`,
    peers: `10.0.0.${i}:7000`,
    linkMbps: getLinkMbps(i),
  }));
}

function getPositions(count: number, zones = 1) {
  const order = sortVmsForTree(makeVms(count, undefined, zones));
  return order.map(({ name }) => findTreePosition(order, name));
}

test('two VMs watch, no VM has more than eight followers, and the tree stays flat', (t) => {
  for (const [count, zones] of [
    [2, 1],
    [3, 3],
    [15, 3],
    [19, 4],
    [94, 1],
    [94, 4],
    [142, 1],
    [142, 3],
    [312, 5],
  ]) {
    const places = getPositions(count, zones);
    t.is(places.filter(({ isWatcher }) => isWatcher).length, 2);
    const followers = new Map<string, number>();
    for (const { isWatcher, source } of places) {
      if (isWatcher || source === undefined) continue;
      followers.set(source.name, (followers.get(source.name) ?? 0) + 1);
    }
    t.true(Math.max(0, ...followers.values()) <= 8);
    t.true(Math.max(...places.map(({ hops }) => hops)) <= 2);
  }
});

test('a change is sent to each availability zone once', (t) => {
  // Each change of a target is sent to all of 312 VMs in five zones. If VMs followed one another
  // whatever their zone, it would cross zones 250 times, more traffic than the answers to callers.
  const order = sortVmsForTree(makeVms(312, undefined, 5));
  const crossZoneFollowers = order.filter(({ name, zone }) => {
    const { source } = findTreePosition(order, name);
    return source !== undefined && source.zone !== zone;
  });
  t.true(crossZoneFollowers.length <= 5 + 1, `${crossZoneFollowers.length} times`);
});

test('when the first VM of a zone is isolated, another one of the zone takes its place', (t) => {
  // All VMs of a zone follow the store through one VM. When that one is isolated, the next in the
  // order takes its place for all of them, and each change is still sent to the zone once.
  const order = sortVmsForTree(makeVms(40, undefined, 4));
  const watcherZones = order.slice(0, 2).map(({ zone }) => zone);
  const first = order.find(({ zone }) => !watcherZones.includes(zone));
  const remaining = order.filter(({ name }) => name !== first?.name);
  const zoneVms = remaining.filter(({ zone }) => zone === first?.zone);
  const [next, ...rest] = zoneVms.map(({ name }) => findTreePosition(remaining, name).source);
  t.true(next !== undefined && next.zone !== first?.zone);
  t.true(rest.every((source) => source?.zone === first?.zone && source?.name !== first?.name));
});

test('all VMs compute the same order, whatever the order of their lists', (t) => {
  const vms = makeVms(20);
  t.deepEqual(sortVmsForTree([...vms].reverse()), sortVmsForTree(vms));
});

test('a VM that loses its source gets another one, never itself', (t) => {
  // A VM with many followers is isolated and avoided by them; each needs another source at once.
  const order = sortVmsForTree(makeVms(30));
  const { source } = findTreePosition(order, order[29].name);
  const remaining = order.filter(({ name }) => name !== source?.name);
  const next = findTreePosition(remaining, order[29].name);
  t.not(next.source?.name, source?.name);
  t.not(next.source?.name, order[29].name);
});

test('VMs with slow links neither watch nor are followed while there are enough others', (t) => {
  // If both watchers had links of 7 Mbit/s, a large configuration would take more than a second to
  // reach them. All others would find their data stale and call the store, and new routes would be
  // unknown for seconds.
  const order = sortVmsForTree(makeVms(142, (i) => (i % 3 === 0 ? 100 : 7)));
  const followed = order.map(({ name }) => findTreePosition(order, name).source);
  t.true(order.slice(0, 2).every(({ linkMbps }) => linkMbps === 100));
  t.true(followed.every((source) => source?.linkMbps === 100));
});

test('VMs that know only their seeds don’t all become watchers', (t) => {
  // All VMs restart during a store outage and can't read the list of VMs. If each came before its
  // seeds in the order, each would be a watcher and call the store again and again.
  const seeds = makeSeedVms(['10.0.0.7:7000', '10.0.0.8:7000', '10.0.0.9:7000'], {
    zone: 'zone-0',
    linkMbps: 1_000,
  });
  const watchers = makeVms(100).filter(
    (self) => findTreePosition(sortVmsForTree([...seeds, self]), self.name).isWatcher,
  );
  t.true(watchers.length > 25 && watchers.length < 75, `${watchers.length} of 100`);
});

test('the only VM watches and follows nobody', (t) => {
  t.deepEqual(getPositions(1), [{ isWatcher: true, source: undefined, hops: 0 }]);
});
