import type { BucketConfig } from './TokenBuckets.js';
import { TokenBuckets } from './TokenBuckets.js';

const MS_PER_SECOND = 1_000;

/**
 * Retry times given to waiting VMs are spaced by this fraction of the interval between two permits.
 * They are not spaced by the full interval because some of the VMs do not come back.
 */
const WAIT_SPACING_SHARE = 0.25;

/** An issuer's decision on one request for a permit. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** Time to wait before the next request if the permit is not granted, in milliseconds. */
  readonly waitMs: number;
}

/** Longest times that a VM is told to wait, in milliseconds. */
export interface WaitBounds {
  readonly maxWaitMs: number;
  /** How far retry times are spread beyond the next permit. */
  readonly maxSpreadMs: number;
}

/** Issues permits from token buckets, and tells VMs that get none when to ask again. */
export class PermitBuckets {
  /** Buckets start empty: another VM may have issued permits until a moment ago. @internal */
  private readonly buckets = new TokenBuckets(0);

  /** Time up to which permits are reserved for VMs that were told to retry. @internal */
  private readonly reservedUntil = new Map<string, number>();

  /** @param bounds - Longest times that a VM is told to wait. */
  constructor(private readonly bounds: WaitBounds) {}

  /**
   * Begins to fill a bucket, unless there is one.
   * @param key - Key of the bucket.
   * @param config - Refill rate and capacity.
   * @param now - Monotonic milliseconds.
   */
  start(key: string, config: BucketConfig, now: number): void {
    this.buckets.getTokens(key, config, now);
  }

  /**
   * Grants a permit for one request or says when to ask again. Waiting VMs are given different
   * retry times, since the issuer would be flooded if all of them came back for the next permit.
   * @param key - Key of the bucket.
   * @param config - Refill rate and capacity.
   * @param now - Monotonic milliseconds.
   */
  tryIssue(key: string, config: BucketConfig, now: number): PermitDecision {
    const tokens = this.buckets.getTokens(key, config, now);
    if (tokens >= 1) {
      this.buckets.take(key, config, now);
      return { isGranted: true, waitMs: 0 };
    }
    const { maxWaitMs, maxSpreadMs } = this.bounds;
    const intervalMs = MS_PER_SECOND / config.perSecond;
    const nextPermitAt = now + (1 - tokens) * intervalMs;
    const spacedAt = (this.reservedUntil.get(key) ?? 0) + WAIT_SPACING_SHARE * intervalMs;
    const retryAt = Math.max(nextPermitAt, Math.min(spacedAt, nextPermitAt + maxSpreadMs));
    const waitMs = Math.min(maxWaitMs, retryAt - now);
    this.reservedUntil.set(key, now + waitMs);
    return { isGranted: false, waitMs: Math.ceil(waitMs) };
  }

  /**
   * Returns an unused permit to its bucket.
   * @param key - Key of the bucket.
   * @param config - Refill rate and capacity.
   * @param now - Monotonic milliseconds.
   */
  reclaim(key: string, config: BucketConfig, now: number): void {
    this.buckets.add(key, config, now);
  }

  /** Removes the buckets whose keys do not satisfy a predicate. */
  keepOnly(isKept: (key: string) => boolean): void {
    this.buckets.keepOnly(isKept);
    for (const key of this.reservedUntil.keys()) {
      if (!isKept(key)) this.reservedUntil.delete(key);
    }
  }
}
