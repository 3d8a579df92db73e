import type { Route } from './model.js';
import { INITIAL_WORK_SHARE } from './settings.js';

/** Weight of one answer in the moving average: the minimum, and the weight of the first answer. */
const MIN_WEIGHT = 0.03;
const INITIAL_WEIGHT = 0.2;

/**
 * Weight of an answer from a target that was more than half full. It is lower since the slowdown of
 * such targets is itself an estimate, and the same deviation would otherwise change both.
 */
const BUSY_WEIGHT = 0.01;

/** Ratio of observed to expected time, either way, beyond which answers are clipped. */
const MAX_RATIO = 3;

interface RouteWorkTime {
  workMs: number;
  answers: number;
}

/**
 * Estimates the work time of each route: how long one request takes on an idle target at normal
 * speed.
 */
export class WorkTimes {
  /** Estimates by name of the route. @internal */
  private readonly byRoute = new Map<string, RouteWorkTime>();

  /**
   * Returns the estimated work time, in milliseconds; before the first answer a share of the
   * objective.
   * @param route - The route.
   */
  get(route: Route): number {
    return this.byRoute.get(route.name)?.workMs ?? route.objectiveMs * INITIAL_WORK_SHARE;
  }

  /**
   * Learns from an answer.
   * @param route - The request's route.
   * @param ratio - Observed time as a multiple of the time expected when the request was sent.
   * @param isBusy - Whether more than half of the target's slots were occupied.
   */
  add(route: Route, ratio: number, isBusy: boolean): void {
    const entry = this.byRoute.get(route.name) ?? { workMs: this.get(route), answers: 0 };
    this.byRoute.set(route.name, entry);
    entry.answers += 1;
    const boundedRatio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    const weight = isBusy ? BUSY_WEIGHT : Math.max(MIN_WEIGHT, INITIAL_WEIGHT / entry.answers);
    entry.workMs *= 1 + weight * (boundedRatio - 1);
  }
}
