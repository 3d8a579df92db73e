import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandom } from '../standIns/models/index.js';
import type { OrganisationObservations } from './checkOrganisations.js';
import { varyAnswers } from './answersFault.js';
import { checkSoak } from './checkSoak.js';
import { copyAnswers } from './copiesFault.js';
import { countKnownTargets } from './countKnownTargets.js';
import { repeatFatalRequest } from './crashFault.js';
import { cutPaths } from './cutFault.js';
import { leaveOddEntries } from './entriesFault.js';
import { expireWhileAway } from './expiryFault.js';
import { failWhileRestarting } from './failureFault.js';
import type { Fault, FaultContext } from './faults.js';
import { FAULTS } from './faults.js';
import { nameLimit } from './limitFault.js';
import { changeKeys, exceedQuota } from './organisationFault.js';
import type { CrashReplacement } from './replaceCrashedTarget.js';
import { restoreStore } from './restoreFault.js';
import { orderRollout } from './rolloutFault.js';
import { SoakCallers } from './SoakCallers.js';
import { SOAK_ORGANISATIONS, SoakOrganisations } from './SoakOrganisations.js';
import { SoakWorld } from './SoakWorld.js';
import { announceDrain, askForPauses } from './statementFaults.js';

/** How targets that have crashed return; the seed chooses one for all of them. */
const RETURNS: readonly CrashReplacement[] = ['sameAddress', 'unhealthyAtSameAddress', 'sameId'];

/** Settings of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Time during which faults are injected, in milliseconds. */
  readonly faultsMs: number;
  /** Whether rollouts are among the faults; without them a seed keeps its sequence of faults. */
  readonly hasRollouts?: boolean;
  /** Whether targets that advertise limits are among the faults. */
  readonly hasLimits?: boolean;
  /** Whether targets that ask for pauses or announce their shutdown are among the faults. */
  readonly hasStatements?: boolean;
  /** Whether the store is at times restored from a copy. */
  readonly hasRestores?: boolean;
  /** Whether requests that crash their targets are among the faults. */
  readonly hasCrashes?: boolean;
  /** Whether targets that have crashed return at their addresses or under their ids. */
  readonly hasReturns?: boolean;
  /** Whether gateways are at times cut off from all targets. */
  readonly hasCuts?: boolean;
  /** Whether all targets fail at times, while gateways are restarted. */
  readonly hasFailures?: boolean;
  /** Whether the registrations of all targets expire and return while the store is away. */
  readonly hasExpiries?: boolean;
  /** Whether callers need API keys of organisations with limits, which change among the faults. */
  readonly hasOrganisations?: boolean;
  /** Whether targets send second copies of answers and reject shares of the requests at times. */
  readonly hasCopies?: boolean;
  /**
   * Whether targets send answers without a length and large ones, and break some off, to callers of
   * which some use HTTP/1.0 or keep to their open connections; and whether entries that describe no
   * target stand beside theirs.
   */
  readonly hasAnswers?: boolean;
  /** Programs that the gateways run, in turn; that of this build by default. */
  readonly gatewayMains?: readonly string[];
  /** Called when a fault starts. */
  readonly onFault?: (name: string, atMs: number) => void;
}

/** Result of a soak. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly string[];
  /** Copies of answers that were sent before the answer to a request. */
  readonly copiesMet: number;
  /** Requests of which a target has broken an answer off. */
  readonly brokenOff: number;
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 2_500;

/** On a busy machine they may take longer, but no more than this, in milliseconds. */
const MAX_STARTUP_MS = 15_000;
const STARTUP_POLL_MS = 100;

/** Maximum time between two fault starts, in milliseconds; faults last longer, so that they overlap. */
const MAX_FAULT_GAP_MS = 900;

/** Time to recover after the last fault, and then length of the fault-free phase, in milliseconds. */
const RECOVERY_MS = 4_500;
const CALM_MS = 2_000;

/** Time for open requests to end, in milliseconds. */
const DRAIN_MS = 3_200;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Returns the faults that the options add, by name. */
function getOptionalFaults(options: SoakOptions): Readonly<Record<string, Fault>> {
  const { hasRollouts, hasLimits, hasStatements, hasRestores } = options;
  const { hasCrashes, hasCuts, hasFailures, hasExpiries, hasOrganisations, hasCopies, hasAnswers } =
    options;
  return {
    ...(hasRollouts === true ? { orderRollout } : {}),
    ...(hasLimits === true ? { nameLimit } : {}),
    ...(hasStatements === true ? { askForPauses, announceDrain } : {}),
    ...(hasRestores === true ? { restoreStore } : {}),
    ...(hasCrashes === true ? { repeatFatalRequest } : {}),
    ...(hasCuts === true ? { cutPaths } : {}),
    ...(hasFailures === true ? { failWhileRestarting } : {}),
    ...(hasExpiries === true ? { expireWhileAway } : {}),
    ...(hasOrganisations === true ? { changeKeys, exceedQuota } : {}),
    ...(hasCopies === true ? { copyAnswers } : {}),
    ...(hasAnswers === true ? { varyAnswers, leaveOddEntries } : {}),
  };
}

/**
 * Starts each optional fault, and then random faults, without waiting for earlier ones to end;
 * returns the names of the random ones.
 */
async function injectFaults(
  context: FaultContext,
  options: SoakOptions,
  startedAt: number,
): Promise<string[]> {
  const names: string[] = [];
  const endsAt = Date.now() + options.faultsMs;
  const optionalFaults = getOptionalFaults(options);
  const faults: Readonly<Record<string, Fault>> = { ...FAULTS, ...optionalFaults };
  const pending = Object.values(optionalFaults).map((fault) => fault(context));
  while (Date.now() < endsAt) {
    const all = Object.keys(faults);
    const name = all[Math.floor(context.random() * all.length)];
    names.push(name);
    options.onFault?.(name, Date.now() - startedAt);
    pending.push(faults[name](context));
    await wait(context.random() * MAX_FAULT_GAP_MS);
  }
  await Promise.all(pending);
  return names;
}

/** Returns a message for each gateway that does not know all registered targets. */
async function findLostTargets({ gateways, targets }: SoakWorld): Promise<string[]> {
  const counts = await Promise.all(
    gateways.map(({ options }) => countKnownTargets(options.ports.metrics)),
  );
  return gateways.flatMap(({ options, isRunning }, i) =>
    !isRunning || counts[i] === targets.length
      ? []
      : [`${options.name} knows ${counts[i]} of ${targets.length} registered targets`],
  );
}

function observeOrganisations(world: SoakWorld): OrganisationObservations | undefined {
  if (world.organisations === undefined) return undefined;
  const disturbed = world.gateways.flatMap(({ disturbances, options }) =>
    disturbances.map((each) => ({
      port: options.ports.callers,
      source: options.source,
      ...each,
    })),
  );
  const { identities } = world;
  const { keys } = world.organisations;
  return { organisations: SOAK_ORGANISATIONS, keys, identities, disturbed };
}

/**
 * Waits until all gateways know all targets: faults are to meet gateways that are up.
 * @returns A message for each gateway that is not up in time.
 */
async function waitForGateways(world: SoakWorld): Promise<string[]> {
  const endsAt = Date.now() + MAX_STARTUP_MS;
  await wait(STARTUP_MS);
  let lost = await findLostTargets(world);
  while (lost.length > 0 && Date.now() < endsAt) {
    await wait(STARTUP_POLL_MS);
    lost = await findLostTargets(world);
  }
  return lost;
}

/**
 * Runs gateways as separate processes, injects faults from outside, and checks the observations of
 * callers and targets against the guarantees of the gateways.
 * @param options - Seed, duration and kinds of faults.
 * @example
 * const { broken } = await runSoak({ seed: 7, faultsMs: 20_000 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const dir = mkdtempSync(join(tmpdir(), `masticlink-soak-${options.seed}-`));
  const organisations =
    options.hasOrganisations === true
      ? new SoakOrganisations(createRandom(options.seed + 2))
      : undefined;
  const replacement =
    options.hasReturns === true ? RETURNS[options.seed % RETURNS.length] : undefined;
  const { seed, gatewayMains } = options;
  const world = new SoakWorld(dir, { seed, organisations, replacement, gatewayMains });
  const noticed: string[] = [];
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(options.seed + 1), {
    organisations,
    hasVariety: options.hasAnswers,
  });
  try {
    noticed.push(...(await waitForGateways(world)));
    callers.start();
    const context: FaultContext = {
      world,
      callers,
      random,
      notice: (sentence) => noticed.push(sentence),
    };
    const faults = await injectFaults(context, options, Date.now());
    await wait(RECOVERY_MS);
    const calmFrom = Date.now();
    await wait(CALM_MS);
    noticed.push(...(await findLostTargets(world)));
    callers.stop();
    await wait(DRAIN_MS);
    const { runs, arrivals, bans, namings, pauses, drains, linkFaults } = world;
    const excused = world.gateways.flatMap((gateway) =>
      gateway.excused.map((each) => ({
        port: gateway.options.ports.callers,
        source: gateway.options.source,
        ...each,
      })),
    );
    const broken = checkSoak({
      callers: callers.records,
      runs,
      arrivals,
      bans,
      namings,
      pauses,
      drains,
      linkFaults,
      excused,
      organisations: observeOrganisations(world),
      noticed,
      calmFrom,
    });
    const served = callers.records.filter(({ status }) => status === 200).length;
    const requests = callers.records.length;
    const copiesMet = world.copiesMet.length;
    return { broken, requests, served, faults, copiesMet, brokenOff: world.brokenOff.size, dir };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
