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
 * Starts a target in the place of a crashed one, behind its link.
 * @param world - The soak's platform.
 * @param crashed - The crashed target.
 * @param knownId - Id of the new one; a new id by default.
 * @returns Undefined if a fault has removed the crashed target meanwhile.
 */
async function startBehindLink(
  world: SoakWorld,
  crashed: SoakTarget,
  knownId?: string,
): Promise<SoakTarget | undefined> {
  const { services, targets } = world;
  const { entry, link } = crashed;
  const service = services.find(({ name }) => name === entry.service) ?? services[0];
  const { id, bornAt, model } = world.createModel(entry.version, service, knownId);
  await model.start(link.targetPort);
  const index = targets.indexOf(crashed);
  if (index < 0) {
    model.crash();
    return undefined;
  }
  const started: SoakTarget = { entry: { ...entry, id, bornAt }, model, link };
  targets.splice(index, 1, started);
  return started;
}

/** Starts a target at the address of a crashed one, whose registration ends later. */
async function replaceAtSameAddress(
  world: SoakWorld,
  crashed: SoakTarget,
): Promise<SoakTarget | undefined> {
  const { store } = world;
  const started = await startBehindLink(world, crashed);
  if (started === undefined) return undefined;
  putTarget(store, started.entry);
  runLater(() => removeTarget(store, crashed.entry.id), STALE_REGISTRATION_MS);
  return started;
}

/** Ways to replace a target that has crashed. */
const REPLACEMENTS: Readonly<
  Record<CrashReplacement, (world: SoakWorld, crashed: SoakTarget) => Promise<unknown>>
> = {
  otherAddress: (world, crashed) => {
    world.removeTarget(crashed);
    return world.addTarget(crashed.entry.zone);
  },
  sameAddress: replaceAtSameAddress,
  unhealthyAtSameAddress: async (world, crashed) => {
    const started = await replaceAtSameAddress(world, crashed);
    if (started === undefined) return;
    const { model } = started;
    runLater(() => {
      model.isUnhealthy = true;
    }, UNHEALTHY_FROM_MS);
    runLater(() => {
      model.isUnhealthy = false;
    }, UNHEALTHY_UNTIL_MS);
  },
  sameId: async (world, crashed) => {
    const started = await startBehindLink(world, crashed, crashed.entry.id);
    for (const drain of world.drains) {
      if (drain.target === crashed.entry.id) drain.until ??= Date.now();
    }
    runLater(() => {
      if (started !== undefined && world.targets.includes(started)) {
        putTarget(world.store, started.entry);
      }
    }, REGISTRATION_DELAY_MS);
  },
};

/**
 * Replaces a target that has crashed.
 * @param world - The soak's platform.
 * @param crashed - The target.
 * @param replacement - How it is replaced.
 */
export async function replaceCrashedTarget(
  world: SoakWorld,
  crashed: SoakTarget,
  replacement: CrashReplacement,
): Promise<void> {
  await REPLACEMENTS[replacement](world, crashed);
}
