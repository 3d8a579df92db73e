import type { RequestId } from '../core/model/index.js';
import type { CancelTimer, Clock } from '../timing/index.js';

/** Timers for requests, at most one per request. */
export class RequestTimers {
  /** @internal */
  private readonly cancelTimers = new Map<RequestId, CancelTimer>();

  /**
   * @param clock - Clock that runs the timers.
   * @param onDue - Called when a request's timer fires.
   */
  constructor(
    private readonly clock: Clock,
    private readonly onDue: (request: RequestId) => void,
  ) {}

  /**
   * Starts the timer of a request, replacing the one it had.
   * @param request - The request.
   * @param at - When the timer fires, in monotonic milliseconds; at once if that is in the past.
   */
  set(request: RequestId, at: number): void {
    this.cancel(request);
    const delayMs = Math.max(0, at - this.clock.now());
    const cancel = this.clock.after(delayMs, () => {
      this.cancelTimers.delete(request);
      this.onDue(request);
    });
    this.cancelTimers.set(request, cancel);
  }

  /** Whether a request has a timer. */
  has(request: RequestId): boolean {
    return this.cancelTimers.has(request);
  }

  /**
   * Cancels the timer of a request, if it has one.
   * @param request - The request.
   */
  cancel(request: RequestId): void {
    this.cancelTimers.get(request)?.();
    this.cancelTimers.delete(request);
  }

  /** Cancels all timers. */
  stop(): void {
    for (const cancel of this.cancelTimers.values()) cancel();
    this.cancelTimers.clear();
  }
}
