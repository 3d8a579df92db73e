import test from 'ava';

import type { VmAnnouncement, VmRoster } from '../../balancing/index.js';
import { FeedClient } from '../../fleet/FeedClient.js';
import { FleetMembership } from '../../fleet/FleetMembership.js';
import type { StorePosition } from '../../core/model/index.js';
import type { FleetStore, Section, SectionItems } from '../../fleet/FleetStore.js';
import { SECTIONS_WITHOUT_ROLLOUTS } from '../../fleet/FleetStore.js';
import { FleetSync } from '../../fleet/FleetSync.js';
import { FleetView } from '../../fleet/FleetView.js';
import { dividePropagation } from '../../fleet/propagation.js';
import { EventLog } from '../../logging/EventLog.js';
import { findPorts } from '../../soak/findPorts.js';
import { SystemClock, TimerService } from '../../timing/index.js';
import { makeTarget, TABLE } from '../balancing/scene.js';
import { waitUntil } from '../entry/fixtures.js';
import { at } from './at.js';

const VMS = 24;
const SEEDS = 3;
const HOST = '127.0.0.1';

/** A store in memory that records its calls; only the announcements of VMs change in it. */
class CountingStore implements FleetStore {
  readonly calls: string[] = [];

  /** @internal */
  private readonly rosters = new Map<string, VmRoster>();

  /** @internal */
  private revision = 1;

  async list<S extends Section>(section: S): Promise<SectionItems<S>> {
    this.calls.push(`list ${section}`);
    const sections: { readonly [K in Section]: SectionItems<K>['items'] } = {
      configuration: [{ name: 'main', value: TABLE }],
      targets: [{ name: 't-1', value: makeTarget('t-1') }],
      zonesOut: [],
      rollouts: [],
      vms: [...this.rosters].map(([name, value]) => ({ name, value })),
    };
    return { items: sections[section], position: at(this.revision) };
  }

  watch<S extends Section>(_section: S, _position: StorePosition, waitMs: number) {
    return new Promise<SectionItems<S>>((resolve) => {
      setTimeout(() => resolve({ items: [], position: at(this.revision) }), waitMs).unref();
    });
  }

  async announce(announcer: string, roster: VmRoster): Promise<void> {
    this.calls.push('announce');
    this.revision += 1;
    this.rosters.set(announcer, roster);
  }

  async writeRolloutState(): Promise<boolean> {
    this.calls.push('writeRolloutState');
    return false;
  }
}

test('VMs that start together get to know one another with few calls to the store', async (t) => {
  // The three seeds announce the other VMs. If each VM made two calls at its start, the first
  // second of hundreds of VMs would cost as much as watching the store all day.
  const ports = await findPorts(VMS);
  const entries: VmAnnouncement[] = ports.map((port, i) => ({
    name: `vm-${i}`,
    zone: `zone-${i % 3}`,
    callers: `${HOST}:1`,
    peers: `${HOST}:${port}`,
    linkMbps: 100,
  }));
  const seeds = entries.slice(0, SEEDS).map(({ peers }) => peers);
  const store = new CountingStore();
  const clock = new SystemClock();
  const log = new EventLog('vm', { write: (_, done) => done(), now: () => 0, wallNow: () => 0 });
  const vms = entries.map((self, i) => {
    const view = new FleetView(clock, self.name);
    const others = seeds.filter((address) => address !== self.peers);
    const sections = SECTIONS_WITHOUT_ROLLOUTS;
    const propagation = dividePropagation(2_000);
    const known = { sections, propagation, random: Math.random, seeds: others };
    const parts = { self, store, view, clock, log, ...known };
    const sync = new FleetSync({ ...parts, listen: { host: HOST, port: ports[i] } });
    const timers = new TimerService(clock);
    const membership = new FleetMembership({
      ...parts,
      isFirstStart: true,
      requestAnnouncement: (address, onEnd) => new FeedClient(address, view, clock, onEnd, self),
      onVmsKnown: () => sync.begin(),
    });
    sync.start(timers);
    return { view, sync, timers, joined: membership.join() };
  });
  await Promise.all(vms.map(({ joined }) => joined));
  await waitUntil(() => vms.every(({ view }) => view.vms.size === VMS && view.targets.size === 1));
  const announced = store.calls.filter((call) => call === 'announce').length;
  t.true(announced <= SEEDS, `${announced} announcements`);
  t.true(store.calls.length < VMS, `${store.calls.length} calls`);
  for (const { sync, timers } of vms) {
    timers.stop();
    sync.stop();
  }
});
