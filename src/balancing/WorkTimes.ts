import type { Route } from './model.js';
import { WORK_OF_OBJECTIVE } from './settings.js';

/** Weight of one answer in the moving average at the least, and while few are known at the most. */
const WEIGHT = 0.03;
const FIRST_WEIGHT = 0.2;

/**
 * The same for answers of targets that were more than half full: how much they had slowed down is
 * itself only learnt, and both would be moved by one and the same thing.
 */
const BUSY_WEIGHT = 0.01;

/** One answer changes what is known by no more than this factor either way. */
const MOST_FACTOR = 3;

interface Known {
  workMs: number;
  answers: number;
}

/** How long the work of each route's requests takes on an idle target with its usual speed. */
export class WorkTimes {
  /** By route. @internal */
  private readonly known = new Map<string, Known>();

  /**
   * @param route - Whose requests.
   * @returns Expected work, in milliseconds.
   */
  get(route: Route): number {
    return this.known.get(route.name)?.workMs ?? route.objectiveMs * WORK_OF_OBJECTIVE;
  }

  /**
   * Learns from an answer.
   * @param route - The request's route.
   * @param ratio - Time taken over time expected when it was sent.
   * @param isBusy - Whether more than half of the target's slots were filled.
   */
  note(route: Route, ratio: number, isBusy: boolean): void {
    const known = this.known.get(route.name) ?? { workMs: this.get(route), answers: 0 };
    this.known.set(route.name, known);
    known.answers += 1;
    const factor = Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, ratio));
    const weight = isBusy ? BUSY_WEIGHT : Math.max(WEIGHT, FIRST_WEIGHT / known.answers);
    known.workMs *= 1 + weight * (factor - 1);
  }
}
