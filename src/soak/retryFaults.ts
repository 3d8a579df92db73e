import { dropAnnouncements } from '../platform/standIn/index.js';
import type { LinkMode } from './FaultProxy.js';
import type { SoakGateway } from './SoakGateway.js';
import type { SoakTarget, SoakWorld } from './SoakWorld.js';

/** Time until a killed gateway is started again, in milliseconds. */
const DOWN_MS = 300;

/** Time between two kills of the same gateways, in milliseconds. */
const KILL_INTERVAL_MS = 2_000;

/** How long gateways are suspended, in milliseconds. */
const SUSPENDED_MS = 5_000;

/** Times of one stall of a gateway's process and of the next one after its end, in milliseconds. */
const STALLED_MS = 400;
const STALL_INTERVAL_MS = 600;
const STALLS = 16;

/** Times for which short cuts last, connections are reset and paths are sound, in milliseconds. */
const SHORT_CUT_MS = 600;
const RESETS_MS = 100;
const SHORT_CUT_INTERVAL_MS = 500;
const SHORT_CUTS = 12;

/** Time between two changes of a route or two reloads of the settings, in milliseconds. */
const CHANGE_INTERVAL_MS = 1_500;

/** Number of such changes; even, so that the last one restores the route. */
const CHANGES = 8;

/** Number of kills of the same gateways. */
const KILLS = 5;

/** How long gateways are cut off from the targets, in milliseconds. */
const CUT_MS = 4_000;

/** Time for which the store cannot be reached, or has lost the list of VMs, in milliseconds. */
const LONG_STORE_FAULT_MS = 16_000;
const STORE_RESTORE_INTERVAL_MS = 400;

/** Number of VMs that an older copy of the store knows. */
const KNOWN_VMS = 2;

/** Time for which a store that has lost the list of VMs takes no writes, in milliseconds. */
const READ_ONLY_MS = 24_000;

/** How long the links to targets are disturbed at once, in milliseconds. */
const LINK_FAULT_MS = 4_000;

/** What happens to the gateways while the targets fail. */
export type GatewayFault =
  /** Each is stopped (SIGTERM) and started again, one after the other. */
  | 'replaced'
  /** Each is stopped and started again, all but one at the same time. */
  | 'replacedTogether'
  /** All are killed once. */
  | 'allKilled'
  /** Half of them are killed five times. */
  | 'halfKilledRepeatedly'
  /** Half of them are suspended for a while (SIGSTOP), and the others are killed meanwhile. */
  | 'halfSuspended'
  /** The processes stall again and again, so that timers are due before answers are read. */
  | 'stalled'
  /** All are told to read their settings again, several times. */
  | 'reloaded'
  /** All are killed once while the store is away, which comes back two seconds later. */
  | 'killedWhileStoreAway'
  /** The same, and the store is away for longer than a window. */
  | 'killedWhileStoreAwayLong'
  /** The store is restored again and again from before the VMs were announced, for longer than a window. */
  | 'vmsForgotten'
  /** The same, and all gateways are killed once meanwhile. */
  | 'killedWhileVmsForgotten'
  /** The store comes back with two of the VMs only, and takes no writes for longer than a window. */
  | 'vmsLost'
  /** The same, and half of the gateways are killed once meanwhile. */
  | 'killedWhileVmsLost'
  /** The last route is distributed over all services, and back, several times. */
  | 'routeMoves'
  /** A third of them are started only now. */
  | 'added'
  /** A third of them leave for good. */
  | 'left'
  /** A third of them do not reach the targets for some seconds, and pass their requests on. */
  | 'cutOff'
  /** The same for short times, each of which ends with a reset of their connections. */
  | 'cutRepeatedly';

/** What happens to the links between gateways and targets while the targets fail. */
export type TargetLinkFault =
  /** All targets are suspended for some seconds, so that what was sent arrives later. */
  | 'suspended'
  /** Half of the targets are suspended for some seconds. */
  | 'halfSuspended'
  /** All data arrive late for some seconds, as after retransmissions. */
  | 'late'
  /** The same for half of the targets. */
  | 'halfLate';

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function killAndStart(gateways: readonly SoakGateway[]): Promise<void> {
  for (const gateway of gateways) gateway.kill();
  await wait(DOWN_MS);
  for (const gateway of gateways) gateway.start();
}

async function stopAndStart(gateway: SoakGateway): Promise<void> {
  await gateway.stop();
  gateway.start();
}

/** Returns half of the gateways. */
function getHalf({ gateways }: SoakWorld): readonly SoakGateway[] {
  return gateways.slice(0, Math.ceil(gateways.length / 2));
}

/** Returns a third of the gateways. */
export function getThird({ gateways }: SoakWorld): readonly SoakGateway[] {
  return gateways.slice(0, Math.ceil(gateways.length / 3));
}

/** Restores the store again and again to its content from before the gateways started. */
async function forgetVms({ store, contentBeforeStart }: SoakWorld): Promise<void> {
  const endsAt = Date.now() + LONG_STORE_FAULT_MS;
  while (Date.now() < endsAt && contentBeforeStart !== undefined) {
    store.restore(contentBeforeStart);
    await wait(STORE_RESTORE_INTERVAL_MS);
  }
}

/** Restores the store from a copy that knows two of the gateways only, and lets it take no writes. */
async function loseVms({ store }: SoakWorld): Promise<void> {
  store.isReadOnly = true;
  store.restore(dropAnnouncements(store.copy(), KNOWN_VMS));
  await wait(READ_ONLY_MS);
  store.isReadOnly = false;
}

async function killWhileStoreAway(
  { gateways, storeLinks }: SoakWorld,
  awayMs: number,
): Promise<void> {
  for (const link of storeLinks) link.setMode('reset');
  await killAndStart(gateways);
  await wait(awayMs);
  for (const link of storeLinks) link.setMode('sound');
}

/** Faults of gateways, by name. */
export const GATEWAY_FAULTS: Readonly<Record<GatewayFault, (world: SoakWorld) => Promise<void>>> = {
  async replaced({ gateways }) {
    for (const gateway of gateways) await stopAndStart(gateway);
  },
  async replacedTogether({ gateways }) {
    await Promise.all(gateways.slice(1).map(stopAndStart));
  },
  async allKilled({ gateways }) {
    await killAndStart(gateways);
  },
  async halfKilledRepeatedly(world) {
    const half = getHalf(world);
    for (let i = 0; i < KILLS; i++) {
      await killAndStart(half);
      await wait(KILL_INTERVAL_MS - DOWN_MS);
    }
  },
  async halfSuspended(world) {
    const half = getHalf(world);
    const others = world.gateways.filter((gateway) => !half.includes(gateway));
    for (const gateway of half) gateway.sendSignal('SIGSTOP');
    await killAndStart(others);
    await wait(SUSPENDED_MS - DOWN_MS);
    for (const gateway of half) gateway.sendSignal('SIGCONT');
    await wait(KILL_INTERVAL_MS);
    await killAndStart(half);
  },
  async stalled({ gateways }) {
    for (let i = 0; i < STALLS; i++) {
      for (const gateway of gateways) gateway.sendSignal('SIGSTOP');
      await wait(STALLED_MS);
      for (const gateway of gateways) gateway.sendSignal('SIGCONT');
      await wait(STALL_INTERVAL_MS);
    }
  },
  async reloaded({ gateways }) {
    for (let i = 0; i < CHANGES; i++) {
      for (const gateway of gateways) gateway.sendSignal('SIGHUP');
      await wait(CHANGE_INTERVAL_MS);
    }
  },
  killedWhileStoreAway: (world) => killWhileStoreAway(world, 2_000),
  killedWhileStoreAwayLong: (world) => killWhileStoreAway(world, LONG_STORE_FAULT_MS),
  vmsForgotten: forgetVms,
  vmsLost: loseVms,
  async killedWhileVmsLost(world) {
    const lost = loseVms(world);
    await wait(KILL_INTERVAL_MS);
    await killAndStart(getHalf(world));
    await lost;
  },
  async killedWhileVmsForgotten(world) {
    const forgotten = forgetVms(world);
    await wait(STORE_RESTORE_INTERVAL_MS);
    await killAndStart(world.gateways);
    await forgotten;
  },
  async routeMoves(world) {
    const { routes, services } = world;
    const all = services.map(({ name }) => ({ service: name, weight: 1 }));
    for (let i = 0; i < CHANGES; i++) {
      const last = routes[routes.length - 1];
      world.routes = i % 2 === 0 ? [...routes.slice(0, -1), { ...last, services: all }] : routes;
      world.publishConfiguration();
      await wait(CHANGE_INTERVAL_MS);
    }
  },
  added(world) {
    for (const gateway of getThird(world)) gateway.start();
    return Promise.resolve();
  },
  async left(world) {
    await Promise.all(getThird(world).map((gateway) => gateway.stop()));
  },
  async cutOff(world) {
    const cut = getThird(world);
    for (const gateway of cut) world.setPathMode(gateway, 'oneWay');
    await wait(CUT_MS);
    for (const gateway of cut) world.setPathMode(gateway, undefined);
  },
  async cutRepeatedly(world) {
    const cut = getThird(world);
    for (let i = 0; i < SHORT_CUTS; i++) {
      for (const gateway of cut) world.setPathMode(gateway, 'oneWay');
      await wait(SHORT_CUT_MS);
      for (const gateway of cut) world.setPathMode(gateway, 'reset');
      await wait(RESETS_MS);
      for (const gateway of cut) world.setPathMode(gateway, undefined);
      await wait(SHORT_CUT_INTERVAL_MS);
    }
  },
};

async function disturbLinks(targets: readonly SoakTarget[], mode: LinkMode): Promise<void> {
  for (const { link } of targets) link.setMode(mode);
  await wait(LINK_FAULT_MS);
  for (const { link } of targets) link.setMode('sound');
}

/** Returns every other target. */
function getEveryOther({ targets }: SoakWorld): readonly SoakTarget[] {
  return targets.filter((_target, i) => i % 2 === 0);
}

/** Faults of the links to targets, by name. */
export const TARGET_LINK_FAULTS: Readonly<
  Record<TargetLinkFault, (world: SoakWorld) => Promise<void>>
> = {
  suspended: ({ targets }) => disturbLinks(targets, 'suspended'),
  halfSuspended: (world) => disturbLinks(getEveryOther(world), 'suspended'),
  late: ({ targets }) => disturbLinks(targets, 'late'),
  halfLate: (world) => disturbLinks(getEveryOther(world), 'late'),
};
