import type { CancelTimer, Clock } from './Clock.js';

interface Subscription {
  readonly periodMs: number;
  readonly action: () => void;
  dueAt: number;
}

/** Clocks that count whole milliseconds may fire up to one millisecond too early. */
const EARLY_FIRE_TOLERANCE_MS = 1;

/**
 * Calls its subscribers periodically until it is stopped. All subscriptions share one timer of the
 * clock, because waking the process usually costs more than the work that is then due.
 */
export class TimerService {
  /** @internal */
  private readonly subscriptions: Subscription[] = [];

  /** @internal */
  private cancel: CancelTimer | undefined;

  /** @internal */
  private isStopped = false;

  /**
   * @param clock - Clock that runs the timer.
   * @param getMinIntervalMs - Minimum time between two wake-ups, in milliseconds. Calls that fall
   *   due in between are made together, late by at most that time.
   */
  constructor(
    private readonly clock: Clock,
    private readonly getMinIntervalMs: () => number = () => 0,
  ) {}

  /**
   * Calls `action` every `periodMs` from now on. Missed calls are not made up for.
   * @param periodMs - Milliseconds from one call to the next, counted from when a call is made.
   * @param action - Function to call.
   * @example
   * timers.subscribe(200, () => dispatch({ kind: 'jobDue', job: 'heartbeat' }));
   */
  subscribe(periodMs: number, action: () => void): void {
    if (this.isStopped) return;
    this.subscriptions.push({ periodMs, action, dueAt: this.clock.now() + periodMs });
    this.scheduleNext();
  }

  /** Cancels all subscriptions; no further ones are accepted. */
  stop(): void {
    this.isStopped = true;
    this.cancel?.();
    this.subscriptions.length = 0;
  }

  /** @internal */
  private scheduleNext(): void {
    this.cancel?.();
    if (this.isStopped || this.subscriptions.length === 0) return;
    const earliest = Math.min(...this.subscriptions.map(({ dueAt }) => dueAt));
    const delayMs = Math.max(earliest - this.clock.now(), this.getMinIntervalMs());
    this.cancel = this.clock.after(delayMs, () => this.runDue());
  }

  /** @internal */
  private runDue(): void {
    const now = this.clock.now();
    try {
      for (const subscription of [...this.subscriptions]) {
        if (this.isStopped || subscription.dueAt > now + EARLY_FIRE_TOLERANCE_MS) continue;
        subscription.dueAt = this.clock.now() + subscription.periodMs;
        subscription.action();
      }
    } finally {
      this.scheduleNext();
    }
  }
}
