import type { Route } from './model.js';
import { WORK_OF_OBJECTIVE } from './settings.js';

/** Weight of one answer in the moving average. */
const WEIGHT = 0.05;

/** One answer changes what is known by no more than this factor either way. */
const MOST_FACTOR = 3;

/** How long the work of each route's requests takes on an idle target with its usual speed. */
export class WorkTimes {
  /** Milliseconds by route. @internal */
  private readonly known = new Map<string, number>();

  /**
   * @param route - Whose requests.
   * @returns Expected work, in milliseconds.
   */
  get(route: Route): number {
    return this.known.get(route.name) ?? route.objectiveMs * WORK_OF_OBJECTIVE;
  }

  /**
   * Learns from an answer.
   * @param route - The request's route.
   * @param ratio - Time taken over time expected when it was sent.
   */
  note(route: Route, ratio: number): void {
    const before = this.get(route);
    const factor = Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, ratio));
    this.known.set(route.name, before * (1 + WEIGHT * (factor - 1)));
  }
}
