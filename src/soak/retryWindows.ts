/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly sentAt: number;
}

/** A request that has reached a target, whether it ran there or was rejected. */
export interface ArrivalRecord {
  readonly id: string;
  /** Service of the target; undefined if there is only one. */
  readonly service?: string;
  readonly at: number;
}

/** Limit on the retries of a service, for all gateways together. */
export interface RetryLimit {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries in a window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Retries in one window. */
export interface RetryWindow {
  readonly from: number;
  readonly requests: number;
  readonly retries: number;
  readonly allowed: number;
}

/** Returns the arrivals after the first one of each request, in order of time. */
export function findRetries(arrivals: readonly ArrivalRecord[]): readonly ArrivalRecord[] {
  const seen = new Set<string>();
  return [...arrivals]
    .sort((a, b) => a.at - b.at)
    .filter(({ id }) => {
      const isRetry = seen.has(id);
      seen.add(id);
      return isRetry;
    });
}

/**
 * Returns the window that uses most of its limit. The requests that count are those of the window, of
 * the one before it, or of the one that begins half a window earlier, whichever are most.
 * @param requests - Requests of callers.
 * @param arrivals - Arrivals at targets.
 * @param limit - Limit on retries.
 * @example
 * const { retries, allowed } = findWorstRetryWindow(requests, arrivals, limit);
 */
export function findWorstRetryWindow(
  requests: readonly SentRequest[],
  arrivals: readonly ArrivalRecord[],
  { ratio, slack, windowMs }: RetryLimit,
): RetryWindow {
  const countRequests = (from: number): number =>
    requests.filter(({ sentAt }) => sentAt >= from && sentAt < from + windowMs).length;
  const retries = findRetries(arrivals);
  let worst: RetryWindow = { from: 0, requests: 0, retries: 0, allowed: slack };
  for (const { at: from } of retries) {
    const starts = [from, from - windowMs / 2, from - windowMs];
    const counted = Math.max(...starts.map(countRequests));
    const allowed = ratio * counted + slack;
    const count = retries.filter(({ at }) => at >= from && at < from + windowMs).length;
    if (count / allowed > worst.retries / worst.allowed) {
      worst = { from, requests: counted, retries: count, allowed };
    }
  }
  return worst;
}
