import type {
  BalancerContext,
  BalancerEffect,
  BalancerEvent,
  BalancerState,
} from '../balancing/index.js';
import { reduceBalancer } from '../balancing/index.js';

/** Performs one effect of the reducer. */
export type EffectRunner = (effect: BalancerEffect) => void;

/**
 * Event loop around the balancer's reducer: passes events to it one at a time and performs all
 * effects of one event before the next event is handled.
 */
export class BalancerLoop {
  /** @internal */
  private readonly queue: BalancerEvent[] = [];

  /** @internal */
  private isRunning = false;

  /**
   * @param state - The balancer's state, which the reducer updates in place.
   * @param context - Current time and random numbers.
   * @param runEffect - Performs one effect.
   */
  constructor(
    private readonly state: BalancerState,
    private readonly context: BalancerContext,
    private readonly runEffect: EffectRunner,
  ) {}

  /** Handles an event. An event dispatched while another is being handled is queued behind it. */
  readonly dispatch = (event: BalancerEvent): void => {
    this.queue.push(event);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        for (const effect of reduceBalancer(this.state, next, this.context)) this.runEffect(effect);
      }
    } finally {
      this.isRunning = false;
    }
  };
}
