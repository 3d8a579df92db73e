import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { CopyCounts } from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import { findBrokenPromises } from './checkSoak.js';
import type { FleetTraffic } from './fleetTraffic.js';
import { startFleetTraffic } from './fleetTraffic.js';
import type { TargetLinkFault } from './retryFaults.js';
import { GATEWAY_FAULTS, TARGET_LINK_FAULTS } from './retryFaults.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakWorld } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 6_000;

/** Time for open requests to end, and for refused ones to run in spite of it, in milliseconds. */
const DRAIN_MS = 6_000;

/** Maximum number of targets that a request is sent to. */
const MAX_TARGETS = 3;

const BAD_GATEWAY = 502;

/** Settings of a refusal trial. */
export interface RefusalTrialOptions extends FleetTraffic {
  /** Share of the targets that send copies, and share of their answers that they send twice. */
  readonly copyingTargets: number;
  readonly copyShare: number;
  /** Share of the requests that all targets reject. */
  readonly rejectedShare: number;
  /** Time with copies and rejections; in its middle all gateways are killed, in milliseconds. */
  readonly forMs: number;
  /** What happens to the links to targets before and after the gateways are killed. */
  readonly linkFault?: TargetLinkFault;
  /** Seed of the random numbers of callers and targets. */
  readonly seed: number;
  /** Programs that the gateways run, in turn; that of this build by default. */
  readonly gatewayMains?: readonly string[];
}

/** Result of a refusal trial. */
export interface RefusalTrialResult {
  readonly requests: number;
  /** Requests that may not run twice, how often they ran, and how many were answered 502. */
  readonly unsafe: number;
  readonly unsafeRuns: number;
  readonly unsafeBadGateway: number;
  /** Those that were answered with a promise that they had not run, but ran. */
  readonly refused: number;
  /** Those that ran more than once. */
  readonly twice: number;
  readonly copies: CopyCounts;
  /** Directory with the gateways' settings and logs, and `observations.json`. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function countCopies({ targets }: SoakWorld): CopyCounts {
  const counts = targets.map(({ model }) => model.copies.counts);
  const sum = (key: keyof CopyCounts): number =>
    counts.reduce((total, each) => total + each[key], 0);
  return { sent: sum('sent'), met: sum('met'), metRejections: sum('metRejections') };
}

/** Compares what callers were told with what targets ran. */
function summarise(dir: string, world: SoakWorld, { records }: SoakCallers): RefusalTrialResult {
  const unsafe = records.filter(({ isIdempotent }) => !isIdempotent);
  const ids = new Set(unsafe.map(({ id }) => id));
  const runs = world.runs.filter(({ id }) => ids.has(id));
  const { refused, twice } = findBrokenPromises(unsafe, runs);
  writeFileSync(
    join(dir, 'observations.json'),
    JSON.stringify({ refused, twice, requests: records, runs: world.runs }),
  );
  return {
    requests: records.length,
    unsafe: unsafe.length,
    unsafeRuns: runs.length,
    unsafeBadGateway: unsafe.filter(({ status }) => status === BAD_GATEWAY).length,
    refused: refused.length,
    twice: twice.length,
    copies: countCopies(world),
    dir,
  };
}

/** Lets targets send copies and reject requests, and kills all gateways in the middle. */
async function injectCopies(world: SoakWorld, options: RefusalTrialOptions): Promise<void> {
  const { copyingTargets, copyShare, rejectedShare, forMs, linkFault } = options;
  for (const [i, { model }] of world.targets.entries()) {
    // The services of a fleet are listed one after the other; so each has its share.
    const isCopying = Math.floor((i + 1) * copyingTargets) > Math.floor(i * copyingTargets);
    model.copies.share = isCopying ? copyShare : 0;
    model.rejectedShare = rejectedShare;
  }
  const disturbLinks = async (): Promise<void> => {
    await wait(forMs / 4);
    if (linkFault !== undefined) await TARGET_LINK_FAULTS[linkFault](world);
  };
  await Promise.all([disturbLinks(), wait(forMs / 2)]);
  await GATEWAY_FAULTS.allKilled(world);
  await Promise.all([disturbLinks(), wait(forMs / 2)]);
  for (const { model } of world.targets) {
    model.copies.share = 0;
    model.rejectedShare = 0;
  }
}

/**
 * Runs gateways as separate processes on loopback while targets send second copies of answers and
 * reject shares of the requests, and counts refused requests that ran and requests that ran twice.
 * @param options - Fleet, load and shares.
 * @example
 * const { refused, twice } = await runRefusalTrial({ fleet: FLEET_OF_15, requestsPerSecond: 60, copyingTargets: 1, copyShare: 0.3, rejectedShare: 0.55, forMs: 30_000, seed: 1 });
 */
export async function runRefusalTrial(options: RefusalTrialOptions): Promise<RefusalTrialResult> {
  const { fleet, seed, gatewayMains } = options;
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-refusals-'));
  const world = new SoakWorld(dir, {
    gateways: fleet.gateways,
    services: fleet.services,
    routes: fleet.traffic.map(({ route }) => route),
    maxTargets: MAX_TARGETS,
    retryLimit: fleet.limit,
    seed,
    gatewayMains,
  });
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(seed));
  await wait(STARTUP_MS);
  const stopTraffic = startFleetTraffic(world, callers, options);
  try {
    await injectCopies(world, options);
    stopTraffic();
    await wait(DRAIN_MS);
    return summarise(dir, world, callers);
  } finally {
    stopTraffic();
    callers.close();
    await world.stop();
  }
}
