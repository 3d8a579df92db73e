import type { RequestId } from '../core/model/index.js';
import type { CancelTimer, Clock } from '../timing/index.js';

/** Times at which requests are to be looked at again, one a request. */
export class Wakes {
  /** @internal */
  private readonly cancels = new Map<RequestId, CancelTimer>();

  /**
   * @param clock - Time to go by.
   * @param onDue - Told when a request's time has come.
   */
  constructor(
    private readonly clock: Clock,
    private readonly onDue: (request: RequestId) => void,
  ) {}

  /**
   * Sets a request's time in place of the one that it had.
   * @param request - The request.
   * @param at - Monotonic milliseconds.
   */
  set(request: RequestId, at: number): void {
    this.cancel(request);
    const delayMs = Math.max(0, at - this.clock.now());
    const cancel = this.clock.after(delayMs, () => {
      this.cancels.delete(request);
      this.onDue(request);
    });
    this.cancels.set(request, cancel);
  }

  /**
   * Forgets a request's time.
   * @param request - The request.
   */
  cancel(request: RequestId): void {
    this.cancels.get(request)?.();
    this.cancels.delete(request);
  }

  /** Forgets all. */
  stop(): void {
    for (const cancel of this.cancels.values()) cancel();
    this.cancels.clear();
  }
}
