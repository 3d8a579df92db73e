import test from 'ava';

import { PlatformStore, removeTarget, putTarget } from '../../platform/standIn/index.js';
import { makeTarget } from '../balancing/scene.js';

// Targets that are never registered again make gateways fail guarantees that they keep.
test('lost changes are made again although the history was cleared', (t) => {
  const store = new PlatformStore();
  putTarget(store, makeTarget('t-1'));
  const copy = store.copy();
  putTarget(store, makeTarget('t-2'));
  removeTarget(store, 't-1');
  store.clearHistory();
  const lostChanges = store.getChangesSince(copy);
  store.restore(copy);
  t.deepEqual([store.getSpec('servers', 't-2')], [undefined]);
  for (const writeAgain of lostChanges) writeAgain();
  t.not(store.getSpec('servers', 't-2'), undefined);
  t.is(store.getSpec('servers', 't-1'), undefined);
});

// A target that has ended registers no more; gateways would be asked to forget one that the store has.
test('a target that is removed after a restore is not registered again with the lost changes', (t) => {
  for (const isWrittenMeanwhile of [false, true]) {
    const store = new PlatformStore();
    const copy = store.copy();
    putTarget(store, makeTarget('t-1'));
    const lostChanges = store.getChangesSince(copy);
    store.restore(copy);
    if (isWrittenMeanwhile) putTarget(store, makeTarget('t-1', { isDraining: true }));
    removeTarget(store, 't-1');
    for (const writeAgain of lostChanges) writeAgain();
    t.is(store.getSpec('servers', 't-1'), undefined);
  }
});

// What one restore has lost is taken for removed by the next one, and would never be registered again.
test('a target that an earlier restore has lost is registered again after a second one', (t) => {
  for (const isFirstRewrittenFirst of [false, true]) {
    const store = new PlatformStore();
    const empty = store.copy();
    putTarget(store, makeTarget('t-1'));
    const copy = store.copy();
    const lostFirst = store.getChangesSince(empty);
    store.restore(empty);
    const lostSecond = store.getChangesSince(copy);
    store.restore(copy);
    const lost = isFirstRewrittenFirst ? [lostFirst, lostSecond] : [lostSecond, lostFirst];
    for (const writeAgain of lost.flat()) writeAgain();
    t.not(store.getSpec('servers', 't-1'), undefined);
  }
});

// The second restore must not make the first one forget what was removed between them.
test('a target that is removed between two restores is not registered again', (t) => {
  const store = new PlatformStore();
  const empty = store.copy();
  putTarget(store, makeTarget('t-1'));
  const lostChanges = store.getChangesSince(empty);
  store.restore(empty);
  removeTarget(store, 't-1');
  store.restore(empty);
  for (const writeAgain of lostChanges) writeAgain();
  t.is(store.getSpec('servers', 't-1'), undefined);
});

// Guards against a target that one restore has brought back, and the next one takes for registered.
test('a target that was removed before two overlapping restores is not registered again', (t) => {
  for (const isFirstRewrittenFirst of [false, true]) {
    const store = new PlatformStore();
    putTarget(store, makeTarget('t-1'));
    const older = store.copy();
    putTarget(store, makeTarget('t-1', { isDraining: true }));
    const newer = store.copy();
    removeTarget(store, 't-1');
    const lostFirst = store.getChangesSince(older);
    store.restore(older);
    const lostSecond = store.getChangesSince(newer);
    store.restore(newer);
    const lost = isFirstRewrittenFirst ? [lostFirst, lostSecond] : [lostSecond, lostFirst];
    for (const writeAgain of lost.flat()) writeAgain();
    t.is(store.getSpec('servers', 't-1'), undefined);
  }
});
