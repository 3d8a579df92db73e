/** Time after which an arrival counts half, in milliseconds. A VM sees a few requests a second. */
const HALF_LIFE_MS = 30_000;

/** Number of requests of each route that the initial estimate counts for. */
const PRIOR_REQUESTS = 4;

/**
 * Estimates which share of a service's work each priority has, from the requests that arrive at this
 * VM. Responds to the mix of arriving requests, not to their number.
 */
export class WorkShares {
  /** Decayed work by rank, in milliseconds, as of `updatedAt`. @internal */
  private readonly workByRank: number[];

  /** @internal */
  private updatedAt: number;

  /**
   * @param initialWorkMs - Work time of the routes of each rank, which holds until requests arrive.
   * @param now - Monotonic milliseconds.
   */
  constructor(initialWorkMs: readonly number[], now: number) {
    this.workByRank = initialWorkMs.map((workMs) => workMs * PRIOR_REQUESTS);
    this.updatedAt = now;
  }

  /**
   * Counts a request that has arrived.
   * @param rank - Its rank.
   * @param workMs - Its estimated work time, in milliseconds.
   * @param now - Monotonic milliseconds.
   */
  recordArrival(rank: number, workMs: number, now: number): void {
    const decay = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    for (let i = 0; i < this.workByRank.length; i++) this.workByRank[i] *= decay;
    this.workByRank[rank] += workMs;
  }

  /**
   * Returns the share of the work that is more urgent than a rank, from 0 to 1.
   * @param rank - The rank.
   */
  getMoreUrgentShare(rank: number): number {
    let total = 0;
    let moreUrgent = 0;
    this.workByRank.forEach((workMs, i) => {
      total += workMs;
      if (i < rank) moreUrgent += workMs;
    });
    return total > 0 ? moreUrgent / total : 0;
  }
}
