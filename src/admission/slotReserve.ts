/**
 * Slots kept free are this many times the mean number that more urgent work occupies. At a multiple
 * of 1 a target that is being used by an urgent request has no slot left for the next one.
 */
const RESERVE_FACTOR = 3;

/**
 * Minimum mean number of slots kept free where any work is more urgent. At a steady overload of 1.3,
 * the urgent route earns 0.93 of its worth with 0.5 and 0.89 with 0.25, all routes 0.88 with both.
 */
const MIN_RESERVED_SLOTS = 0.5;

/**
 * Longest that a less urgent request may occupy a slot, as a multiple of its work time. Work that
 * starts in a slow spell keeps its slot long after the spell has ended, and soon all slots are held
 * by such work: with a patient route at 2.5 times its usual rate, all routes earn 0.77 of their worth
 * without this rule and 0.99 with it.
 */
const MAX_SLOT_TIME_FACTOR = 1.6;

/** Number of distinct values of the hash by which targets are told apart. */
const HASH_RANGE = 2 ** 32;

/** Odd multiplier that spreads hashes of similar names (golden ratio of 2^32). */
const HASH_MULTIPLIER = 0x9e3779b1;

/**
 * Returns the mean number of slots of each target that are kept free for more urgent requests.
 * @param moreUrgentShare - Share of the service's work that is more urgent, from 0 to 1.
 * @param bestOccupancy - Slots that a target fills without slowing down.
 * @param level - Additional slots that the service's pressure calls for.
 */
export function getReservedSlots(
  moreUrgentShare: number,
  bestOccupancy: number,
  level: number,
): number {
  return Math.max(MIN_RESERVED_SLOTS, moreUrgentShare * bestOccupancy * RESERVE_FACTOR) + level;
}

/**
 * Whether a less urgent request may take a slot of a target, by the load that the target reports.
 *
 * All VMs read the same report, so they agree without messages. A mean of 0.3 slots means that three
 * of ten targets keep one slot free; which ones follows from their ids, the same at all VMs.
 * @param occupied - Occupied slots, including the one of this request.
 * @param bestOccupancy - Slots that the target fills without slowing down.
 * @param reserved - Mean number of slots kept free.
 * @param idHash - Hash of the target's id.
 * @example
 * const isAllowed = isOutsideReserve(3, 3, 0.3, record.idHash);
 */
export function isOutsideReserve(
  occupied: number,
  bestOccupancy: number,
  reserved: number,
  idHash: number,
): boolean {
  if (reserved <= 0) return true;
  const position = (Math.imul(idHash, HASH_MULTIPLIER) >>> 0) / HASH_RANGE;
  return occupied <= bestOccupancy - Math.floor(reserved + position);
}

/**
 * Whether a less urgent request would hold a slot for much longer than on a target at normal speed.
 * @param expectedMs - Expected time to the answer, in milliseconds.
 * @param workMs - Estimated work time of the request, in milliseconds.
 */
export function wouldHoldSlotLong(expectedMs: number, workMs: number): boolean {
  return expectedMs > workMs * MAX_SLOT_TIME_FACTOR;
}
