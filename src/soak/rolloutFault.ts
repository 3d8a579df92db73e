import type { TargetBehaviour } from '../platform/standIn/index.js';
import { getRolloutState, putRollout } from '../platform/standIn/index.js';
import type { Fault, FaultContext } from './faults.js';
import type { SoakTarget } from './SoakWorld.js';
import { SERVICE, ZONES } from './SoakWorld.js';

/** How a version that is rolled out turns out to be. */
const MOODS: readonly TargetBehaviour[] = ['sound', 'fails', 'slow'];

const DURATION_MS = 6_000;
const LOOK_MS = 50;

/** New targets drain so long after the version was taken back, in milliseconds. */
const DRAIN_AFTER_MS = 2_000;

/** Requests that a bad version may still get after the store was told, in milliseconds. */
const IN_FLIGHT_MS = 1_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startTargets({ world }: FaultContext, version: string, mood: TargetBehaviour) {
  const targets: SoakTarget[] = [];
  for (const zone of [...ZONES, ...ZONES]) {
    const target = await world.addTarget(zone, version);
    target.model.behaviour = mood;
    targets.push(target);
  }
  return targets;
}

/** Waits for the end of the order, or for twice the time that it allows. */
async function awaitState({ world }: FaultContext): Promise<string | undefined> {
  const endsAt = Date.now() + 2.2 * DURATION_MS;
  let state = getRolloutState(world.store, SERVICE);
  while ((state === undefined || state === 'running') && Date.now() < endsAt) {
    await wait(LOOK_MS);
    state = getRolloutState(world.store, SERVICE);
  }
  return state;
}

async function takeBack(context: FaultContext, targets: readonly SoakTarget[]): Promise<void> {
  const { world } = context;
  const from = Date.now() + IN_FLIGHT_MS;
  await wait(DRAIN_AFTER_MS);
  for (const target of targets) {
    if (world.isCalm) {
      const reason = 'its version was taken back';
      world.bans.push({ target: target.entry.id, from, until: Date.now(), reason });
    }
    world.removeTarget(target);
  }
}

/** Rolls out a version that may be good or bad, as operators do at any moment. */
export const orderRollout: Fault = async (context) => {
  const { world, random, notice } = context;
  if (world.isRollingOut) return;
  world.isRollingOut = true;
  const mood = MOODS[Math.floor(random() * MOODS.length)];
  const version = world.nextVersion();
  const old = [...world.targets];
  putRollout(world.store, SERVICE, version, DURATION_MS);
  const targets = await startTargets(context, version, mood);
  const state = await awaitState(context);
  if (state === 'completed') {
    if (mood !== 'sound') notice(`${version} was completed although it ${mood}`);
    for (const target of old) world.removeTarget(target);
    world.version = version;
  } else {
    if (mood !== 'sound' && state === 'running') {
      notice(`${version} was not taken back although it ${mood}`);
    }
    await takeBack(context, targets);
  }
  world.isRollingOut = false;
};
