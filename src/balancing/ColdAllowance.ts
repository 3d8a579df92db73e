import type { TargetId } from '../core/model/index.js';
import type { BucketConfig } from '../limits/index.js';
import { getOwners, TokenBuckets } from '../limits/index.js';

/** Entry VMs that may send to one cold target: one of them may be down without idling it. */
const OWNERS = 3;

/** Owners that the bound is divided by: views of the fleet may differ by this many VMs. */
const OWNERS_COUNTED = 5;

/** What all entry VMs together may send to a cold target. */
export interface ColdBound {
  /** Requests a second that a cold target bears, times the overage that is allowed. */
  readonly perSecond: number;
  /** Requests on top in any second. */
  readonly slack: number;
}

/**
 * The VMs that may send to a target while it is cold.
 * @param target - The cold target.
 * @param vms - Names of the entry VMs that are up.
 * @example
 * getColdOwners('t-1', ['vm-a', 'vm-b', 'vm-c', 'vm-d']).length; // 3
 */
export function getColdOwners(target: TargetId, vms: readonly string[]): readonly string[] {
  return getOwners(target, vms, OWNERS);
}

/**
 * Lets this entry VM's share of requests into cold targets.
 *
 * A cold target crashes when all entry VMs send to it as if it were warm; seen as targets that die
 * again each time they come back. Only a few VMs may send to one, and each has a fixed part of the
 * bound, so that the sum holds while their views of the fleet differ.
 */
export class ColdAllowance {
  /** @internal */
  private readonly buckets = new TokenBuckets(1);

  /** @param bound - What all entry VMs together may send. */
  constructor(private readonly bound: ColdBound) {}

  /** Forgets targets that are gone. */
  keepOnly(targets: ReadonlyMap<TargetId, unknown>): void {
    this.buckets.keepOnly((target) => targets.has(target));
  }

  /**
   * Whether one more request may go to a cold target; it does not take the allowance.
   * @param target - The cold target.
   * @param coldPerSecond - What its service says that a cold target bears.
   * @param now - Monotonic milliseconds.
   */
  has(target: TargetId, coldPerSecond: number, now: number): boolean {
    return this.buckets.getTokens(target, this.getSize(coldPerSecond), now) >= 1;
  }

  /**
   * Takes one request out of a cold target's allowance.
   * @param target - The cold target.
   * @param coldPerSecond - What its service says that a cold target bears.
   * @param now - Monotonic milliseconds.
   */
  take(target: TargetId, coldPerSecond: number, now: number): void {
    this.buckets.take(target, this.getSize(coldPerSecond), now);
  }

  /** @internal */
  private getSize(coldPerSecond: number): BucketConfig {
    const perWindow = coldPerSecond * this.bound.perSecond + this.bound.slack;
    // A second holds what has been saved up, at most one, and what accrues in it.
    return { perSecond: Math.max(0, perWindow / OWNERS_COUNTED - 1), burst: 1 };
  }
}
