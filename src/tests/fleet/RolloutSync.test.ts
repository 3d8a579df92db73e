import test from 'ava';

import type { VmAnnouncement } from '../../balancing/index.js';
import { comparePositions } from '../../core/model/index.js';
import type { FleetStore } from '../../fleet/FleetStore.js';
import { StoreCallError } from '../../fleet/FleetStore.js';
import { FleetView } from '../../fleet/FleetView.js';
import type { OwnRollout } from '../../fleet/RolloutSync.js';
import { RolloutSync } from '../../fleet/RolloutSync.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import type { RolloutGuidance, RolloutOrder, RolloutState } from '../../rollouts/index.js';
import { TimerService } from '../../timing/index.js';
import { at } from './at.js';

const VMS = 6;
const DURATION_MS = 12_000;
const NETWORK_DELAY_MS = 2;

type StoreMode = 'sound' | 'away' | 'losesAnswers' | 'conflicts';

interface VmScene {
  readonly vm: VmAnnouncement;
  readonly view: FleetView;
  readonly sync: RolloutSync;
  readonly timers: TimerService;
  own: OwnRollout;
  guidance: RolloutGuidance | undefined;
  until: number;
  isIsolated: boolean;
}

/** Some VMs that share a store, in virtual time. */
class FleetScene {
  readonly clock = new VirtualClock();

  readonly vms: VmScene[] = [];

  mode: StoreMode = 'sound';

  /** States that the store accepted, in order. */
  readonly written: RolloutState[] = [];

  writes = 0;

  order: RolloutOrder = {
    id: 'horaires@1/v2',
    name: 'horaires',
    service: 'horaires',
    version: 'v2',
    durationMs: DURATION_MS,
    position: at(1),
    state: undefined,
  };

  constructor() {
    for (let i = 0; i < VMS; i++) this.vms.push(this.start(i));
    const rosters = this.vms.map(({ vm }) => ({ name: vm.name, value: { vms: [vm] } }));
    for (const { view } of this.vms) {
      view.apply({ section: 'vms', items: rosters, position: at(1), isWhole: true });
    }
    this.publishOrder();
  }

  /** VMs that have valid guidance. */
  get withGuidance(): VmScene[] {
    const now = this.clock.now();
    return this.vms.filter(({ guidance, until }) => guidance !== undefined && until > now);
  }

  /**
   * Advances time; in each 100 ms every VM gets four answers from old targets and one from a new
   * target.
   * @param ms - Duration, in milliseconds.
   * @param bad - Bad answers of the new targets per VM and 100 ms.
   */
  async runFor(ms: number, bad = 0): Promise<void> {
    const endsAt = this.clock.now() + ms;
    while (this.clock.now() < endsAt) {
      for (const [i, vm] of this.vms.entries()) {
        const { counts } = vm.own;
        const old = counts['old lookup'] ?? { answers: 0, bad: 0 };
        const key = `new${i % 3} lookup`;
        const fresh = counts[key] ?? { answers: 0, bad: 0 };
        vm.own = {
          phase: vm.guidance?.phase ?? 'trial',
          oldRequests: 0,
          counts: {
            ...counts,
            'old lookup': { answers: old.answers + 4, bad: old.bad },
            [key]: { answers: fresh.answers + 1, bad: fresh.bad + bad },
          },
        };
      }
      this.clock.runUntil(this.clock.now() + 100);
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Replaces a VM by one that has just started without any state. */
  restart(index: number): void {
    const { timers } = this.vms[index];
    timers.stop();
    this.vms[index] = this.start(index);
    const { view } = this.vms[index];
    const rosters = this.vms.map(({ vm }) => ({ name: vm.name, value: { vms: [vm] } }));
    view.apply({ section: 'vms', items: rosters, position: at(1), isWhole: true });
    this.publishOrder();
  }

  private publishOrder(): void {
    const items = [{ name: 'horaires', value: this.order }];
    const { position } = this.order;
    for (const { view } of this.vms) {
      view.apply({ section: 'rollouts', items, position, isWhole: true });
    }
  }

  private write(order: RolloutOrder, state: RolloutState): Promise<boolean> {
    this.writes += 1;
    if (this.mode === 'away') return Promise.reject(new StoreCallError('unavailable', 'away'));
    if (this.mode === 'conflicts' || comparePositions(order.position, this.order.position) !== 0) {
      return Promise.resolve(false);
    }
    this.written.push(state);
    const { epoch, revision } = this.order.position;
    this.order = { ...this.order, state, position: { epoch, revision: revision + 1 } };
    this.clock.after(50, () => this.publishOrder());
    if (this.mode === 'losesAnswers') return Promise.reject(new StoreCallError('unknown', 'lost'));
    return Promise.resolve(true);
  }

  private start(index: number): VmScene {
    const { clock } = this;
    const address = `10.0.0.${index + 1}:90`;
    const vm = { name: `vm-${index}`, zone: 'quai', callers: address, peers: address, linkMbps: 0 };
    const view = new FleetView(clock, vm.name);
    const scene: Partial<VmScene> & Pick<VmScene, 'own'> = {
      vm,
      view,
      own: { phase: 'trial', oldRequests: 0, counts: {} },
      until: 0,
      isIsolated: false,
    };
    const store = {
      writeRolloutState: (order: RolloutOrder, state: RolloutState) => this.write(order, state),
    } as FleetStore;
    const sync = new RolloutSync({
      self: vm,
      run: `${vm.name}/${clock.now()}`,
      store,
      view,
      clock,
      log: new EventLog(vm.name, {
        write: (_text, done) => done(),
        now: () => clock.now(),
        wallNow: () => 0,
      }),
      bound: { share: 0.1, slack: 50 },
      send: (text, to) => this.send(text, address, to),
      getOwnRollout: () => scene.own,
      onGuidance: (_order, guidance, until) => {
        if (scene.guidance?.phase === 'stopped') return;
        Object.assign(scene, { guidance, until });
      },
    });
    const timers = new TimerService(clock);
    sync.start(timers);
    return Object.assign(scene, { sync, timers }) as VmScene;
  }

  private send(text: string, from: string, to: string): void {
    const find = (address: string) => this.vms.find(({ vm }) => vm.peers === address);
    if (find(from)?.isIsolated === true || find(to)?.isIsolated === true) return;
    this.clock.after(NETWORK_DELAY_MS, () => find(to)?.sync.receive(text, from));
  }
}

test('a good version is completed in time, with two writes', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(DURATION_MS);
  t.deepEqual(scene.written, ['running', 'completed']);
  t.is(scene.writes, 2);
});

test('a bad version is stopped by all VMs at once, and its rollback is written to the store', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(1_000);
  await scene.runFor(1_200, 1);
  t.true(scene.vms.every(({ guidance }) => guidance?.phase === 'stopped'));
  t.deepEqual(scene.written, ['running', 'rolledBack']);
});

test('a bad version is stopped during a store outage, and its rollback is written afterwards', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(1_000);
  scene.mode = 'away';
  await scene.runFor(1_200, 1);
  t.true(scene.vms.every(({ guidance }) => guidance?.phase === 'stopped'));
  t.deepEqual(scene.written, ['running']);
  scene.mode = 'sound';
  await scene.runFor(3_000);
  t.deepEqual(scene.written, ['running', 'rolledBack']);
});

test('a state is not written again after the answer to its write was lost', async (t) => {
  const scene = new FleetScene();
  scene.mode = 'losesAnswers';
  await scene.runFor(DURATION_MS);
  t.deepEqual(scene.written, ['running', 'completed']);
});

test('a writer does not retry at once while the store rejects the revision', async (t) => {
  // The order was changed, or another VM has written a state, and this VM has not read that yet.
  const scene = new FleetScene();
  scene.mode = 'conflicts';
  await scene.runFor(3_000);
  t.true(scene.writes <= 6, `${scene.writes} writes`);
});

test('a rollout is completed although its coordinators restart', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(4_000);
  for (let i = 0; i < VMS / 2; i++) scene.restart(i);
  await scene.runFor(DURATION_MS - 4_000);
  t.deepEqual(scene.written, ['running', 'completed']);
});

test('a rollout is completed although two coordinators stay down', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(4_000);
  for (const vm of scene.vms.slice(0, 2)) {
    vm.isIsolated = true;
    vm.timers.stop();
  }
  await scene.runFor(DURATION_MS - 4_000);
  t.is(scene.written.at(-1), 'completed');
});

test('an isolated VM pauses, and is told to stop when it is connected again', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(1_500);
  t.is(scene.withGuidance.length, VMS);
  const [, , cut] = scene.vms;
  cut.isIsolated = true;
  await scene.runFor(2_500);
  t.true(cut.until <= scene.clock.now());
  await scene.runFor(1_200, 1);
  cut.isIsolated = false;
  await scene.runFor(1_000);
  t.is(cut.guidance?.phase, 'stopped');
});

test('a VM that starts during a store outage is told that a version was stopped', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(1_000);
  scene.mode = 'away';
  await scene.runFor(1_200, 1);
  scene.restart(VMS - 1);
  await scene.runFor(600);
  t.is(scene.vms[VMS - 1].guidance?.phase, 'stopped');
});

test('another order of the same service starts its own trial', async (t) => {
  const scene = new FleetScene();
  await scene.runFor(1_000);
  await scene.runFor(1_200, 1);
  scene.order = {
    ...scene.order,
    id: 'horaires@9/v3',
    version: 'v3',
    position: at(9),
    state: undefined,
  };
  for (const vm of scene.vms) {
    vm.guidance = undefined;
    vm.own = { phase: 'trial', oldRequests: 0, counts: {} };
    const items = [{ name: 'horaires', value: scene.order }];
    vm.view.apply({ section: 'rollouts', items, position: at(9), isWhole: true });
  }
  await scene.runFor(DURATION_MS);
  t.deepEqual(scene.written, ['running', 'rolledBack', 'running', 'completed']);
});
