import {
  ISSUER_TIMEOUT_MS,
  ISSUERS_PER_TARGET,
  MAX_ACTIVE_ISSUERS,
  PERMIT_TTL_MS,
} from './issuing.js';
import type { LimitedTarget } from './model.js';
import { getLimitKey } from './model.js';
import type { PermitDecision } from './PermitBuckets.js';
import { PermitBuckets } from './PermitBuckets.js';
import type { BucketConfig } from './TokenBuckets.js';

/**
 * Requests that a target may get from all VMs together within any window: `overage` times its
 * limit, plus `slack` requests.
 */
const TARGET_BOUND = { overage: 1.5, slack: 5, windowMs: 4_000 };

const MS_PER_SECOND = 1_000;

/** Longest time that a VM is told to wait before its next request for a permit, in milliseconds. */
const MAX_WAIT_MS = 4_000;

/**
 * Issues this VM's share of the permits for limited targets.
 *
 * Each issuer's bucket is small enough that the bound on a target holds with the maximum number of
 * active issuers, even if they do not know of each other.
 */
export class PermitIssuer {
  /** @internal */
  private readonly buckets = new PermitBuckets({
    maxWaitMs: MAX_WAIT_MS,
    maxSpreadMs: Number.POSITIVE_INFINITY,
  });

  /**
   * Grants a permit for one request or says when to ask again. Waiting VMs are given different
   * retry times, since the issuer would be flooded if all of them came back for the next permit.
   * @param target - The target.
   * @param perSecond - The target's limit, in requests per second.
   * @param vmCount - Number of entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  tryIssue(target: LimitedTarget, perSecond: number, vmCount: number, now: number): PermitDecision {
    const config = PermitIssuer.getBucketConfig(perSecond, vmCount);
    return this.buckets.tryIssue(getLimitKey(target), config, now);
  }

  /**
   * Returns an unused permit to the bucket.
   * @param target - The target.
   * @param perSecond - The target's limit, in requests per second.
   * @param vmCount - Number of entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  reclaim(target: LimitedTarget, perSecond: number, vmCount: number, now: number): void {
    const config = PermitIssuer.getBucketConfig(perSecond, vmCount);
    this.buckets.reclaim(getLimitKey(target), config, now);
  }

  /** Removes the state of targets that are no longer limited. */
  keepOnly(isLimited: (key: string) => boolean): void {
    this.buckets.keepOnly(isLimited);
  }

  /** @internal */
  private static getBucketConfig(limit: number, vmCount: number): BucketConfig {
    const { overage, slack, windowMs } = TARGET_BOUND;
    const perSecond = limit / Math.min(ISSUERS_PER_TARGET, Math.max(1, vmCount));
    const allowedRequests = (overage * limit * windowMs) / MS_PER_SECOND + slack;
    // Permits issued shortly before the window may be used within it.
    const issueWindowMs = windowMs + PERMIT_TTL_MS + ISSUER_TIMEOUT_MS;
    const refilledTokens = ((limit / ISSUERS_PER_TARGET) * issueWindowMs) / MS_PER_SECOND;
    return { perSecond, burst: allowedRequests / MAX_ACTIVE_ISSUERS - refilledTokens };
  }
}
