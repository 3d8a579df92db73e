import { putTarget, removeTarget } from '../platform/standIn/index.js';
import type { Fault } from './faults.js';
import { PAUSES_MS } from './SoakWorld.js';

const MIN_PAUSING_MS = 2_000;
const MAX_PAUSING_MS = 7_000;

/** Time for which a target rejects or accepts requests when it does so in turns, in milliseconds. */
const TURN_MS = 400;

/** Time from the announcement of a shutdown to its end, in milliseconds. */
const DRAINING_MS = 5_500;

/** When the registration of a target that shuts down expires, and for how long, in milliseconds. */
const EXPIRY_AT_MS = 1_000;
const EXPIRED_FOR_MS = 600;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Makes one target, or all of them, reject requests and ask for a pause, at times in turns. */
export const askForPauses: Fault = async ({ world, random }) => {
  const values = Object.keys(PAUSES_MS);
  const value = values[Math.floor(random() * values.length)];
  const endsAt = Date.now() + MIN_PAUSING_MS + random() * (MAX_PAUSING_MS - MIN_PAUSING_MS);
  const index = Math.floor(random() * world.targets.length * 1.5);
  const chosen = index < world.targets.length ? [world.targets[index]] : [...world.targets];
  const isInTurns = random() < 0.5;
  const set = (pause: string | undefined): void => {
    for (const { model } of chosen) model.pause = pause;
  };
  set(value);
  while (Date.now() < endsAt) {
    await wait(TURN_MS);
    if (isInTurns) set(chosen[0].model.pause === undefined ? value : undefined);
  }
  set(undefined);
};

/**
 * Lets the answers of a target state that it is shutting down, while the store does not. At times
 * its registration expires meanwhile and returns.
 */
export const announceDrain: Fault = async ({ world, random }) => {
  const target = world.targets[Math.floor(random() * world.targets.length)];
  if (world.targets.length < 4 || target.model.isLeaving) return;
  await world.addTarget(target.entry.zone);
  target.model.isLeaving = true;
  world.drains.push({ target: target.entry.id, at: Date.now() });
  const expires = random() < 0.5;
  await wait(EXPIRY_AT_MS);
  if (expires) removeTarget(world.store, target.entry.id);
  await wait(EXPIRED_FOR_MS);
  if (expires && world.targets.includes(target)) putTarget(world.store, target.entry);
  await wait(DRAINING_MS - EXPIRY_AT_MS - EXPIRED_FOR_MS);
  world.removeTarget(target);
};
