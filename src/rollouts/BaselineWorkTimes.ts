/** Number of latest answers of a route that its work time is the median of. */
const MAX_ANSWERS = 16;

/** Minimum number of answers of a route before its work time is used. */
const MIN_ANSWERS = 3;

/**
 * Work time of each route by the latest answers of old targets.
 *
 * It is known after a few answers, while the estimate that requests are placed by takes dozens of
 * them to come down from its initial value; until then a slow version would look as fast as
 * expected.
 */
export class BaselineWorkTimes {
  /** Work times implied by the latest answers in milliseconds, by name of the route. @internal */
  private readonly byRoute = new Map<string, number[]>();

  /**
   * Adds an answer of an old target.
   * @param route - Name of the route.
   * @param workMs - Work time that the answer implies, in milliseconds.
   */
  add(route: string, workMs: number): void {
    const latest = [...(this.byRoute.get(route) ?? []), workMs];
    this.byRoute.set(route, latest.slice(-MAX_ANSWERS));
  }

  /**
   * Returns the median work time of a route, in milliseconds; undefined before enough answers.
   * @param route - Name of the route.
   * @example
   * baseline.get('lookup'); // 25
   */
  get(route: string): number | undefined {
    const latest = this.byRoute.get(route) ?? [];
    if (latest.length < MIN_ANSWERS) return undefined;
    return latest.toSorted((a, b) => a - b)[Math.floor(latest.length / 2)];
  }
}
