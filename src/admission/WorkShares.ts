/** Time after which an arrival counts half, in milliseconds. A VM sees a few requests a second. */
const HALF_LIFE_MS = 30_000;

/**
 * Estimates which share of a service's work each urgency has, from the requests that arrive at this
 * VM. Responds to the mix of arriving requests, not to their number. Routes that nobody uses have no
 * share, whatever their priority is.
 */
export class WorkShares {
  /** Decayed work by urgency, in milliseconds, as of `updatedAt`. @internal */
  private readonly workByUrgency = new Map<number, number>();

  /** @internal */
  private updatedAt: number;

  /** @param now - Monotonic milliseconds. */
  constructor(now: number) {
    this.updatedAt = now;
  }

  /**
   * Counts a request that has arrived.
   * @param urgency - Its urgency, by `combinePriorities`.
   * @param workMs - Its estimated work time, in milliseconds.
   * @param now - Monotonic milliseconds.
   */
  recordArrival(urgency: number, workMs: number, now: number): void {
    const decay = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    for (const [each, work] of this.workByUrgency) this.workByUrgency.set(each, work * decay);
    this.workByUrgency.set(urgency, (this.workByUrgency.get(urgency) ?? 0) + workMs);
  }

  /**
   * Returns the share of the work that is more urgent than an urgency, from 0 to 1.
   * @param urgency - The urgency.
   */
  getMoreUrgentShare(urgency: number): number {
    return this.getShare((each) => each < urgency);
  }

  /**
   * Returns the share of the work that is less urgent than an urgency, from 0 to 1.
   * @param urgency - The urgency.
   */
  getLessUrgentShare(urgency: number): number {
    return this.getShare((each) => each > urgency);
  }

  /** @internal */
  private getShare(isCounted: (urgency: number) => boolean): number {
    let total = 0;
    let counted = 0;
    for (const [urgency, workMs] of this.workByUrgency) {
      total += workMs;
      if (isCounted(urgency)) counted += workMs;
    }
    return total > 0 ? counted / total : 0;
  }
}
