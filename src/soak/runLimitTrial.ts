import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { LimitWindow } from '../lab/index.js';
import { findWorstWindows } from '../lab/index.js';
import { createRandom } from '../standIns/models/index.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakWorld } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 2_500;

/** Time with load before limits are advertised, and time for open requests to end, in milliseconds. */
const WARM_UP_MS = 1_000;
const DRAIN_MS = 1_500;

/** Time that gateways have to apply a limit before its utilisation is measured, in milliseconds. */
const ADJUSTMENT_MS = 3_000;

const SERVED = 200;
const REFUSED = 503;

/** All gateways are counted as one VM: targets behind a relay can't distinguish them. */
const ALL_VMS = 'all';

/** Settings of a limit trial. */
export interface LimitTrialOptions {
  readonly gateways: number;
  /** How many of the six targets advertise a limit. */
  readonly limited: number;
  /** Limit of each of these targets, in requests per second. */
  readonly perSecond: number;
  /** How long they advertise it, in milliseconds. */
  readonly forMs: number;
  /** When the first gateway is killed and restarted, in milliseconds after the limits are advertised. */
  readonly killAtMs?: number;
}

/** Result of a limit trial. */
export interface LimitTrialResult {
  /**
   * Worst time window of each limited target. Counts requests of all gateways, also of those that do
   * not know the limit.
   */
  readonly worst: readonly LimitWindow[];
  /** Requests executed by limited targets, as a share of what their limits allow. */
  readonly use: number;
  /** Requests while limits applied: all, refused ones, and those that were neither served nor refused. */
  readonly requests: number;
  readonly refused: number;
  readonly lost: number;
  /** Longest time until a refusal, in milliseconds. */
  readonly heldMs: number;
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Evaluates the observations of targets and callers since the limits were advertised. */
function evaluateTrial(
  world: SoakWorld,
  callers: SoakCallers,
  { limited, perSecond, forMs }: LimitTrialOptions,
  namedAt: number,
): Omit<LimitTrialResult, 'dir'> {
  const ids = world.targets.slice(0, limited).map(({ entry }) => entry.id);
  const runs = world.runs.filter(({ target }) => ids.includes(target));
  const endedAt = namedAt + forMs;
  const worst = findWorstWindows({
    arrivals: runs.map(({ target, at }) => ({ target, vm: ALL_VMS, at })),
    limitChanges: ids.flatMap((target) => [
      { target, perSecond, at: namedAt },
      { target, perSecond: undefined, at: endedAt },
    ]),
    forwardedLimits: ids.map((target) => ({ target, vm: ALL_VMS, at: namedAt })),
  });
  const usedFrom = namedAt + ADJUSTMENT_MS;
  const used = runs.filter(({ at }) => at >= usedFrom && at < endedAt).length;
  const offered = (limited * perSecond * (endedAt - usedFrom)) / 1_000;
  const records = callers.records.filter(
    ({ sentAt }) => sentAt >= namedAt + ADJUSTMENT_MS && sentAt < endedAt,
  );
  const refused = records.filter(({ status }) => status === REFUSED);
  const served = records.filter(({ status }) => status === SERVED);
  return {
    worst,
    use: used / offered,
    requests: records.length,
    refused: refused.length,
    lost: records.length - refused.length - served.length,
    heldMs: Math.max(0, ...refused.map(({ sentAt, endedAt: at = sentAt }) => at - sentAt)),
  };
}

/**
 * Runs gateways as separate processes on loopback while targets advertise a limit to them.
 * @param options - Limits, and faults during the trial.
 * @example
 * const { worst } = await runLimitTrial({ gateways: 4, limited: 2, perSecond: 1.3, forMs: 9_000 });
 */
export async function runLimitTrial(options: LimitTrialOptions): Promise<LimitTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-limits-'));
  const world = new SoakWorld(dir, { gateways: options.gateways });
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  const setLimit = (limit: string | undefined): void =>
    world.targets.slice(0, options.limited).forEach(({ model }) => {
      model.limit = limit;
    });
  try {
    await wait(STARTUP_MS);
    callers.start();
    await wait(WARM_UP_MS);
    const namedAt = Date.now();
    setLimit(String(options.perSecond));
    if (options.killAtMs !== undefined) {
      setTimeout(() => {
        const [first] = world.gateways;
        first.kill();
        first.start();
      }, options.killAtMs);
    }
    await wait(options.forMs);
    setLimit(undefined);
    callers.stop();
    await wait(DRAIN_MS);
    return { ...evaluateTrial(world, callers, options, namedAt), dir };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
