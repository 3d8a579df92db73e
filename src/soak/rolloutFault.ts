import type { TargetBehaviour } from '../platform/standIn/index.js';
import { getRolloutState, putRollout } from '../platform/standIn/index.js';
import type { Fault, FaultContext } from './faults.js';
import { SERVICE } from './soakRoutes.js';
import type { SoakTarget } from './SoakWorld.js';
import { ZONES } from './SoakWorld.js';

/** Behaviours that the targets of a new version may have. */
const BEHAVIOURS: readonly TargetBehaviour[] = ['sound', 'fails', 'slow'];

const DURATION_MS = 6_000;
const POLL_INTERVAL_MS = 50;

/** Time from a rollback to the removal of the new targets, in milliseconds. */
const DRAIN_AFTER_MS = 2_000;

/** Time for which a version may still receive requests after its rollback, in milliseconds. */
const IN_FLIGHT_MS = 1_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startTargets({ world }: FaultContext, version: string, behaviour: TargetBehaviour) {
  const targets: SoakTarget[] = [];
  for (const zone of [...ZONES, ...ZONES]) {
    const target = await world.addTarget(zone, version);
    target.model.usualBehaviour = behaviour;
    target.model.behaviour = behaviour;
    targets.push(target);
  }
  return targets;
}

/** Waits for the end of the rollout, but no longer than 2.2 times its allowed duration. */
async function waitForEnd({ world }: FaultContext): Promise<string | undefined> {
  const endsAt = Date.now() + 2.2 * DURATION_MS;
  let state = getRolloutState(world.store, SERVICE);
  while ((state === undefined || state === 'running') && Date.now() < endsAt) {
    await wait(POLL_INTERVAL_MS);
    state = getRolloutState(world.store, SERVICE);
  }
  return state;
}

async function removeNewTargets(
  context: FaultContext,
  targets: readonly SoakTarget[],
): Promise<void> {
  const { world } = context;
  const from = Date.now() + IN_FLIGHT_MS;
  await wait(DRAIN_AFTER_MS);
  for (const target of targets) {
    if (world.isCalm) {
      const reason = 'its version was rolled back';
      world.bans.push({ target: target.entry.id, from, until: Date.now(), reason });
    }
    world.removeTarget(target);
  }
}

/** Rolls out a version that is good or bad at random, while other faults are active. */
export const orderRollout: Fault = async (context) => {
  const { world, random, notice } = context;
  if (world.isRollingOut) return;
  world.isRollingOut = true;
  const behaviour = BEHAVIOURS[Math.floor(random() * BEHAVIOURS.length)];
  const version = world.createVersionName();
  const old = [...world.targets];
  putRollout(world.store, SERVICE, version, DURATION_MS);
  const targets = await startTargets(context, version, behaviour);
  const state = await waitForEnd(context);
  if (state === 'completed') {
    const count = targets.filter(({ model }) => model.behaviour === behaviour).length;
    const still = `${count} of ${targets.length} targets still have it`;
    if (behaviour !== 'sound') {
      notice(`${version} was completed despite behaviour ${behaviour}, ${still}`);
    }
    for (const target of old) world.removeTarget(target);
    world.version = version;
  } else {
    if (behaviour !== 'sound' && state === 'running') {
      notice(`${version} was not rolled back despite behaviour ${behaviour}`);
    }
    await removeNewTargets(context, targets);
  }
  world.isRollingOut = false;
};
