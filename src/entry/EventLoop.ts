import type { Context, CoreEvent, Effect, EntryState } from '../core/index.js';
import { reduce } from '../core/index.js';

/**
 * The process's event loop: passes each event to the reducer and runs its effects in order before
 * it takes the next event. An event that is dispatched while effects run is queued, so that the
 * reducer is never re-entered.
 */
export class EventLoop {
  /** @internal */
  private readonly pending: CoreEvent[] = [];

  /** @internal */
  private isRunning = false;

  /**
   * @param state - The process's state; only the reducer changes it.
   * @param context - Clock and random source of the reducer.
   * @param runEffect - Runs one effect.
   */
  constructor(
    readonly state: EntryState,
    private readonly context: Context,
    private readonly runEffect: (effect: Effect) => void,
  ) {}

  /** Dispatches an event. Bound to the instance, so that it can be passed as a callback. */
  readonly dispatch = (event: CoreEvent): void => {
    this.pending.push(event);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      for (let next = this.pending.shift(); next !== undefined; next = this.pending.shift()) {
        for (const effect of reduce(this.state, next, this.context)) this.runEffect(effect);
      }
    } finally {
      this.isRunning = false;
    }
  };
}
