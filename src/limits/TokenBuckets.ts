/** How fast a bucket fills, and what it holds. */
export interface BucketSize {
  /** Tokens a second. */
  readonly perSecond: number;
  /** Most that it holds. */
  readonly burst: number;
}

interface Bucket {
  left: number;
  at: number;
}

const MS_PER_SECOND = 1_000;

/** Token buckets by key. The size may change with each call, and holds from then on. */
export class TokenBuckets {
  /** @internal */
  private readonly buckets = new Map<string, Bucket>();

  /** @param first - Tokens in a bucket that is used for the first time. */
  constructor(private readonly first: number) {}

  /** Forgets buckets whose key does not pass. */
  keepOnly(isKept: (key: string) => boolean): void {
    for (const key of this.buckets.keys()) if (!isKept(key)) this.buckets.delete(key);
  }

  /**
   * Tokens in a bucket.
   * @param key - The bucket.
   * @param size - How fast it fills, and what it holds.
   * @param now - Monotonic milliseconds.
   */
  count(key: string, { perSecond, burst }: BucketSize, now: number): number {
    let bucket = this.buckets.get(key);
    if (bucket === undefined) {
      bucket = { left: this.first, at: now };
      this.buckets.set(key, bucket);
    }
    const filled = bucket.left + ((now - bucket.at) / MS_PER_SECOND) * perSecond;
    bucket.left = Math.min(burst, filled);
    bucket.at = now;
    return bucket.left;
  }

  /** Puts one token in, as far as there is room. */
  add(key: string, size: BucketSize, now: number): void {
    const left = this.count(key, size, now);
    this.buckets.set(key, { left: Math.min(size.burst, left + 1), at: now });
  }

  /** Takes one token; the count may fall below 0. */
  take(key: string, size: BucketSize, now: number): void {
    const left = this.count(key, size, now);
    this.buckets.set(key, { left: left - 1, at: now });
  }
}
