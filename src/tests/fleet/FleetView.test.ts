import test from 'ava';

import type { StoredItem } from '../../fleet/FleetStore.js';
import { canStopWatching } from '../../fleet/FleetSync.js';
import { FleetView } from '../../fleet/FleetView.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { makeTarget, TABLE } from '../balancing/scene.js';
import { at } from './at.js';

function put(name: string): StoredItem<'targets'> {
  return { name, value: makeTarget(name) };
}

function makeView() {
  const clock = new VirtualClock();
  const view = new FleetView(clock);
  view.confirmations.confirm('targets');
  view.apply({
    section: 'targets',
    items: [put('t-1'), put('t-2')],
    position: at(5),
    isWhole: true,
  });
  return { clock, view };
}

test('a change of an earlier revision is ignored', (t) => {
  // A VM changes its source from a VM that is up to date to one that was isolated. The older data
  // would restore a target that has left, and requests to it would be lost.
  const { view } = makeView();
  view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: undefined }],
    position: at(9),
    isWhole: false,
  });
  view.apply({
    section: 'targets',
    items: [put('t-1'), put('t-2')],
    position: at(7),
    isWhole: true,
  });
  t.deepEqual([...view.targets.keys()], ['t-2']);
});

test('an object that a whole section lacks is removed', (t) => {
  const { view } = makeView();
  view.apply({ section: 'targets', items: [put('t-2')], position: at(6), isWhole: true });
  t.deepEqual([...view.targets.keys()], ['t-2']);
});

test('targets whose entries expired in a store outage are kept until they had time to register again', (t) => {
  // The store is down for some seconds and its entries expire. All targets are up, but for two
  // seconds after its recovery the store lists none, and every request would be refused.
  const { clock, view } = makeView();
  clock.runUntil(clock.now() + 8_000);
  view.confirmations.confirm('targets');
  view.apply({ section: 'targets', items: [], position: at(20), isWhole: true });
  t.is(view.targets.size, 2);
  clock.runUntil(clock.now() + 1_000);
  view.apply({ section: 'targets', items: [put('t-1')], position: at(22), isWhole: false });
  clock.runUntil(clock.now() + 1_600);
  t.is(view.targets.size, 2);
  clock.runUntil(clock.now() + 200);
  t.deepEqual([...view.targets.keys()], ['t-1']);
});

test('a target that leaves while the store is up is removed at once', (t) => {
  const { clock, view } = makeView();
  clock.runUntil(clock.now() + 700);
  view.confirmations.confirm('targets');
  view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: undefined }],
    position: at(8),
    isWhole: false,
  });
  t.deepEqual([...view.targets.keys()], ['t-2']);
});

test('an older version of the configuration never replaces a later one', (t) => {
  const { view } = makeView();
  const take = (version: number, revision: number) =>
    view.apply({
      section: 'configuration',
      items: [{ name: 'main', value: { ...TABLE, version } }],
      position: at(revision),
      isWhole: true,
    });
  take(4, 10);
  take(3, 11);
  t.is(view.table?.version, 4);
});

test('the age is that of the least recently confirmed section', (t) => {
  const { clock, view } = makeView();
  t.is(view.confirmations.getAgeMs(), Number.POSITIVE_INFINITY);
  view.confirmations.confirm('configuration');
  clock.runUntil(clock.now() + 400);
  view.confirmations.confirm('targets');
  t.is(view.confirmations.getAgeMs(), 400);
});

test('two VMs that follow each other don’t send each other the same change for ever', (t) => {
  // During a store outage two VMs follow each other. Each change that one sends to the other comes
  // back to it; forwarded again, it would saturate the links between zones.
  const { view } = makeView();
  const other = makeView().view;
  let forwarded = 0;
  const tell = (to: FleetView) => (change: Parameters<FleetView['apply']>[0]) => {
    forwarded += 1;
    if (forwarded < 100) to.apply(change);
  };
  view.onChange(tell(other));
  other.onChange(tell(view));
  const items = [put('t-3'), { name: 't-1', value: undefined }];
  view.apply({ section: 'targets', items, position: at(6), isWhole: false });
  t.is(forwarded, 2);
  t.deepEqual([...other.targets.keys()], ['t-2', 't-3']);
});

test('a VM watches the store until it has seen whether missing targets register again', (t) => {
  // The store recovers without the expired entries. A VM that watches it sees them missing and then
  // follows a VM that never did. That one does not forward their return as a change, so the first
  // VM removes them for good and refuses callers while the targets are idle.
  const { clock, view } = makeView();
  t.true(canStopWatching(view, true));
  clock.runUntil(clock.now() + 8_000);
  view.confirmations.confirm('targets');
  view.apply({ section: 'targets', items: [], position: at(20), isWhole: true });
  t.false(canStopWatching(view, true));
  clock.runUntil(clock.now() + 1_000);
  view.apply({
    section: 'targets',
    items: [put('t-1'), put('t-2')],
    position: at(21),
    isWhole: false,
  });
  t.true(canStopWatching(view, true));
  t.false(canStopWatching(view, false));
  clock.runUntil(clock.now() + 5_000);
  t.is(view.targets.size, 2);
});

test('targets that register again are kept, whatever a peer has sent meanwhile', (t) => {
  // The store recovers without the expired entries. A VM sees them missing and then gets a later
  // revision from a peer that still keeps them. The store's own change that they are back has an
  // earlier revision; if it were ignored, all targets would be removed two seconds later, for good.
  const { clock, view } = makeView();
  clock.runUntil(clock.now() + 8_000);
  view.confirmations.confirm('targets');
  view.apply({ section: 'targets', items: [], position: at(20), isWhole: true });
  const whole = { section: 'targets', items: [put('t-1'), put('t-2')], isWhole: true } as const;
  view.apply({ ...whole, position: at(40), isFromPeer: true });
  t.true(view.hasDeferredRemovals);
  view.apply({ section: 'targets', items: [put('t-1')], position: at(30), isWhole: false });
  clock.runUntil(clock.now() + 3_000);
  t.deepEqual([...view.targets.keys()], ['t-1']);
});

test('the return of a target is forwarded once', (t) => {
  // A VM that saw targets missing follows a VM that kept them. Their return is no change for the
  // latter, but the former waits for it.
  const { clock, view } = makeView();
  const reportedNames: string[] = [];
  view.onChange(({ items }) => reportedNames.push(...items.map(({ name }) => name)));
  clock.runUntil(clock.now() + 8_000);
  view.confirmations.confirm('targets');
  view.apply({ section: 'targets', items: [put('t-1')], position: at(30), isWhole: false });
  view.apply({ section: 'targets', items: [put('t-1')], position: at(30), isWhole: false });
  t.deepEqual(reportedNames, ['t-1']);
});

// A VM whose source is lost hears nothing for a while, and no entry expires because of that.
test('a target that leaves is removed at once although this VM had lost its source', (t) => {
  const { clock, view } = makeView();
  view.confirmations.confirmFromPeer({ origin: 'watcher', count: 1 }, clock.now());
  clock.runUntil(clock.now() + 1_900);
  view.confirmations.confirmFromPeer({ origin: 'watcher', count: 2 }, clock.now());
  view.apply({
    section: 'targets',
    items: [put('t-2')],
    position: at(8),
    isWhole: true,
    isFromPeer: true,
  });
  t.deepEqual([...view.targets.keys()], ['t-2']);
});

// Guards against a configuration that is dropped for another object of its kind.
test('objects beside the configuration are neither applied nor reported', (t) => {
  const { view } = makeView();
  const reported: string[] = [];
  view.onChange(({ section, items }) => {
    if (section === 'configuration') reported.push(...items.map(({ name }) => name));
  });
  const main = { name: 'main', value: TABLE };
  const others = ['a', 'z'].map((name) => ({ name, value: undefined }));
  const later = { name: 'later', value: { ...TABLE, version: TABLE.version + 1 } };
  const section = 'configuration';
  view.apply({ section, items: [others[0], main, others[1]], position: at(6), isWhole: true });
  view.apply({ section, items: [...others, later], position: at(7), isWhole: false });
  view.apply({ section, items: [others[1], later], position: at(3, 2), isWhole: true });
  t.deepEqual([view.table, reported], [TABLE, ['main']]);
});
