import { putTarget, removeTarget } from '../platform/standIn/index.js';
import type { SoakTarget, SoakWorld } from './SoakWorld.js';

/**
 * How a target that has crashed is replaced: by one at another address, by one at the same address
 * while its own registration is still listed, which is healthy at once or unhealthy at first, or by a
 * new run under the same id.
 */
export type CrashReplacement = 'otherAddress' | 'sameAddress' | 'unhealthyAtSameAddress' | 'sameId';

/** Time until a target that a request has crashed is replaced by a new one, in milliseconds. */
export const CRASH_RECOVERY_MS = 3_000;

/** Time after the replacement for which the crashed target stays registered, in milliseconds. */
const STALE_REGISTRATION_MS = 3_000;

/** Time until a target that starts again under its id has registered, in milliseconds. */
const REGISTRATION_DELAY_MS = 1_500;

/** Period in which a target that is unhealthy at first says so, in milliseconds after its start. */
const UNHEALTHY_FROM_MS = 500;
const UNHEALTHY_UNTIL_MS = 2_500;

function runLater(action: () => void, delayMs: number): void {
  setTimeout(action, delayMs).unref();
}

/**
 * Starts a target behind the link of a crashed one.
 * @returns False if the crashed one was removed meanwhile; then the target is stopped again.
 */
async function takePlace(
  targets: SoakTarget[],
  crashed: SoakTarget,
  started: SoakTarget,
): Promise<boolean> {
  await started.model.start(crashed.link.targetPort);
  const index = targets.indexOf(crashed);
  if (index < 0) started.model.crash();
  else targets.splice(index, 1, started);
  return index >= 0;
}

/** Starts a target again under its id, which is registered with the new start after a while. */
async function restart(world: SoakWorld, crashed: SoakTarget): Promise<void> {
  const { services, targets, store } = world;
  const { entry, link } = crashed;
  const service = services.find(({ name }) => name === entry.service) ?? services[0];
  const { bornAt, model } = world.createModel(entry.version, service, entry.id);
  const started: SoakTarget = { entry: { ...entry, bornAt }, model, link };
  if (!(await takePlace(targets, crashed, started))) return;
  runLater(() => {
    if (targets.includes(started)) putTarget(store, started.entry);
  }, REGISTRATION_DELAY_MS);
}

/** Starts a target under a new id behind the link of a crashed one. */
async function replaceAtSameAddress(
  world: SoakWorld,
  crashed: SoakTarget,
  replacement: CrashReplacement,
): Promise<void> {
  const { services, targets, store } = world;
  const { entry, link } = crashed;
  const service = services.find(({ name }) => name === entry.service) ?? services[0];
  const { id, bornAt, model } = world.createModel(entry.version, service);
  const started: SoakTarget = { entry: { ...entry, id, bornAt }, model, link };
  if (!(await takePlace(targets, crashed, started))) return;
  putTarget(store, started.entry);
  runLater(() => removeTarget(store, entry.id), STALE_REGISTRATION_MS);
  if (replacement !== 'unhealthyAtSameAddress') return;
  runLater(() => {
    model.isUnhealthy = true;
  }, UNHEALTHY_FROM_MS);
  runLater(() => {
    model.isUnhealthy = false;
  }, UNHEALTHY_UNTIL_MS);
}

/**
 * Replaces a target that has crashed, as the options of the soak say.
 * @param world - The soak's platform.
 * @param crashed - The target.
 * @param replacement - How it is replaced.
 */
export async function replaceCrashedTarget(
  world: SoakWorld,
  crashed: SoakTarget,
  replacement: CrashReplacement,
): Promise<void> {
  if (replacement === 'sameId') {
    await restart(world, crashed);
    return;
  }
  if (replacement !== 'otherAddress') {
    await replaceAtSameAddress(world, crashed, replacement);
    return;
  }
  world.removeTarget(crashed);
  await world.addTarget(crashed.entry.zone);
}
