/** Maximum number of distinct timeouts counted for one route; callers of one kind use few. */
const MAX_DISTINCT_TIMEOUTS = 16;

/** Counts are halved above this many requests, so that a change of the callers shows soon. */
const HALVE_AT_COUNT = 200;

/** Timeouts are counted in steps of this size, in milliseconds. */
const TIMEOUT_STEP_MS = 10;

/**
 * A first request may allow up to this share less than the most common timeout of its route. Many
 * callers allow somewhat less than the others; the value leaves some margin.
 */
export const FIRST_TIMEOUT_TOLERANCE = 0.18;

/**
 * Estimates whether a request is a caller's first try, from the timeouts that callers of its route
 * allow.
 *
 * A caller that retries after a refusal allows only the time it has left, so a request that allows
 * far less than is common on its route is a retry. Callers measure their objective from their first
 * try. Without this estimate, requests that are late already would take the place of others that
 * are not. A caller that allows only a little less is on its first try: if it were taken for late,
 * a third of all requests would wait behind the others and be refused.
 */
export class CallerTimes {
  /** Number of requests by route and timeout step. @internal */
  private readonly countsByRoute = new Map<string, Map<number, number>>();

  /**
   * Counts a request and returns the estimated time since its caller's first try.
   * @param route - Name of the route.
   * @param allowedMs - Timeout of the caller, in milliseconds.
   * @returns Milliseconds; 0 if the caller allows as much time as on a first try.
   */
  recordTimeout(route: string, allowedMs: number): number {
    const counts = this.countsByRoute.get(route) ?? new Map<number, number>();
    this.countsByRoute.set(route, counts);
    const timeoutStep = Math.round(allowedMs / TIMEOUT_STEP_MS);
    counts.set(timeoutStep, (counts.get(timeoutStep) ?? 0) + 1);
    let usualStep = timeoutStep;
    let maxCount = 0;
    let total = 0;
    for (const [otherStep, count] of counts) {
      total += count;
      if (count > maxCount) {
        usualStep = otherStep;
        maxCount = count;
      }
    }
    if (total > HALVE_AT_COUNT || counts.size > MAX_DISTINCT_TIMEOUTS) this.halveCounts(counts);
    if (timeoutStep >= usualStep * (1 - FIRST_TIMEOUT_TOLERANCE)) return 0;
    return (usualStep - timeoutStep) * TIMEOUT_STEP_MS;
  }

  /** @internal */
  private halveCounts(counts: Map<number, number>): void {
    for (const [step, count] of counts) {
      if (count < 2) counts.delete(step);
      else counts.set(step, count / 2);
    }
  }
}
