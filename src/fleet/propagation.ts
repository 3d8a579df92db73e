/** Times of the stages by which a change of the store reaches all entry VMs, in milliseconds. */
export interface PropagationTimes {
  /** How long a watch of configuration or targets waits for a change. */
  readonly watchWaitMs: number;
  /** Data older than this is stale, and a more recent source is looked for. */
  readonly staleMs: number;
  /**
   * Added to `staleMs` for each VM between the source and a watcher. When a watcher is lost, its
   * direct followers find another source in this time, and the VMs below them keep theirs.
   */
  readonly stalePerHopMs: number;
  /** Interval of the checks of the source. */
  readonly checkMs: number;
  /** Time in which a new source has to deliver fresh data before the store is asked directly. */
  readonly sourceGraceMs: number;
  /** Time for reading configuration and targets from the store, or from a new source. */
  readonly readMs: number;
}

/** Shares of the bound. Also a slow store answers a watch well before data counts as stale. */
const SHARES: Readonly<Record<keyof PropagationTimes, number>> = {
  watchWaitMs: 0.375,
  staleMs: 0.6,
  stalePerHopMs: 0.065,
  checkMs: 0.05,
  sourceGraceMs: 0.15,
  readMs: 0.05,
};

/** Of longer bounds only this much is used, so that a lost source is noticed early, in milliseconds. */
const MAX_USED_BOUND_MS = 4_000;

/** Most VMs between a source and a watcher, in fleets of up to some hundred VMs. */
export const MAX_HOPS = 3;

/**
 * Longest time that a change takes to a VM that is up and reaches the store, in milliseconds.
 *
 * A VM next to the watchers may lose its source just as the change is made, find that the next
 * source is stale as well, and read the store. A VM further down only has to change its source:
 * either the VM above it gets the change in the first way, or another VM has it.
 * @param times - Times of the stages.
 * @param hops - Number of VMs between the VM's source and a watcher.
 */
export function getLongestPropagationMs(
  { staleMs, stalePerHopMs, checkMs, sourceGraceMs, readMs }: PropagationTimes,
  hops: number,
): number {
  const nextToWatchers = staleMs + checkMs + sourceGraceMs + checkMs + readMs;
  const furtherDown = staleMs + hops * stalePerHopMs + checkMs + readMs;
  return Math.max(nextToWatchers, furtherDown);
}

/**
 * Divides the time in which changes have to be in force among the stages by which they get there.
 * @param boundMs - Shortest time that the deployment allows for any change, in milliseconds.
 * @throws RangeError if the stages together take longer than the bound.
 * @example
 * dividePropagation(2_000).staleMs; // 1200
 */
export function dividePropagation(boundMs: number): PropagationTimes {
  const usedMs = Math.min(MAX_USED_BOUND_MS, boundMs);
  const times = Object.fromEntries(
    Object.entries(SHARES).map(([stage, share]) => [stage, Math.round(usedMs * share)]),
  ) as unknown as PropagationTimes;
  const longestMs = getLongestPropagationMs(times, MAX_HOPS);
  if (longestMs > boundMs) {
    throw new RangeError(`changes take up to ${longestMs} ms, and ${boundMs} ms are allowed`);
  }
  return times;
}
