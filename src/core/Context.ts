/** The only outside inputs of a handler besides its event: current time and random numbers. */
export interface Context {
  /** Monotonic milliseconds of this process; never decreases, and advances while it is paused. */
  readonly now: number;
  /** Random number, uniform in [0, 1). */
  random(): number;
}
