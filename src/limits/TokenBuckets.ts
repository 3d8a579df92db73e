/** Refill rate and capacity of a token bucket. */
export interface BucketConfig {
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Maximum number of tokens that the bucket holds. */
  readonly burst: number;
}

interface Bucket {
  tokens: number;
  refilledAt: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Token buckets by key. Each call may pass a different configuration, which applies from then on.
 */
export class TokenBuckets {
  /** @internal */
  private readonly buckets = new Map<string, Bucket>();

  /** @param initialTokens - Tokens in a bucket that is used for the first time. */
  constructor(private readonly initialTokens: number) {}

  /** Removes the buckets whose keys do not satisfy a predicate. */
  keepOnly(isKept: (key: string) => boolean): void {
    for (const key of this.buckets.keys()) if (!isKept(key)) this.buckets.delete(key);
  }

  /**
   * Refills a bucket and returns the number of tokens in it.
   * @param key - Key of the bucket.
   * @param config - Refill rate and capacity.
   * @param now - Monotonic milliseconds.
   */
  getTokens(key: string, { perSecond, burst }: BucketConfig, now: number): number {
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = { tokens: this.initialTokens, refilledAt: now };
      this.buckets.set(key, bucket);
    }
    const refilled = bucket.tokens + ((now - bucket.refilledAt) / MS_PER_SECOND) * perSecond;
    bucket.tokens = Math.min(burst, refilled);
    bucket.refilledAt = now;
    return bucket.tokens;
  }

  /** Adds one token, up to the bucket's capacity. */
  add(key: string, config: BucketConfig, now: number): void {
    const tokens = this.getTokens(key, config, now);
    this.buckets.set(key, { tokens: Math.min(config.burst, tokens + 1), refilledAt: now });
  }

  /** Removes one token; the number of tokens may fall below 0. */
  take(key: string, config: BucketConfig, now: number): void {
    const tokens = this.getTokens(key, config, now);
    this.buckets.set(key, { tokens: tokens - 1, refilledAt: now });
  }
}
