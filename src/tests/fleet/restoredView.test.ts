import test from 'ava';

import { UNKNOWN_EPOCH } from '../../core/model/index.js';
import { FleetView } from '../../fleet/FleetView.js';
import type { SectionChange } from '../../fleet/sectionChanges.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import type { RolloutOrder } from '../../rollouts/index.js';
import { makeTarget, TABLE } from '../balancing/scene.js';
import { at } from './at.js';

/** Creates the whole list of targets, or changes of it. */
function makeTargets(
  ids: readonly string[],
  position: ReturnType<typeof at>,
  changes: Partial<SectionChange<'targets'>> = {},
): SectionChange<'targets'> {
  const items = ids.map((id) => ({ name: id, value: makeTarget(id) }));
  return { section: 'targets', items, position, isWhole: true, ...changes };
}

function makeZonesOut(
  zones: readonly string[],
  position: ReturnType<typeof at>,
  changes: Partial<SectionChange<'zonesOut'>> = {},
): SectionChange<'zonesOut'> {
  const items = zones.map((name) => ({ name, value: true as const }));
  return { section: 'zonesOut', items, position, isWhole: true, ...changes };
}

/** A view of two targets and one zone out, in the first epoch. */
function makeView() {
  const clock = new VirtualClock();
  const view = new FleetView(clock);
  view.apply(makeTargets(['t-1', 't-2'], at(50)));
  view.apply(makeZonesOut(['phare'], at(50)));
  return { clock, view };
}

function getIds(view: FleetView): string[] {
  return [...view.targets.keys()];
}

// An answer of the earlier epoch that was on its way undoes what has been read in the later one.
test('a late change of an earlier epoch is ignored, from the store and from peers', (t) => {
  const { view } = makeView();
  view.apply(makeTargets(['t-1', 't-2', 't-3'], at(20, 2)));
  t.is(view.apply(makeTargets(['t-1'], at(60))), 'ignored');
  t.is(view.apply(makeTargets(['t-1'], at(70), { isFromPeer: true })), 'ignored');
  t.is(view.apply(makeTargets(['t-1'], at(80, UNKNOWN_EPOCH), { isFromPeer: true })), 'ignored');
  t.deepEqual(getIds(view), ['t-1', 't-2', 't-3']);
});

// What comes after a restore without the whole section builds on objects that may be lost.
test('changes of a later epoch are not applied before the whole section', (t) => {
  const { view } = makeView();
  t.is(view.apply(makeTargets(['t-3'], at(20, 2), { isWhole: false })), 'incomplete');
  t.deepEqual(getIds(view), ['t-1', 't-2']);
  t.deepEqual(view.getPosition('targets'), at(50));
});

// Epochs may be skipped by a VM that was cut off, and a store may be restored twice within seconds.
test('objects are kept across two restores in a row and a skipped epoch', (t) => {
  const { clock, view } = makeView();
  view.apply(makeZonesOut([], at(20, 3)));
  clock.runUntil(clock.now() + 4_000);
  view.apply(makeZonesOut([], at(10, 4)));
  clock.runUntil(clock.now() + 4_000);
  t.deepEqual([...view.zonesOut.keys()], ['phare']);
  view.apply(makeZonesOut(['phare'], at(12, 4), { isWhole: false }));
  clock.runUntil(clock.now() + 10_000);
  t.deepEqual([...view.zonesOut.keys()], ['phare']);
});

// A zone that operators take back right after a restore must not stay out for five seconds.
test('an object that is removed after a restore is removed at once', (t) => {
  const { view } = makeView();
  view.apply(makeZonesOut(['phare'], at(20, 2)));
  const items = [{ name: 'phare', value: undefined }];
  view.apply({ section: 'zonesOut', items, position: at(21, 2), isWhole: false });
  t.is(view.zonesOut.size, 0);
});

// A store that begins to state epochs, or a peer that does not state them, is no restore.
test('nothing is kept when the epoch was unknown before', (t) => {
  const clock = new VirtualClock();
  const view = new FleetView(clock);
  view.apply(makeTargets(['t-1', 't-2'], at(50, UNKNOWN_EPOCH)));
  view.apply(makeTargets(['t-2'], at(20, 1)));
  t.deepEqual(getIds(view), ['t-2']);
});

// A store may count its epochs from zero.
test('objects are kept when the first epoch of a store is followed by the second', (t) => {
  const view = new FleetView(new VirtualClock());
  view.apply(makeZonesOut(['phare'], at(50, 0)));
  view.apply(makeZonesOut([], at(20, 1)));
  t.deepEqual([...view.zonesOut.keys()], ['phare']);
});

// A follower that does not know what its source keeps would keep it for ever, or drop it too early.
test('a follower keeps what its source keeps, and drops it when the source does', (t) => {
  const { clock, view: source } = makeView();
  const follower = new FleetView(clock);
  source.apply(makeTargets(['t-1'], at(20, 2)));
  clock.runUntil(clock.now() + 1_000);
  follower.apply({ ...source.getSnapshot('targets'), isFromPeer: true });
  t.deepEqual(getIds(follower), ['t-1', 't-2']);
  clock.runUntil(clock.now() + 1_800);
  t.deepEqual(getIds(source), ['t-1']);
  t.deepEqual(getIds(follower), ['t-1']);
});

// A whole list reports no change of an object that is there again, and followers would drop it.
test('followers learn that a kept object is listed again', (t) => {
  const { clock, view: source } = makeView();
  const follower = new FleetView(clock);
  source.onChange((change) => follower.apply({ ...change, isFromPeer: true }));
  source.apply(makeTargets(['t-1'], at(20, 2)));
  source.apply(makeTargets(['t-1', 't-2'], at(22, 2)));
  clock.runUntil(clock.now() + 10_000);
  t.deepEqual(getIds(source), ['t-1', 't-2']);
  t.deepEqual(getIds(follower), ['t-1', 't-2']);
});

// A VM that started after the restore does not know what is missing, and its word ends nothing.
test('objects are kept although a peer that has just started lacks them', (t) => {
  const { clock, view } = makeView();
  const peer = new FleetView(clock);
  peer.apply(makeTargets(['t-1'], at(20, 2)));
  view.apply({ ...peer.getSnapshot('targets'), isFromPeer: true });
  t.deepEqual(getIds(view), ['t-1', 't-2']);
});

// The store may be behind the entry VMs after a restore, and a new VM would serve by the older one.
test('a later configuration is taken from a peer of an earlier epoch', (t) => {
  const view = new FleetView(new VirtualClock());
  const read = (version: number, position: ReturnType<typeof at>) =>
    view.apply({
      section: 'configuration',
      items: [{ name: 'main', value: { ...TABLE, version } }],
      position,
      isWhole: true,
    });
  read(54, at(20, 2));
  t.is(read(58, at(60)), 'applied');
  t.is(view.table?.version, 58);
  t.deepEqual(view.getPosition('configuration'), at(20, 2));
  read(54, at(21, 2));
  t.is(view.table?.version, 58);
});

// The largest configurations fill slow links for half a second if they are sent to all followers.
test('a known configuration is not sent to followers again after a restore', (t) => {
  const view = new FleetView(new VirtualClock());
  const items = [{ name: 'main', value: TABLE }];
  const change = { section: 'configuration', items, isWhole: true } as const;
  view.apply({ ...change, position: at(50) });
  const sent: SectionChange<'configuration'>[] = [];
  view.onChange((each) => sent.push(each as SectionChange<'configuration'>));
  view.apply({ ...change, position: at(20, 2) });
  t.deepEqual(sent, [{ section: 'configuration', items: [], position: at(20, 2), isWhole: false }]);
  const follower = new FleetView(new VirtualClock());
  follower.apply({ ...change, position: at(50) });
  t.is(follower.apply({ ...sent[0], isFromPeer: true }), 'applied');
  t.deepEqual(follower.getPosition('configuration'), at(20, 2));
});

function makeOrder(changes: Partial<RolloutOrder>): RolloutOrder {
  return {
    id: 'horaires@40/v2',
    name: 'horaires',
    service: 'horaires',
    version: 'v2',
    durationMs: 9_000,
    position: at(45),
    state: 'completed',
    ...changes,
  };
}

// An order for another version is a new one, whatever the store has lost.
test('only an order for the same version is continued after a restore', (t) => {
  const view = new FleetView(new VirtualClock());
  const read = (order: RolloutOrder, position: ReturnType<typeof at>, isWhole: boolean) => {
    const items = [{ name: 'horaires', value: { ...order, position } }];
    view.apply({ section: 'rollouts', items, position, isWhole });
    return view.rollouts.get('horaires');
  };
  read(makeOrder({}), at(45), true);
  const again = { id: 'horaires@7/v2', state: undefined };
  t.snapshot({
    writtenAgain: read(makeOrder(again), at(8, 2), true),
    stateWrittenAgain: read(makeOrder({ ...again, state: 'completed' }), at(9, 2), false),
    other: read(
      makeOrder({ id: 'horaires@12/v3', version: 'v3', state: undefined }),
      at(12, 2),
      false,
    ),
  });
});

// Removed as missing, targets that all others know would never be told to this VM again.
test('a missing target is kept if a peer that has just started has read it', (t) => {
  const clock = new VirtualClock();
  const view = new FleetView(clock);
  view.apply(makeTargets(['t-1', 't-2'], at(5)));
  view.apply(makeTargets(['t-1'], at(3, 2)));
  const peer = new FleetView(clock);
  peer.apply(makeTargets(['t-1', 't-2'], at(8, 2)));
  view.apply({ ...peer.getSnapshot('targets'), isFromPeer: true });
  clock.runUntil(clock.now() + 10_000);
  t.deepEqual([...view.targets.keys()], ['t-1', 't-2']);
});
