/**
 * Part of the time until the latest useful start after which callers return, the more
 * urgent ones sooner, each spread over a range of its own.
 */
const FIRST_RETURN_SHARES = { min: 0.1, max: 0.4 };
const LATER_RETURN_SHARES = { min: 0.3, max: 0.7 };

/** Less time than this until the latest useful start does not suffice for a return, in milliseconds. */
const MIN_RETURN_WINDOW_MS = 15;

/** Callers wait at most this share of the time that they have left. */
const MAX_CALLER_WAIT_SHARE = 1 / 3;

/** Range after a caller's timeout over which callers that are not invited are spread, in ms. */
const PAST_TIMEOUT_SPREAD_MS = 1_000;

/** What the time of a caller's return depends on. */
export interface ReturnTerms {
  /** Whether more urgent requests have to find capacity first. */
  readonly isLessUrgent: boolean;
  /** Time until the latest start that meets the objective, in milliseconds; negative if past. */
  readonly usefulMs: number;
  /** Time until the caller's timeout, in milliseconds. */
  readonly remainingMs: number;
  /** Uniform in [0, 1). */
  readonly chance: number;
}

/**
 * Returns after how long the caller of a request that was refused for lack of capacity should
 * return, in milliseconds. Responds to a service under pressure, in which late requests find no
 * slot: a caller that cannot return in time is told a time past its timeout. All others return
 * before their latest useful start, however long that is; a caller waits for a third of its
 * remaining time at most.
 * @param terms - What the caller can still use.
 * @example
 * getReturnMs({ isLessUrgent: false, usefulMs: 120, remainingMs: 900, chance: 0.5 }); // 30
 */
export function getReturnMs({ isLessUrgent, usefulMs, remainingMs, chance }: ReturnTerms): number {
  if (usefulMs < MIN_RETURN_WINDOW_MS) {
    return Math.ceil(Math.max(0, remainingMs) + 1 + PAST_TIMEOUT_SPREAD_MS * chance);
  }
  const { min, max } = isLessUrgent ? LATER_RETURN_SHARES : FIRST_RETURN_SHARES;
  const returnMs = usefulMs * (min + (max - min) * chance);
  return Math.ceil(Math.min(returnMs, remainingMs * MAX_CALLER_WAIT_SHARE));
}
