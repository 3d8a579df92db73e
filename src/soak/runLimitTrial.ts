import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { LimitWindow } from '../lab/index.js';
import { findWorstWindows } from '../lab/index.js';
import { createRandom } from '../standIns/models/index.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakWorld } from './SoakWorld.js';

/** Gateways know each other and their targets after this time, in milliseconds. */
const SETTLED_MS = 2_500;

/** Requests are served for so long before limits are named, and after, in milliseconds. */
const BEFORE_MS = 1_000;
const AFTER_MS = 1_500;

/** Gateways have so long to act by a limit before its use is looked at, in milliseconds. */
const USE_FROM_MS = 3_000;

const SERVED = 200;
const REFUSED = 503;

/** All gateways count as one: targets behind a relay can't tell them apart. */
const ALL_VMS = 'all';

/** How limits are tried. */
export interface LimitTrialOptions {
  readonly gateways: number;
  /** How many of the six targets name a limit. */
  readonly limited: number;
  /** Requests a second that each of them takes. */
  readonly perSecond: number;
  /** How long they name it, in milliseconds. */
  readonly forMs: number;
  /** When the first gateway is killed and started again, in milliseconds after the first naming. */
  readonly killAtMs?: number;
}

/** What came of it. */
export interface LimitTrialResult {
  /** The worst stretch of each limited target, counted from all gateways, told or not. */
  readonly worst: readonly LimitWindow[];
  /** Runs at limited targets, as a share of what their limits let through. */
  readonly use: number;
  /** Requests while limits were named: all, and those that were refused, or had neither answer nor refusal. */
  readonly requests: number;
  readonly refused: number;
  readonly lost: number;
  /** Longest that a refused one was held, in milliseconds. */
  readonly heldMs: number;
  /** Folder with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Looks at what targets and callers saw from the first naming on. */
function judge(
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
    namings: ids.flatMap((target) => [
      { target, perSecond, at: namedAt },
      { target, perSecond: undefined, at: endedAt },
    ]),
    told: ids.map((target) => ({ target, vm: ALL_VMS, at: namedAt })),
  });
  const usedFrom = namedAt + USE_FROM_MS;
  const used = runs.filter(({ at }) => at >= usedFrom && at < endedAt).length;
  const offered = (limited * perSecond * (endedAt - usedFrom)) / 1_000;
  const records = callers.records.filter(
    ({ sentAt }) => sentAt >= namedAt + USE_FROM_MS && sentAt < endedAt,
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
 * Has targets name a limit to gateways that run as processes of their own, on loopback.
 * @param options - The limits, and what happens meanwhile.
 * @example
 * const { worst } = await runLimitTrial({ gateways: 4, limited: 2, perSecond: 1.3, forMs: 9_000 });
 */
export async function runLimitTrial(options: LimitTrialOptions): Promise<LimitTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-limits-'));
  const world = new SoakWorld(dir, options.gateways);
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  const nameLimit = (limit: string | undefined): void =>
    world.targets.slice(0, options.limited).forEach(({ model }) => {
      model.limit = limit;
    });
  try {
    await wait(SETTLED_MS);
    callers.start();
    await wait(BEFORE_MS);
    const namedAt = Date.now();
    nameLimit(String(options.perSecond));
    if (options.killAtMs !== undefined) {
      setTimeout(() => {
        const [first] = world.gateways;
        first.kill();
        first.start();
      }, options.killAtMs);
    }
    await wait(options.forMs);
    nameLimit(undefined);
    callers.stop();
    await wait(AFTER_MS);
    return { ...judge(world, callers, options, namedAt), dir };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
