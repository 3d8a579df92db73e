/**
 * State of the store that data was read at. Revisions grow within an epoch. A store that is restored
 * from a copy begins the next epoch, in which it gives out again the revisions of the changes that
 * were lost, so revisions of different epochs cannot be compared.
 */
export interface StorePosition {
  /** Number of restores; `UNKNOWN_EPOCH` if the store or the sender of the data states none. */
  readonly epoch: number;
  readonly revision: number;
}

/** Epoch of data whose epoch is not known; it precedes all others, the first of which may be 0. */
export const UNKNOWN_EPOCH = -1;

/**
 * Compares two positions.
 * @returns A negative number if `a` is earlier than `b`, 0 if they are the same, a positive one if
 * `a` is later.
 * @example
 * comparePositions({ epoch: 2, revision: 40 }, { epoch: 1, revision: 58 }) > 0; // true
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.epoch - b.epoch || a.revision - b.revision;
}

/**
 * Whether the store has been restored from a copy between two positions. Between an unknown epoch
 * and a known one it need not have been: the sender may just not state epochs.
 * @param from - The earlier position.
 * @param to - The later position.
 */
export function isRestoredBetween(from: StorePosition, to: StorePosition): boolean {
  return from.epoch !== UNKNOWN_EPOCH && to.epoch > from.epoch;
}
