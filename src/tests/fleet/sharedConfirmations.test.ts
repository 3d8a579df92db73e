import test from 'ava';

import type { StorePosition } from '../../core/model/index.js';
import type { FleetStore, Section, SectionItems } from '../../fleet/FleetStore.js';
import { FleetView } from '../../fleet/FleetView.js';
import { dividePropagation } from '../../fleet/propagation.js';
import { StoreWatcher } from '../../fleet/StoreWatcher.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { at } from './at.js';

const STEP_MS = 10;

/** A store in which a zone can be taken out, and whose open watches of zones may be lost. */
class ZoneStore {
  readonly clock = new VirtualClock();

  readonly view = new FleetView(this.clock);

  readonly calls: Section[] = [];

  position = at(5);

  /** Revision at which the zone was taken out; undefined if it is not out. */
  outAt: number | undefined;

  /** Whether watches of zones are never answered, unless they don't wait. */
  isZoneWatchLost = false;

  start(): StoreWatcher {
    const log = new EventLog('vm-1', {
      write: (_, done) => done(),
      now: () => 0,
      wallNow: () => 0,
    });
    const { clock, view } = this;
    const store: FleetStore = {
      list: <S extends Section>(section: S) => this.answer<S>(section),
      watch: <S extends Section>(section: S, since: StorePosition, waitMs: number) =>
        this.watch<S>(section, since, waitMs),
      announce: () => Promise.resolve(),
      writeRolloutState: () => Promise.resolve(false),
    };
    const propagation = dividePropagation(2_000);
    const watcher = new StoreWatcher({ store, view, clock, log, propagation, random: () => 0.5 });
    watcher.start();
    return watcher;
  }

  async run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.clock.runUntil(this.clock.now() + STEP_MS);
      await new Promise(setImmediate);
    }
  }

  /** @internal */
  private answer<S extends Section>(section: S, since = 0): Promise<SectionItems<S>> {
    this.calls.push(section);
    const { position, outAt } = this;
    const isOut = section === 'zonesOut' && outAt !== undefined && outAt > since;
    const items = isOut ? [{ name: 'quai', value: true }] : [];
    return Promise.resolve({ items, position } as unknown as SectionItems<S>);
  }

  /** @internal */
  private watch<S extends Section>(section: S, { revision }: StorePosition, waitMs: number) {
    return new Promise<SectionItems<S>>((resolve) => {
      if (section === 'zonesOut' && this.isZoneWatchLost && waitMs > 0) return;
      this.clock.after(waitMs, () => resolve(this.answer(section, revision)));
    });
  }
}

// All sections but one are asked rarely; while the revision stays, the one answer has to suffice.
test('answers at the same revision keep the data fresh with few calls', async (t) => {
  const store = new ZoneStore();
  const ages: number[] = [];
  const watcher = store.start();
  await store.run(100);
  for (let i = 0; i < 100; i++) {
    await store.run(100);
    ages.push(store.view.confirmations.getAgeMs());
  }
  watcher.stop();
  t.true(Math.max(...ages) <= 850, `${Math.max(...ages)} ms`);
  t.true(store.calls.length <= 13 + 5 + 4 * 2, `${store.calls.length} calls`);
});

// Nothing else tells that the connection of a watch is dead: the other answers are all in time.
test('a change whose watch has lost its connection is found by a check', async (t) => {
  const store = new ZoneStore();
  store.isZoneWatchLost = true;
  const watcher = store.start();
  await store.run(1_000);
  store.position = at(6);
  store.outAt = 6;
  await store.run(3_000);
  watcher.stop();
  t.true(store.view.zonesOut.has('quai'));
});

// Without an epoch, a store that lost changes shows it only by a revision that is lower than before.
test('an answer at an earlier revision confirms no other section', async (t) => {
  const store = new ZoneStore();
  store.position = at(5, -1);
  store.isZoneWatchLost = true;
  const watcher = store.start();
  await store.run(1_000);
  store.position = at(3, -1);
  const before = store.calls.filter((section) => section === 'configuration').length;
  await store.run(2_000);
  watcher.stop();
  t.true(store.calls.filter((section) => section === 'configuration').length > before);
});
