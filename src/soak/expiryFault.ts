import { putTarget, removeTarget } from '../platform/standIn/index.js';
import type { Fault } from './faults.js';
import { markDisturbed } from './faults.js';

/** Range of the outage, in milliseconds; a shorter one does not count as an outage. */
const MIN_AWAY_MS = 1_800;
const AWAY_SPREAD_MS = 1_200;

/** Time between the return of the registrations and that of the store, in milliseconds. */
const RETURN_LEAD_MS = 50;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Cuts all gateways off from the store while the registrations of all targets expire and return, so
 * that the first answer afterwards holds both.
 */
export const expireWhileAway: Fault = async ({ world, random }) => {
  const ms = MIN_AWAY_MS + random() * AWAY_SPREAD_MS;
  for (const gateway of world.gateways) markDisturbed(gateway, ms + RETURN_LEAD_MS);
  for (const link of world.storeLinks) link.setMode('reset');
  const expired = [...world.targets];
  for (const { entry } of expired) removeTarget(world.store, entry.id);
  await wait(ms);
  for (const target of expired) {
    if (world.targets.includes(target)) putTarget(world.store, target.entry);
  }
  await wait(RETURN_LEAD_MS);
  for (const link of world.storeLinks) link.setMode('sound');
};
