import type {
  BalancerContext,
  BalancerEffect,
  BalancerEvent,
  BalancerState,
} from '../balancing/index.js';
import { reduceBalancer } from '../balancing/index.js';
import type { RequestId } from '../core/model/index.js';

/** Performs one effect of the reducer. */
export type EffectRunner = (effect: BalancerEffect) => void;

/** Called with what failed. They must not throw. */
export interface FaultHandlers {
  /** An effect threw; the other effects of its event are performed. */
  onEffectFailed(effect: BalancerEffect, error: Error): void;
  /**
   * The reducer threw, so that the effects of the event are lost.
   * @param request - Request that the event was about; undefined if it was about no single one.
   */
  onEventFailed(event: BalancerEvent, request: RequestId | undefined, error: Error): void;
}

/** Returns the request that an event is about, as long as the state knows it. */
function findRequest(state: BalancerState, event: BalancerEvent): RequestId | undefined {
  if ('request' in event) return event.request;
  if (event.kind === 'attemptEnded') return state.pendingAttempts.get(event.attempt)?.request;
  if (event.kind === 'forwardEnded') return state.forwards.get(event.attempt)?.id;
  return undefined;
}

/**
 * Event loop around the balancer's reducer: passes events to it one at a time and performs all
 * effects of one event before the next event is handled. What throws leaves other events and effects
 * alone, as they belong to other requests.
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
   * @param faults - Handle what throws.
   */
  constructor(
    private readonly state: BalancerState,
    private readonly context: BalancerContext,
    private readonly runEffect: EffectRunner,
    private readonly faults: FaultHandlers,
  ) {}

  /** Handles an event. An event dispatched while another is being handled is queued behind it. */
  readonly dispatch = (event: BalancerEvent): void => {
    this.queue.push(event);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        for (const effect of this.reduce(next)) this.tryRunEffect(effect);
      }
    } finally {
      this.isRunning = false;
    }
  };

  /** @internal */
  private reduce(event: BalancerEvent): readonly BalancerEffect[] {
    const request = findRequest(this.state, event);
    try {
      return reduceBalancer(this.state, event, this.context);
    } catch (err) {
      this.faults.onEventFailed(event, request, err as Error);
      return [];
    }
  }

  /** @internal */
  private tryRunEffect(effect: BalancerEffect): void {
    try {
      this.runEffect(effect);
    } catch (err) {
      this.faults.onEffectFailed(effect, err as Error);
    }
  }
}
