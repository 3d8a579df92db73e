import type {
  BalancerContext,
  BalancerEffect,
  BalancerEvent,
  BalancerState,
} from '../balancing/index.js';
import { reduceBalancer } from '../balancing/index.js';

/** Carries out one effect. */
export type EffectRunner = (effect: BalancerEffect) => void;

/** Takes events one at a time, and carries out what the reducer says before the next one. */
export class BalancerLoop {
  /** @internal */
  private readonly events: BalancerEvent[] = [];

  /** @internal */
  private isRunning = false;

  /**
   * @param state - What this entry VM knows.
   * @param context - Time and chance.
   * @param run - Carries out one effect.
   */
  constructor(
    private readonly state: BalancerState,
    private readonly context: BalancerContext,
    private readonly run: EffectRunner,
  ) {}

  /** Takes an event; one that comes while another is handled waits for its turn. */
  readonly dispatch = (event: BalancerEvent): void => {
    this.events.push(event);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
        for (const effect of reduceBalancer(this.state, next, this.context)) this.run(effect);
      }
    } finally {
      this.isRunning = false;
    }
  };
}
