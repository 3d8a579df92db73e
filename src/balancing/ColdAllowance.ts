import type { TargetId } from '../core/model/index.js';
import type { BucketConfig } from '../limits/index.js';
import { getOwners, TokenBuckets } from '../limits/index.js';

/**
 * Number of entry VMs that may send to one cold target; if one of them is down, the target still
 * gets requests.
 */
const OWNER_COUNT = 3;

/**
 * The limit is divided by this many owners rather than `OWNER_COUNT`, since the VMs' views of the
 * fleet may differ by the remaining two.
 */
const ASSUMED_OWNER_COUNT = 5;

/** Limit on what all entry VMs together may send to a cold target. */
export interface ColdRateLimit {
  /** Factor applied to the requests per second that a cold target can handle. */
  readonly perSecond: number;
  /** Additional requests allowed in any second. */
  readonly slack: number;
}

/**
 * Returns the VMs that may send to a target while it is cold.
 * @param target - The cold target.
 * @param vms - Names of the entry VMs that are up.
 * @example
 * getColdOwners('t-1', ['vm-a', 'vm-b', 'vm-c', 'vm-d']).length; // 3
 */
export function getColdOwners(target: TargetId, vms: readonly string[]): readonly string[] {
  return getOwners(target, vms, OWNER_COUNT);
}

/**
 * Limits the rate at which this entry VM sends requests to cold targets.
 *
 * A cold target that gets as many requests as a warm one from all entry VMs crashes, and does so
 * again after each restart. Therefore only a few VMs may send to it, each with a fixed share of the
 * limit, so that the sum stays within the limit even if their views of the fleet differ.
 */
export class ColdAllowance {
  /** @internal */
  private readonly buckets = new TokenBuckets(1);

  /** @param limit - Limit for all entry VMs together. */
  constructor(private readonly limit: ColdRateLimit) {}

  /** Removes the buckets of targets that no longer exist. */
  keepOnly(targets: ReadonlyMap<TargetId, unknown>): void {
    this.buckets.keepOnly((target) => targets.has(target));
  }

  /**
   * Whether one more request may be sent to a cold target now; does not take a token.
   * @param target - The cold target.
   * @param coldPerSecond - Requests per second that a cold target of its service can handle.
   * @param now - Monotonic milliseconds.
   */
  hasToken(target: TargetId, coldPerSecond: number, now: number): boolean {
    return this.buckets.getTokens(target, this.getBucketSize(coldPerSecond), now) >= 1;
  }

  /**
   * Takes a token for one request to a cold target.
   * @param target - The cold target.
   * @param coldPerSecond - Requests per second that a cold target of its service can handle.
   * @param now - Monotonic milliseconds.
   */
  take(target: TargetId, coldPerSecond: number, now: number): void {
    this.buckets.take(target, this.getBucketSize(coldPerSecond), now);
  }

  /** @internal */
  private getBucketSize(coldPerSecond: number): BucketConfig {
    const maxPerWindow = coldPerSecond * this.limit.perSecond + this.limit.slack;
    // In any second at most one saved token is used, plus those that accrue, hence the `- 1`.
    return { perSecond: Math.max(0, maxPerWindow / ASSUMED_OWNER_COUNT - 1), burst: 1 };
  }
}
