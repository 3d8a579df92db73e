/** Token bucket that limits the rate of store calls; a call takes one token. */
export interface TokenBucket {
  tokens: number;
  lastRefillAt: number;
}

/** Time over which unused tokens accumulate, in milliseconds. */
const BURST_MS = 250;

/** Smallest capacity of a bucket: one call of any class and one reserved for the lease. */
const MIN_CAPACITY = 2;

/**
 * Creates an empty bucket.
 * @param now - Monotonic milliseconds.
 */
export function createTokenBucket(now: number): TokenBucket {
  return { tokens: 0, lastRefillAt: now };
}

/**
 * Returns the capacity of a bucket, in calls.
 * @param ratePerSecond - Rate at which the bucket is refilled, in calls per second.
 */
export function getBucketCapacity(ratePerSecond: number): number {
  return Math.max(MIN_CAPACITY, (ratePerSecond * BURST_MS) / 1_000);
}

/**
 * Adds the tokens that have accrued since the last refill, up to the capacity.
 * @param bucket - Changed in place.
 * @param ratePerSecond - Refill rate since the last refill, in calls per second.
 * @param now - Monotonic milliseconds.
 */
export function refillBucket(bucket: TokenBucket, ratePerSecond: number, now: number): void {
  const elapsed = Math.max(0, now - bucket.lastRefillAt);
  const filled = bucket.tokens + (elapsed * ratePerSecond) / 1_000;
  bucket.tokens = Math.min(getBucketCapacity(ratePerSecond), filled);
  bucket.lastRefillAt = now;
}
