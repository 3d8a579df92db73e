import { ODD_ENTRY_NAMES, putOddEntry } from '../platform/standIn/index.js';
import type { Fault } from './faults.js';
import { SERVICE } from './soakRoutes.js';

/** Range of the time between two entries, in milliseconds. */
const MIN_GAP_MS = 50;
const MAX_GAP_MS = 350;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Leaves entries that no target wrote beside those of the targets, one after another in any order. */
export const leaveOddEntries: Fault = async ({ world, random }) => {
  const order = ODD_ENTRY_NAMES.map((name) => ({ name, rank: random() })).sort(
    (a, b) => a.rank - b.rank,
  );
  for (const { name } of order) {
    putOddEntry(world.store, name, SERVICE);
    await wait(MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS));
  }
};
