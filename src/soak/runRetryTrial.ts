import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { TargetBehaviour } from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import { startFleetTraffic } from './fleetTraffic.js';
import type { GatewayFault, TargetLinkFault } from './retryFaults.js';
import { GATEWAY_FAULTS, getThird, TARGET_LINK_FAULTS } from './retryFaults.js';
import type { RetryFleet } from './retryFleets.js';
import type { RetryWindow } from './retryWindows.js';
import { findWorstRetryWindow } from './retryWindows.js';
import type { CallerRecord } from './SoakCallers.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakWorld } from './SoakWorld.js';

/** Time with sound targets until the gateways have run for longer than a window, in milliseconds. */
const WARM_UP_MS = 16_000;

/** Time for open requests to end, in milliseconds. */
const DRAIN_MS = 3_200;

/** How long the targets fail before the gateways are disturbed, in milliseconds. */
const FAILING_MS = 2_000;

/** How long intermittent targets fail, and then serve, in milliseconds. */
const INTERMITTENT_MS = 3_000;

/** Maximum number of targets that a request is sent to. */
const MAX_TARGETS = 3;

const SERVED = 200;

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

function setBehaviour({ targets }: SoakWorld, behaviour: TargetBehaviour): void {
  for (const { model } of targets) model.behaviour = behaviour;
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
  const linksDisturbed = linkFault === undefined ? undefined : TARGET_LINK_FAULTS[linkFault](world);
  if (failsAfterLinks) await linksDisturbed;
  setBehaviour(world, behaviour);
  const endsAt = Date.now() + forMs;
  await wait(FAILING_MS);
  const disturbed = faults.map((fault) => GATEWAY_FAULTS[fault](world));
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
  const stopTraffic = startFleetTraffic(world, callers, options);
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
