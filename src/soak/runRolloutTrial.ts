import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { TargetBehaviour } from '../platform/standIn/index.js';
import { getRolloutState, putRollout } from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import { SoakCallers } from './SoakCallers.js';
import { TRIAL_SHARE, TRIAL_SLACK } from './SoakGateway.js';
import { SoakWorld, ZONES } from './SoakWorld.js';

const SERVICE = 'soak';
const NEW_VERSION = 'v2';
const NEW_TARGETS = 6;

/** Gateways know each other and their targets after this time, in milliseconds. */
const SETTLED_MS = 2_500;

/** Requests go on for so long after the end of the rollout, in milliseconds. */
const AFTER_MS = 1_500;

const LOOK_MS = 50;

const SERVED = 200;
const REFUSED = 503;

/** How a rollout is tried. */
export interface RolloutTrialOptions {
  readonly gateways: number;
  /** How targets of the new version behave. */
  readonly mood: TargetBehaviour;
  /** When they begin to behave so, in milliseconds after the order. */
  readonly moodAfterMs: number;
  /** Time that the order allows, in milliseconds. */
  readonly durationMs: number;
  /** When the links to the store go silent, in milliseconds after the order, and for how long. */
  readonly storeAway?: { readonly fromMs: number; readonly forMs: number };
  /** When the first gateways in the fleet's order are killed, in milliseconds after the order. */
  readonly killAtMs?: number;
  /** Told of each change of the order's state. */
  readonly onState?: (state: string, atMs: number) => void;
}

/** What came of a rollout. */
export interface RolloutTrialResult {
  /** State that the store has at last, in the platform's words. */
  readonly state: string | undefined;
  readonly endedAtMs: number;
  /** Runs at targets of the new version, and at all, from the order to its limit. */
  readonly exposed: number;
  readonly runs: number;
  /** Most runs that a bad version may have had. */
  readonly allowed: number;
  /** Runs at the new version from one second after it was taken back. */
  readonly afterRollBack: number;
  /** Requests since the order that were cut, or failed: one that is refused may come back. */
  readonly lost: number;
  readonly refused: number;
  readonly requests: number;
  /** Folder with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Brings about what the options ask for beside the rollout. */
function planFaults(world: SoakWorld, { storeAway, killAtMs }: RolloutTrialOptions): void {
  if (storeAway !== undefined) {
    const set = (mood: 'silent' | 'sound'): void =>
      world.storeLinks.forEach((link) => link.set(mood));
    setTimeout(() => set('silent'), storeAway.fromMs);
    setTimeout(() => set('sound'), storeAway.fromMs + storeAway.forMs);
  }
  if (killAtMs === undefined) return;
  setTimeout(() => {
    const [first] = world.gateways;
    first.kill();
    setTimeout(() => first.start(), LOOK_MS);
  }, killAtMs);
}

/** Stops old targets as soon as the order is completed, without notice. */
function stopOldTargets(world: SoakWorld): void {
  for (const target of [...world.targets]) {
    if (target.entry.version !== NEW_VERSION) world.removeTarget(target);
  }
}

/** Waits for the order's end, or for half as long again as it allows. */
async function awaitEnd(
  world: SoakWorld,
  { durationMs, onState }: RolloutTrialOptions,
  orderedAt: number,
): Promise<{ readonly state: string | undefined; readonly endedAtMs: number }> {
  let known: string | undefined;
  while (Date.now() < orderedAt + 1.5 * durationMs) {
    const state = getRolloutState(world.store, SERVICE);
    if (state !== known && state !== undefined) onState?.(state, Date.now() - orderedAt);
    known = state;
    if (state !== undefined && state !== 'running') break;
    await wait(LOOK_MS);
  }
  return { state: known, endedAtMs: Date.now() - orderedAt };
}

/**
 * Rolls a version out on gateways that run as processes of their own, on loopback.
 * @param options - The version, and what happens meanwhile.
 * @example
 * (await runRolloutTrial({ ...options, mood: 'fails' })).state; // 'rolled_back'
 */
export async function runRolloutTrial(options: RolloutTrialOptions): Promise<RolloutTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-rollout-'));
  const world = new SoakWorld(dir, options.gateways);
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  try {
    await wait(SETTLED_MS);
    callers.start();
    await wait(1_000);
    const orderedAt = Date.now();
    putRollout(world.store, SERVICE, NEW_VERSION, options.durationMs);
    for (let i = 0; i < NEW_TARGETS; i++) {
      const { model } = await world.addTarget(ZONES[i % ZONES.length], NEW_VERSION);
      setTimeout(() => {
        model.behaviour = options.mood;
      }, options.moodAfterMs);
    }
    planFaults(world, options);
    const { state, endedAtMs } = await awaitEnd(world, options, orderedAt);
    if (state === 'completed') stopOldTargets(world);
    await wait(AFTER_MS);
    callers.stop();
    await wait(AFTER_MS);
    const counted = world.runs.filter(
      ({ at }) => at >= orderedAt && at <= orderedAt + options.durationMs,
    );
    const exposed = counted.filter(({ version }) => version === NEW_VERSION).length;
    const endedAt = orderedAt + endedAtMs;
    const after = world.runs.filter(
      ({ at, version }) => version === NEW_VERSION && at > endedAt + 1_000,
    );
    const records = callers.records.filter(({ sentAt }) => sentAt >= orderedAt);
    const refused = records.filter(({ status }) => status === REFUSED).length;
    const served = records.filter(({ status }) => status === SERVED).length;
    return {
      state,
      endedAtMs,
      exposed,
      runs: counted.length,
      allowed: TRIAL_SHARE * counted.length + TRIAL_SLACK,
      afterRollBack: state === 'rolled_back' ? after.length : 0,
      lost: records.length - refused - served,
      refused,
      requests: records.length,
      dir,
    };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
