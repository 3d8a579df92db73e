import { ANSWER_MS, ISSUERS, ISSUERS_AT_MOST, PERMIT_MS } from './issuing.js';
import type { LimitedTarget } from './model.js';
import { getLimitKey } from './model.js';
import type { BucketSize } from './TokenBuckets.js';
import { TokenBuckets } from './TokenBuckets.js';

/** What a target may get in a stretch of time, summed over all VMs. */
const BOUND = { overage: 1.5, slack: 5, stretchMs: 4_000 };

const MS_PER_SECOND = 1_000;

/** Longest that a VM is told to wait before it asks again, in milliseconds. */
const WAIT_MOST_MS = 4_000;

/**
 * VMs that are told to wait are spaced by this part of the time from one permit to the next: not all
 * of them come back.
 */
const SPACING_SHARE = 0.25;

/** What an issuer says to one ask. */
export interface PermitVerdict {
  readonly isGranted: boolean;
  /** When to ask again if it is not granted, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Issues this VM's part of the permits for limited targets.
 *
 * Each issuer's bucket is so small that the bound holds with as many issuers as may be active at once,
 * whatever they know of each other.
 */
export class PermitIssuer {
  /** Empty at first: another VM may have issued permits until a moment ago. @internal */
  private readonly buckets = new TokenBuckets(0);

  /** Until when permits are spoken for by VMs that were told to come back. @internal */
  private readonly promisedUntil = new Map<string, number>();

  /**
   * Grants one request, or says when to ask again. VMs that have to wait are told different times: if
   * all came back for the next permit, the issuer would be flooded.
   * @param target - The target.
   * @param perSecond - Its limit.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  ask(target: LimitedTarget, perSecond: number, vms: number, now: number): PermitVerdict {
    const key = getLimitKey(target);
    const size = PermitIssuer.getSize(perSecond, vms);
    const left = this.buckets.count(key, size, now);
    if (left >= 1) {
      this.buckets.take(key, size, now);
      return { isGranted: true, waitMs: 0 };
    }
    const eachMs = MS_PER_SECOND / size.perSecond;
    const nextAt = now + (1 - left) * eachMs;
    const promisedAt = Math.max(
      nextAt,
      (this.promisedUntil.get(key) ?? 0) + SPACING_SHARE * eachMs,
    );
    const waitMs = Math.min(WAIT_MOST_MS, promisedAt - now);
    this.promisedUntil.set(key, now + waitMs);
    return { isGranted: false, waitMs: Math.ceil(waitMs) };
  }

  /**
   * Takes a permit back that was not used.
   * @param target - The target.
   * @param perSecond - Its limit.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  takeBack(target: LimitedTarget, perSecond: number, vms: number, now: number): void {
    this.buckets.add(getLimitKey(target), PermitIssuer.getSize(perSecond, vms), now);
  }

  /** Forgets targets that are not limited any more. */
  keepOnly(isLimited: (key: string) => boolean): void {
    this.buckets.keepOnly(isLimited);
    for (const key of this.promisedUntil.keys()) {
      if (!isLimited(key)) this.promisedUntil.delete(key);
    }
  }

  /** @internal */
  private static getSize(limit: number, vms: number): BucketSize {
    const { overage, slack, stretchMs } = BOUND;
    const perSecond = limit / Math.min(ISSUERS, Math.max(1, vms));
    const allowed = (overage * limit * stretchMs) / MS_PER_SECOND + slack;
    // Permits issued before a stretch of time may be used in it.
    const issuedInMs = stretchMs + PERMIT_MS + ANSWER_MS;
    const steady = ((limit / ISSUERS) * issuedInMs) / MS_PER_SECOND;
    return { perSecond, burst: allowed / ISSUERS_AT_MOST - steady };
  }
}
