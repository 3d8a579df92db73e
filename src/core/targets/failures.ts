import type { LocalTarget } from './TargetsState.js';

/** Backoff after the first failure, in milliseconds; doubled with each further one in a row. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;
/** Number of consecutive failures from which an error answer or refusal also causes a backoff. */
const ERROR_BACKOFF_THRESHOLD = 3;

/**
 * Backs off from a target after a failure, exponentially with consecutive failures.
 *
 * A target that fails fast always has free slots. Without a backoff one dead target would attract,
 * and fail, far more than its share of the service's requests.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordFailure(record: LocalTarget, now: number): void {
  record.failures += 1;
  const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (record.failures - 1));
  record.avoidUntil = now + backoffMs;
}

/**
 * Records an answer by which the target refused or failed, such as status 500. The first ones in a
 * row cause no backoff.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordErrorAnswer(record: LocalTarget, now: number): void {
  if (record.failures + 1 < ERROR_BACKOFF_THRESHOLD) record.failures += 1;
  else recordFailure(record, now);
}

/**
 * Ends the backoff after the target answered as expected.
 * @param record - The target.
 */
export function clearFailures(record: LocalTarget): void {
  record.failures = 0;
  record.avoidUntil = 0;
}
