/** Latest starts that differ by less count as equal, so that organisations take turns, in ms. */
const START_STEP_MS = 100;

/** A request that waits for a slot. */
export interface WaitingRequest {
  /** Order of urgency, by `combinePriorities`. */
  readonly urgency: number;
  /** Latest start that meets the objective; monotonic milliseconds. */
  readonly latestStartAt: number;
  /** Requests of its organisation that were sent lately, with decay. */
  readonly sentByOrganisation: number;
}

/**
 * Compares requests that wait at one VM for slots of the same service: by priority; those that can
 * still be in time first; the latest possible start first, as the newest request is the most likely
 * to be in time; then the organisation that has sent less.
 * @param now - Monotonic milliseconds.
 */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest, now: number): number {
  const isLateA = Number(a.latestStartAt < now);
  const isLateB = Number(b.latestStartAt < now);
  const stepA = Math.floor(a.latestStartAt / START_STEP_MS);
  const stepB = Math.floor(b.latestStartAt / START_STEP_MS);
  return (
    isLateA - isLateB ||
    a.urgency - b.urgency ||
    stepB - stepA ||
    a.sentByOrganisation - b.sentByOrganisation ||
    b.latestStartAt - a.latestStartAt
  );
}
