/** Cancels a scheduled call; does nothing if the call has already been made. */
export type CancelTimer = () => void;

/** Source of time and timers: the system clock, or a virtual clock in tests. */
export interface Clock {
  /** Current time in monotonic milliseconds. */
  now(): number;
  /**
   * Calls `action` once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param action - Function to call.
   * @returns Cancels the call.
   */
  after(delayMs: number, action: () => void): CancelTimer;
}
