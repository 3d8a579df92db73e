import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandom } from '../standIns/models/index.js';
import { checkSoak } from './checkSoak.js';
import type { Fault, FaultContext } from './faults.js';
import { FAULTS } from './faults.js';
import { nameLimit } from './limitFault.js';
import { orderRollout } from './rolloutFault.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakWorld } from './SoakWorld.js';

/** How a soak runs. */
export interface SoakOptions {
  readonly seed: number;
  /** How long faults come, in milliseconds. */
  readonly faultsMs: number;
  /** Whether versions are rolled out beside the faults. Seeds without it bring the same faults as ever. */
  readonly hasRollouts?: boolean;
  /** Whether targets name limits beside the faults. */
  readonly hasLimits?: boolean;
  /** Told of each fault as it begins. */
  readonly onFault?: (name: string, atMs: number) => void;
}

/** What came of a soak. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly string[];
  /** Folder with the gateways' settings and logs. */
  readonly dir: string;
}

/** Gateways know each other and their targets after this time, in milliseconds. */
const SETTLED_MS = 2_500;

/** Time between two faults at the most, in milliseconds; they last longer, so that they overlap. */
const MOST_GAP_MS = 900;

/** Time for everything to be well again, and then for what is counted as calm, in milliseconds. */
const RECOVERY_MS = 4_500;
const CALM_MS = 2_000;

/** Last requests may take so long, in milliseconds. */
const LAST_MS = 3_200;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Brings faults about one after the other, without waiting for their ends. */
async function bringFaults(
  context: FaultContext,
  { faultsMs, hasRollouts = false, hasLimits = false, onFault }: SoakOptions,
  startedAt: number,
): Promise<string[]> {
  const names: string[] = [];
  const pending: Promise<void>[] = [];
  const endsAt = Date.now() + faultsMs;
  const faults: Readonly<Record<string, Fault>> = {
    ...FAULTS,
    ...(hasRollouts ? { orderRollout } : {}),
    ...(hasLimits ? { nameLimit } : {}),
  };
  if (hasRollouts) pending.push(orderRollout(context));
  if (hasLimits) pending.push(nameLimit(context));
  while (Date.now() < endsAt) {
    const all = Object.keys(faults);
    const name = all[Math.floor(context.random() * all.length)];
    names.push(name);
    onFault?.(name, Date.now() - startedAt);
    pending.push(faults[name](context));
    await wait(context.random() * MOST_GAP_MS);
  }
  await Promise.all(pending);
  return names;
}

/**
 * Runs gateways as processes of their own, disturbs them from outside, and holds what callers and
 * targets saw against the promises.
 * @param options - Seed and length.
 * @example
 * const { broken } = await runSoak({ seed: 7, faultsMs: 20_000 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const dir = mkdtempSync(join(tmpdir(), `masticlink-soak-${options.seed}-`));
  const world = new SoakWorld(dir);
  const noticed: string[] = [];
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(options.seed + 1));
  try {
    await wait(SETTLED_MS);
    callers.start();
    const context: FaultContext = {
      world,
      callers,
      random,
      notice: (sentence) => noticed.push(sentence),
    };
    const faults = await bringFaults(context, options, Date.now());
    await wait(RECOVERY_MS);
    const calmFrom = Date.now();
    await wait(CALM_MS);
    callers.stop();
    await wait(LAST_MS);
    const { runs, bans, namings } = world;
    const excused = world.gateways.flatMap((gateway) =>
      gateway.excused.map((each) => ({ port: gateway.options.ports.callers, ...each })),
    );
    const seen = { callers: callers.records, runs, bans, namings, excused, noticed, calmFrom };
    const broken = checkSoak(seen);
    const served = callers.records.filter(({ status }) => status === 200).length;
    return { broken, requests: callers.records.length, served, faults, dir };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
