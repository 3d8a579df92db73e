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

/** Multiple of the more urgent share that the minimum is limited to, so that rare work keeps little. */
const MIN_RESERVE_FACTOR = 20;

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

/** Share of the slots that less urgent requests keep, whatever more urgent ones arrive. */
const GUARANTEED_SHARE = 0.05;

/** Less urgent requests keep at most this part of their share of the work. */
const GUARANTEED_PART = 0.5;

/**
 * Returns the mean number of slots of each target that are kept free for more urgent requests.
 * @param moreUrgentShare - Share of the service's work that is more urgent, from 0 to 1.
 * @param bestOccupancy - Slots that a target fills without slowing down.
 */
export function getReservedSlots(moreUrgentShare: number, bestOccupancy: number): number {
  const minimum = Math.min(MIN_RESERVED_SLOTS, moreUrgentShare * MIN_RESERVE_FACTOR);
  return Math.max(minimum, moreUrgentShare * bestOccupancy * RESERVE_FACTOR);
}

/**
 * Returns the mean number of slots of each target that more urgent requests leave to less urgent
 * ones. A target with a single useful slot leaves none.
 * @param lessUrgentShare - Share of the service's work that is less urgent, from 0 to 1.
 * @param bestOccupancy - Slots that a target fills without slowing down.
 */
export function getGuaranteedSlots(lessUrgentShare: number, bestOccupancy: number): number {
  if (bestOccupancy < 2) return 0;
  return bestOccupancy * Math.min(GUARANTEED_SHARE, lessUrgentShare * GUARANTEED_PART);
}

/** Place of a target among those of its service, from 0 to 1; the same at all VMs. */
function getPosition(idHash: number): number {
  return (Math.imul(idHash, HASH_MULTIPLIER) >>> 0) / HASH_RANGE;
}

/** A slot that a request would take, and what is kept free for others. */
export interface SlotTerms {
  /** Occupied slots, including the one of this request. */
  readonly occupied: number;
  /** Slots that the target fills without slowing down. */
  readonly bestOccupancy: number;
  /** Mean number of slots of each target kept free for more urgent requests. */
  readonly reserved: number;
  /** Mean number of slots of each target left to less urgent requests. */
  readonly guaranteed: number;
  /** Hash of the target's id. */
  readonly idHash: number;
}

/**
 * Whether a request may take a slot of a target, by the load that the target reports. Responds to
 * the target's occupied slots at this moment.
 *
 * All VMs read the same report, so they agree without messages. A mean of 0.3 slots means that three
 * of ten targets keep one slot free; which ones follows from their ids, the same at all VMs. The
 * first slot of a target is open to all.
 * @param terms - Load of the target and what is kept free.
 * @example
 * const isOpen = isSlotOpen({ occupied: 3, bestOccupancy: 3, reserved: 0.3, guaranteed: 0, idHash });
 */
export function isSlotOpen({
  occupied,
  bestOccupancy,
  reserved,
  guaranteed,
  idHash,
}: SlotTerms): boolean {
  const position = getPosition(idHash);
  const keptForMoreUrgent = reserved > 0 ? Math.floor(reserved + position) : 0;
  const keptForLessUrgent = position < guaranteed ? 1 : 0;
  const kept = Math.max(keptForMoreUrgent, keptForLessUrgent);
  return kept === 0 || occupied <= Math.max(1, bestOccupancy - kept);
}

/**
 * Whether a less urgent request would hold a slot for much longer than on a target at normal speed.
 * @param expectedMs - Expected time to the answer, in milliseconds.
 * @param workMs - Estimated work time of the request, in milliseconds.
 */
export function wouldHoldSlotLong(expectedMs: number, workMs: number): boolean {
  return expectedMs > workMs * MAX_SLOT_TIME_FACTOR;
}
