import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { TargetBehaviour } from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import type { LinkMode } from './FaultProxy.js';
import type { RetryFleet } from './retryFleets.js';
import type { RetryWindow } from './retryWindows.js';
import { findWorstRetryWindow } from './retryWindows.js';
import type { CallerRecord } from './SoakCallers.js';
import { SoakCallers } from './SoakCallers.js';
import type { SoakGateway } from './SoakGateway.js';
import type { SoakTarget } from './SoakWorld.js';
import { SoakWorld } from './SoakWorld.js';

/** Time with sound targets until the gateways have run for longer than a window, in milliseconds. */
const WARM_UP_MS = 16_000;

/** Time for open requests to end, in milliseconds. */
const DRAIN_MS = 3_200;

/** How long the targets fail before the gateways are disturbed, in milliseconds. */
const FAILING_MS = 2_000;

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

/** Time between two changes of a route or two reloads of the settings, in milliseconds. */
const CHANGE_INTERVAL_MS = 1_500;

/** Time for which the store cannot be reached, or has lost the list of VMs, in milliseconds. */
const LONG_STORE_FAULT_MS = 16_000;
const STORE_RESTORE_INTERVAL_MS = 400;

/** How long the links to targets are disturbed at once, in milliseconds. */
const LINK_FAULT_MS = 4_000;

/** How long intermittent targets fail, and then serve, in milliseconds. */
const INTERMITTENT_MS = 3_000;

/** Maximum number of targets that a request is sent to. */
const MAX_TARGETS = 3;

const SERVED = 200;

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
  /** The store has no list of VMs for longer than a window. */
  | 'vmsForgotten'
  /** The same, and all gateways are killed once meanwhile. */
  | 'killedWhileVmsForgotten'
  /** The last route is distributed over all services, and back, several times. */
  | 'routeMoves'
  /** A third of them are started only now. */
  | 'added'
  /** A third of them leave for good. */
  | 'left'
  /** A third of them do not reach the targets for some seconds, and pass their requests on. */
  | 'cutOff';

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

/** Settings of a retry trial. */
export interface RetryTrialOptions {
  readonly fleet: RetryFleet;
  /** How the targets fail. */
  readonly behaviour: TargetBehaviour;
  /** Whether targets fail and recover in turn, three seconds each. */
  readonly isIntermittent?: boolean;
  /** What happens to the gateways, at the same time. */
  readonly faults?: readonly GatewayFault[];
  readonly linkFault?: TargetLinkFault;
  /** Whether the targets fail only when the links have recovered. */
  readonly failsAfterLinks?: boolean;
  readonly requestsPerSecond: number;
  /** How long the targets fail, in milliseconds. */
  readonly forMs: number;
  /** Programs that the gateways run, in turn; that of this build by default. */
  readonly gatewayMains?: readonly string[];
}

/** Result of a retry trial. */
export interface RetryTrialResult {
  /** The window of the service that uses most of its limit on retries. */
  readonly worst: RetryWindow & { readonly service: string };
  /** Share of the requests sent while the targets failed that were served. */
  readonly servedShare: number;
  /** Directory with the gateways' settings and logs, and `observations.json`. */
  readonly dir: string;
}

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
function getThird({ gateways }: SoakWorld): readonly SoakGateway[] {
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

async function killWhileStoreAway(
  { gateways, storeLinks }: SoakWorld,
  awayMs: number,
): Promise<void> {
  for (const link of storeLinks) link.setMode('reset');
  await killAndStart(gateways);
  await wait(awayMs);
  for (const link of storeLinks) link.setMode('sound');
}

const FAULTS: Readonly<Record<GatewayFault, (world: SoakWorld) => Promise<void>>> = {
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
    for (let i = 0; i < 5; i++) {
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
    for (let i = 0; i < 8; i++) {
      for (const gateway of gateways) gateway.sendSignal('SIGHUP');
      await wait(CHANGE_INTERVAL_MS);
    }
  },
  killedWhileStoreAway: (world) => killWhileStoreAway(world, 2_000),
  killedWhileStoreAwayLong: (world) => killWhileStoreAway(world, LONG_STORE_FAULT_MS),
  vmsForgotten: forgetVms,
  async killedWhileVmsForgotten(world) {
    const forgotten = forgetVms(world);
    await wait(STORE_RESTORE_INTERVAL_MS);
    await killAndStart(world.gateways);
    await forgotten;
  },
  async routeMoves(world) {
    const { routes, services } = world;
    const all = services.map(({ name }) => ({ service: name, weight: 1 }));
    for (let i = 0; i < 8; i++) {
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
    await wait(4_000);
    for (const gateway of cut) world.setPathMode(gateway, undefined);
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

const LINK_FAULTS: Readonly<Record<TargetLinkFault, (world: SoakWorld) => Promise<void>>> = {
  suspended: ({ targets }) => disturbLinks(targets, 'suspended'),
  halfSuspended: (world) => disturbLinks(getEveryOther(world), 'suspended'),
  late: ({ targets }) => disturbLinks(targets, 'late'),
  halfLate: (world) => disturbLinks(getEveryOther(world), 'late'),
};

function setBehaviour({ targets }: SoakWorld, behaviour: TargetBehaviour): void {
  for (const { model } of targets) model.behaviour = behaviour;
}

/** Sends requests of all kinds to running gateways until the returned function is called. */
function startTraffic(
  world: SoakWorld,
  callers: SoakCallers,
  { fleet, requestsPerSecond }: RetryTrialOptions,
): () => void {
  const random = createRandom(2);
  const total = fleet.traffic.reduce((sum, { weight }) => sum + weight, 0);
  const send = (): void => {
    const running = world.gateways.filter(({ isRunning }) => isRunning);
    const gateway = running[Math.floor(random() * running.length)];
    let rest = random() * total;
    const kind = fleet.traffic.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    });
    if (gateway === undefined || kind === undefined) return;
    const { route, hasOwnConnection, timeoutMs } = kind;
    const options = { hasOwnConnection, timeoutMs, route: route.name };
    const { callers: port } = gateway.options.ports;
    callers.send(port, `/${route.name}/x`, route.isIdempotent, undefined, options);
  };
  const timer = setInterval(send, 1_000 / requestsPerSecond);
  return () => clearInterval(timer);
}

/**
 * Returns the worst window of all services. Requests of a route that several services share count at
 * the one where they have arrived, and at the route's own one if they have not.
 */
function findWorstOfServices(
  world: SoakWorld,
  records: readonly CallerRecord[],
  { traffic, limit }: RetryFleet,
): RetryTrialResult['worst'] {
  const arrivedAt = new Map(world.arrivals.map(({ id, service }) => [id, service]));
  const ownServices = new Map(traffic.map(({ route }) => [route.name, route.services[0].service]));
  const windows = world.services.map(({ name: service }) => {
    const sent = records.filter(
      ({ id, route = '' }) => (arrivedAt.get(id) ?? ownServices.get(route)) === service,
    );
    const arrivals = world.arrivals.filter((each) => each.service === service);
    return { service, ...findWorstRetryWindow(sent, arrivals, limit) };
  });
  return windows.reduce((a, b) => (b.retries / b.allowed > a.retries / a.allowed ? b : a));
}

/** Writes what callers and targets have seen beside the logs of the gateways. */
function writeObservations(dir: string, { arrivals }: SoakWorld, { records }: SoakCallers): void {
  writeFileSync(join(dir, 'observations.json'), JSON.stringify({ requests: records, arrivals }));
}

/** Lets the targets fail until a time, and disturbs gateways and links meanwhile. */
async function injectFailures(world: SoakWorld, options: RetryTrialOptions): Promise<void> {
  const { behaviour, isIntermittent = false, faults = [], forMs } = options;
  const { linkFault, failsAfterLinks = false } = options;
  const linksDisturbed = linkFault === undefined ? undefined : LINK_FAULTS[linkFault](world);
  if (failsAfterLinks) await linksDisturbed;
  setBehaviour(world, behaviour);
  const endsAt = Date.now() + forMs;
  await wait(FAILING_MS);
  const disturbed = faults.map((fault) => FAULTS[fault](world));
  while (Date.now() < endsAt) {
    await wait(Math.min(INTERMITTENT_MS, endsAt - Date.now()));
    const isFailing = world.targets[0].model.behaviour === behaviour;
    if (isIntermittent) setBehaviour(world, isFailing ? 'sound' : behaviour);
  }
  setBehaviour(world, 'sound');
  await Promise.all([linksDisturbed, ...disturbed]);
}

/**
 * Runs gateways as separate processes on loopback while their targets fail and the gateways are
 * restarted, and counts the requests that reach targets more than once.
 * @param options - How targets fail, and what happens to the gateways meanwhile.
 * @example
 * const { worst } = await runRetryTrial({ fleet: SMALL_FLEET, behaviour: 'sheds', faults: ['replaced'], requestsPerSecond: 20, forMs: 14_000 });
 */
export async function runRetryTrial(options: RetryTrialOptions): Promise<RetryTrialResult> {
  const { fleet, faults = [], gatewayMains } = options;
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-retries-'));
  const world = new SoakWorld(dir, {
    gateways: fleet.gateways,
    services: fleet.services,
    routes: fleet.traffic.map(({ route }) => route),
    maxTargets: MAX_TARGETS,
    retryLimit: fleet.limit,
    gatewayMains,
  });
  await world.start();
  if (faults.includes('added')) for (const gateway of getThird(world)) gateway.kill();
  const callers = new SoakCallers(
    world.gateways.map((gateway) => gateway.options.ports),
    createRandom(1),
  );
  const stopTraffic = startTraffic(world, callers, options);
  try {
    await wait(WARM_UP_MS);
    const failingFrom = Date.now();
    await injectFailures(world, options);
    const failingUntil = failingFrom + options.forMs;
    stopTraffic();
    await wait(DRAIN_MS);
    const sent = callers.records.filter(
      ({ sentAt }) => sentAt >= failingFrom && sentAt < failingUntil,
    );
    const served = sent.filter(({ status }) => status === SERVED).length;
    const worst = findWorstOfServices(world, callers.records, fleet);
    writeObservations(dir, world, callers);
    return { worst, servedShare: served / Math.max(1, sent.length), dir };
  } finally {
    stopTraffic();
    callers.close();
    await world.stop();
  }
}
