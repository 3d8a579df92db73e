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

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 2_500;

/** Time with load after the end of the rollout, and then for open requests to end, in milliseconds. */
const DRAIN_MS = 1_500;

const POLL_INTERVAL_MS = 50;

const SERVED = 200;
const REFUSED = 503;

/** Settings of a rollout trial. */
export interface RolloutTrialOptions {
  readonly gateways: number;
  /** Behaviour of the targets of the new version. */
  readonly behaviour: TargetBehaviour;
  /** Delay before they show this behaviour, in milliseconds after their start. */
  readonly behaviourAfterMs: number;
  /** Allowed duration of the rollout, in milliseconds. */
  readonly durationMs: number;
  /** When the links to the store go silent, in milliseconds after the order, and for how long. */
  readonly storeAway?: { readonly fromMs: number; readonly forMs: number };
  /** When the first gateway is killed and restarted, in milliseconds after the order. */
  readonly killAtMs?: number;
  /** Called on each change of the rollout's state. */
  readonly onState?: (state: string, atMs: number) => void;
}

/** Result of a rollout trial. */
export interface RolloutTrialResult {
  /** Final state in the store, as the platform names it. */
  readonly state: string | undefined;
  readonly endedAtMs: number;
  /** Requests executed by the new version, and by all targets, from the order to its deadline. */
  readonly exposed: number;
  readonly runs: number;
  /** Maximum number of requests that a bad version may execute. */
  readonly allowed: number;
  /** Requests executed by the new version later than one second after its rollback. */
  readonly afterRollBack: number;
  /** Requests since the order that were neither served nor refused; refused ones may be retried. */
  readonly lost: number;
  readonly refused: number;
  readonly requests: number;
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Schedules the faults that the options define. */
function scheduleFaults(world: SoakWorld, { storeAway, killAtMs }: RolloutTrialOptions): void {
  if (storeAway !== undefined) {
    const set = (mode: 'silent' | 'sound'): void =>
      world.storeLinks.forEach((link) => link.setMode(mode));
    setTimeout(() => set('silent'), storeAway.fromMs);
    setTimeout(() => set('sound'), storeAway.fromMs + storeAway.forMs);
  }
  if (killAtMs === undefined) return;
  setTimeout(() => {
    const [first] = world.gateways;
    first.kill();
    setTimeout(() => first.start(), POLL_INTERVAL_MS);
  }, killAtMs);
}

/** Stops all targets of the old version without draining them. */
function stopOldTargets(world: SoakWorld): void {
  for (const target of [...world.targets]) {
    if (target.entry.version !== NEW_VERSION) world.removeTarget(target);
  }
}

/** Waits for the end of the rollout, but no longer than 1.5 times its allowed duration. */
async function waitForEnd(
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
    await wait(POLL_INTERVAL_MS);
  }
  return { state: known, endedAtMs: Date.now() - orderedAt };
}

/**
 * Rolls out a version on gateways that run as separate processes on loopback.
 * @param options - Behaviour of the version, and faults during the rollout.
 * @example
 * (await runRolloutTrial({ ...options, behaviour: 'fails' })).state; // 'rolled_back'
 */
export async function runRolloutTrial(options: RolloutTrialOptions): Promise<RolloutTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-rollout-'));
  const world = new SoakWorld(dir, { gateways: options.gateways });
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  try {
    await wait(STARTUP_MS);
    callers.start();
    await wait(1_000);
    const orderedAt = Date.now();
    putRollout(world.store, SERVICE, NEW_VERSION, options.durationMs);
    for (let i = 0; i < NEW_TARGETS; i++) {
      const { model } = await world.addTarget(ZONES[i % ZONES.length], NEW_VERSION);
      setTimeout(() => {
        model.behaviour = options.behaviour;
      }, options.behaviourAfterMs);
    }
    scheduleFaults(world, options);
    const { state, endedAtMs } = await waitForEnd(world, options, orderedAt);
    if (state === 'completed') stopOldTargets(world);
    await wait(DRAIN_MS);
    callers.stop();
    await wait(DRAIN_MS);
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
