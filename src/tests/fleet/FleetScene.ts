import type { VmAnnouncement } from '../../balancing/index.js';
import type { FleetStore } from '../../fleet/FleetStore.js';
import { SECTIONS, StoreCallError } from '../../fleet/FleetStore.js';
import { FleetSync } from '../../fleet/FleetSync.js';
import { FleetView } from '../../fleet/FleetView.js';
import { sortVmsForTree } from '../../fleet/FollowTree.js';
import { dividePropagation } from '../../fleet/propagation.js';
import { EventLog } from '../../logging/EventLog.js';
import { ObjectStore } from '../../platform/index.js';
import { PlatformStore, putConfiguration, putTarget } from '../../platform/standIn/index.js';
import { findPorts } from '../../soak/findPorts.js';
import { SystemClock, TimerService } from '../../timing/index.js';
import { makeTarget, ROUTE, TABLE } from '../balancing/scene.js';
import { waitUntil } from '../entry/fixtures.js';

const HOST = '127.0.0.1';
const PROPAGATION = dividePropagation(2_000);

/** Time after which a call of a VM that is cut off fails, on top of its own wait, in milliseconds. */
const CUT_TIMEOUT_MS = 500;

/** One VM of the scene. */
interface SceneVm {
  readonly name: string;
  readonly view: FleetView;
  /** Ends its calls to the store without an answer, or lets them through again. */
  setCut(isCut: boolean): void;
  /** Lets it go silent with all its connections open, as a suspended VM does. */
  suspend(): void;
  kill(): void;
}

/** VMs that keep their copies of a stand-in store up to date, on loopback in real time. */
export class FleetScene {
  readonly store = new PlatformStore();

  /** VMs in the order of the tree, the first watcher first. */
  vms: readonly SceneVm[] = [];

  /** Calls to the store so far, by kind and section. */
  readonly calls = new Map<string, number>();

  /** @internal */
  private readonly clock = new SystemClock();

  /** @internal */
  private version = 1;

  /**
   * Starts a store and VMs, and waits until all VMs know the configuration.
   * @param count - Number of VMs.
   */
  static async start(count: number): Promise<FleetScene> {
    const scene = new FleetScene();
    await scene.store.start();
    putConfiguration(scene.store, { ...TABLE, version: 1, routes: [ROUTE] });
    for (let i = 0; i < 30; i++) putTarget(scene.store, makeTarget(`t-${i}`));
    const ports = await findPorts(count);
    const announced = ports.map((port, i) => ({
      name: `vm-${i}`,
      zone: `zone-${i % 3}`,
      callers: `${HOST}:1`,
      peers: `${HOST}:${port}`,
      linkMbps: 1_000,
    }));
    scene.store.put('entry-vms', 'vm-0', { vms: announced });
    const sorted = sortVmsForTree(announced) as readonly VmAnnouncement[];
    scene.vms = sorted.map((vm) => scene.startVm(vm, announced));
    await scene.waitForAll(({ view }) => view.table?.version === 1 && view.targets.size === 30);
    return scene;
  }

  /** Number of calls to the store so far. */
  get callCount(): number {
    return [...this.calls.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Publishes a configuration and returns the time until all `vms` have it, in milliseconds. */
  async publish(vms = this.vms): Promise<number> {
    const startedAt = this.clock.now();
    this.version += 1;
    putConfiguration(this.store, { ...TABLE, version: this.version, routes: [ROUTE] });
    await waitUntil(() => vms.every(({ view }) => view.table?.version === this.version));
    return this.clock.now() - startedAt;
  }

  /** Stops all VMs and the store. */
  async stop(): Promise<void> {
    for (const vm of this.vms) vm.kill();
    await this.store.stop();
  }

  /** @internal */
  private async waitForAll(isMet: (vm: SceneVm) => boolean): Promise<void> {
    await waitUntil(() => this.vms.every(isMet));
  }

  /** @internal */
  private startVm(self: VmAnnouncement, announced: readonly VmAnnouncement[]): SceneVm {
    const { clock } = this;
    const [host, port] = self.peers.split(':');
    const objects = new ObjectStore(this.store.address, { onUnreadable: () => {} });
    const view = new FleetView(clock, self.name);
    const position = { epoch: -1, revision: 0 };
    const items = [{ name: 'vm-0', value: { vms: announced } }];
    view.apply({ section: 'vms', items, position, isWhole: true });
    const log = new EventLog(self.name, {
      write: (_, done) => done(),
      now: () => 0,
      wallNow: () => 0,
    });
    let isCut = false;
    const store = this.countCalls(objects, () => isCut);
    const sync = new FleetSync({
      self,
      listen: { host, port: Number(port) },
      seeds: [],
      store,
      view,
      clock,
      log,
      sections: SECTIONS,
      propagation: PROPAGATION,
      random: Math.random,
    });
    const timers = new TimerService(clock);
    sync.start(timers);
    sync.begin();
    return {
      name: self.name,
      view,
      setCut: (value) => {
        isCut = value;
      },
      suspend: () => {
        isCut = true;
        timers.stop();
      },
      kill: () => {
        timers.stop();
        sync.stop();
        objects.close();
      },
    };
  }

  /** @internal */
  private countCalls(store: FleetStore, isCut: () => boolean): FleetStore {
    const count = (kind: string): void => {
      this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    };
    const run = async <T>(waitMs: number, call: () => Promise<T>): Promise<T> => {
      const result = isCut() ? undefined : await call();
      if (result !== undefined && !isCut()) return result;
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs + CUT_TIMEOUT_MS);
      });
      throw new StoreCallError('unknown', 'cut off');
    };
    return {
      list: (section, ...rest) => {
        count(`list ${section}`);
        return run(0, () => store.list(section, ...rest));
      },
      watch: (section, position, waitMs) => {
        count(`${waitMs > 0 ? 'watch' : 'check'} ${section}`);
        return run(waitMs, () => store.watch(section, position, waitMs));
      },
      announce: (...args) => store.announce(...args),
      writeRolloutState: (...args) => store.writeRolloutState(...args),
    };
  }
}
