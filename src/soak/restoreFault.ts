import type { Fault } from './faults.js';
import { FAULTS, markDisturbed, SETTLE_MS } from './faults.js';

/** Writes of no consequence that the copy lacks; they only raise the revision. */
const LOST_WRITES = 60;

/** Age of the copy, in milliseconds. */
const MIN_COPY_AGE_MS = 1_000;
const MAX_COPY_AGE_MS = 4_000;

/** Times for which the store is unreachable before it comes back, in milliseconds. */
const AWAY_MS: readonly number[] = [0, 60, 500, 3_000];

/** Time until operators and targets make the lost changes again, in milliseconds. */
const MAX_REWRITE_DELAY_MS = 1_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Restores the store from a copy, at times with its lost revisions given out again. Operators and
 * targets make their lost changes again, and later changes have to be in force in time.
 */
export const restoreStore: Fault = async (context) => {
  const { world, random } = context;
  const { store } = world;
  const copy = store.copy();
  for (let i = 0; i < LOST_WRITES; i++) store.put('others', 'any', { i });
  await wait(MIN_COPY_AGE_MS + random() * (MAX_COPY_AGE_MS - MIN_COPY_AGE_MS));
  const awayMs = AWAY_MS[Math.floor(random() * AWAY_MS.length)];
  const rewriteDelayMs = random() * MAX_REWRITE_DELAY_MS;
  const hasReusedRevisions = random() < 0.5;
  for (const gateway of world.gateways) markDisturbed(gateway, awayMs + rewriteDelayMs);
  const lostChanges = store.getChangesSince(copy);
  if (awayMs > 0) store.setAway(true);
  store.restore(copy);
  if (hasReusedRevisions) for (let i = 0; i < LOST_WRITES; i++) store.put('others', 'any', { i });
  await wait(awayMs);
  store.setAway(false);
  await wait(rewriteDelayMs);
  for (const writeAgain of lostChanges) writeAgain();
  await wait(SETTLE_MS);
  await Promise.all([FAULTS.configurationChanges(context), FAULTS.targetDrains(context)]);
};
