/** Time after which an arrival counts half, in milliseconds. A VM sees a few requests a second. */
const HALF_LIFE_MS = 30_000;

/** Requests of each route that the first estimate counts for; few, as routes are used unequally. */
const PRIOR_REQUESTS = 0.6;

/** What is known of a route before its requests arrive. */
export interface RouteWork {
  readonly priority: number;
  /** Work time of its requests, in milliseconds. */
  readonly workMs: number;
}

/**
 * Estimates which share of a service's work the routes of each priority have, from the requests that
 * arrive at this VM. Responds to the mix of arriving requests, not to their number. Routes that nobody
 * uses soon have no share, whatever their priority is.
 */
export class WorkShares {
  /** Decayed work by priority, in milliseconds, as of `updatedAt`. @internal */
  private readonly workByPriority = new Map<number, number>();

  /** @internal */
  private updatedAt: number;

  /**
   * @param now - Monotonic milliseconds.
   * @param routes - Priority and work time of the service's routes, for the estimate before requests
   * arrive.
   */
  constructor(now: number, routes: readonly RouteWork[] = []) {
    this.updatedAt = now;
    for (const { priority, workMs } of routes) {
      const before = this.workByPriority.get(priority) ?? 0;
      this.workByPriority.set(priority, before + workMs * PRIOR_REQUESTS);
    }
  }

  /**
   * Counts a request that has arrived.
   * @param priority - Priority of its route.
   * @param workMs - Its estimated work time, in milliseconds.
   * @param now - Monotonic milliseconds.
   */
  recordArrival(priority: number, workMs: number, now: number): void {
    const decay = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    for (const [each, work] of this.workByPriority) this.workByPriority.set(each, work * decay);
    this.workByPriority.set(priority, (this.workByPriority.get(priority) ?? 0) + workMs);
  }

  /**
   * Returns the share of the work that is more urgent than a priority, from 0 to 1.
   * @param priority - The priority.
   */
  getMoreUrgentShare(priority: number): number {
    return this.getShare((each) => each < priority);
  }

  /**
   * Returns the share of the work that is less urgent than a priority, from 0 to 1.
   * @param priority - The priority.
   */
  getLessUrgentShare(priority: number): number {
    return this.getShare((each) => each > priority);
  }

  /** @internal */
  private getShare(isCounted: (priority: number) => boolean): number {
    let total = 0;
    let counted = 0;
    for (const [priority, workMs] of this.workByPriority) {
      total += workMs;
      if (isCounted(priority)) counted += workMs;
    }
    return total > 0 ? counted / total : 0;
  }
}
