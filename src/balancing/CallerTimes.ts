/** Times that are counted for one route; callers of one kind allow few different ones. */
const MOST_TIMES = 16;

/** From this many requests on, counts are halved, so that a change of callers shows soon. */
const HALVE_AT = 200;

/** Times are told apart by so much, in milliseconds. */
const STEP_MS = 10;

/**
 * Part by which callers that ask for the first time allow less than is usual, at the most, with some
 * room: many of them allow somewhat less than the others on their route.
 */
export const FIRST_TIMES_SPREAD = 0.18;

/**
 * What time callers allow when they ask for the first time.
 *
 * A caller that comes back after a refusal allows what is left to it, so that a request which allows
 * far less than is usual on its route was asked for before. Callers count their objective from the
 * first time; without this, requests that are late already would take the place of those that are not.
 * Who allows just a little less has not asked before: taken for late, a third of all requests would
 * wait behind the others and be refused.
 */
export class CallerTimes {
  /** Requests by route and allowed time. @internal */
  private readonly routes = new Map<string, Map<number, number>>();

  /**
   * Counts a request, and tells how long ago its caller asked first.
   * @param route - Name of its route.
   * @param allowedMs - Time that its caller allows, in milliseconds.
   * @returns Milliseconds; 0 if it allows as much as callers do that ask for the first time.
   */
  note(route: string, allowedMs: number): number {
    const counts = this.routes.get(route) ?? new Map<number, number>();
    this.routes.set(route, counts);
    const step = Math.round(allowedMs / STEP_MS);
    counts.set(step, (counts.get(step) ?? 0) + 1);
    let usual = step;
    let most = 0;
    let total = 0;
    for (const [each, count] of counts) {
      total += count;
      if (count > most) {
        usual = each;
        most = count;
      }
    }
    if (total > HALVE_AT || counts.size > MOST_TIMES) this.halve(counts);
    if (step >= usual * (1 - FIRST_TIMES_SPREAD)) return 0;
    return (usual - step) * STEP_MS;
  }

  /** @internal */
  private halve(counts: Map<number, number>): void {
    for (const [step, count] of counts) {
      if (count < 2) counts.delete(step);
      else counts.set(step, count / 2);
    }
  }
}
