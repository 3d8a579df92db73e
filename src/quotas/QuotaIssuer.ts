import type { Quota } from '../balancing/model.js';
import type { PermitDecision } from '../limits/index.js';
import { PermitBuckets } from '../limits/index.js';
import { getQuotaBucket } from './getQuotaBucket.js';
import type { QuotaBound } from './model.js';
import { DEFAULT_QUOTA_BOUND } from './model.js';

/** Longest time that a VM is told to wait for a permit, in milliseconds. */
const MAX_WAIT_MS = 60_000;

/**
 * How far the times at which waiting VMs come back are spread, in milliseconds. VMs that wait refuse
 * requests meanwhile, also if the organisation's rate has fallen below its limit again.
 */
const MAX_SPREAD_MS = 500;

/**
 * Issues this VM's part of the permits of organisations. It answers the load of one organisation
 * over all entry VMs: each request asks for one permit.
 */
export class QuotaIssuer {
  /** How far quotas may be exceeded. */
  readonly bound: QuotaBound;

  /** @internal */
  private readonly buckets = new PermitBuckets({
    maxWaitMs: MAX_WAIT_MS,
    maxSpreadMs: MAX_SPREAD_MS,
  });

  /** @param bound - How far quotas may be exceeded; the default applies if it is undefined. */
  constructor(bound: QuotaBound | undefined) {
    this.bound = bound ?? DEFAULT_QUOTA_BOUND;
  }

  /**
   * Begins to fill the bucket of an organisation, unless it has one.
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param vmCount - Number of listed entry VMs.
   * @param now - Monotonic milliseconds.
   */
  start(organisation: string, quota: Quota, vmCount: number, now: number): void {
    this.buckets.start(organisation, getQuotaBucket(quota, this.bound, vmCount), now);
  }

  /**
   * Grants a permit for one request, or states when there will be one.
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param vmCount - Number of listed entry VMs.
   * @param now - Monotonic milliseconds.
   */
  tryIssue(organisation: string, quota: Quota, vmCount: number, now: number): PermitDecision {
    return this.buckets.tryIssue(organisation, getQuotaBucket(quota, this.bound, vmCount), now);
  }

  /**
   * Takes back a permit that was not used.
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param vmCount - Number of listed entry VMs.
   * @param now - Monotonic milliseconds.
   */
  reclaim(organisation: string, quota: Quota, vmCount: number, now: number): void {
    this.buckets.reclaim(organisation, getQuotaBucket(quota, this.bound, vmCount), now);
  }

  /** Removes the state of organisations that have no quota any more. */
  keepOnly(hasQuota: (organisation: string) => boolean): void {
    this.buckets.keepOnly(hasQuota);
  }
}
