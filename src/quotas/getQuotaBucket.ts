import type { Quota } from '../balancing/model.js';
import type { BucketConfig } from '../limits/index.js';
import type { QuotaBound } from './model.js';

/**
 * Numbers of issuers to choose from. More issuers hold a larger burst together, and each has a
 * smaller part of the rate.
 */
const ISSUER_COUNTS = [3, 4, 6, 8, 12, 16, 24];

/**
 * Share of the bound that is issued. The rest covers clocks that run at different speeds and
 * permits that are returned after the window in which they were granted.
 */
const ISSUED_SHARE = 0.97;

/** Share of the slack that VMs use without asking while they reach no issuer. */
const UNCOORDINATED_SHARE = 0.1;

/** Longest time between the arrival of a request and the grant that counts for it, in milliseconds. */
const GRANT_DELAY_MS = 100;

/**
 * Minimum number of permits that a bucket holds. One that holds less than one never grants any, and
 * one that holds few loses permits between the asks of an organisation below its limit.
 */
const MIN_CAPACITY = 3;

const MS_PER_SECOND = 1_000;

/** Tolerance for sums of fractions. */
const EPSILON = 1e-9;

/** How the permits of an organisation are divided among issuers. */
export interface QuotaBucket extends BucketConfig {
  /** VMs that issue permits while all of them answer. */
  readonly issuers: number;
  /** VMs that may issue at the same time: the next one replaces one that does not answer. */
  readonly maxIssuers: number;
}

/**
 * Returns how many requests of an organisation VMs may pass on in a window without a permit, all VMs
 * together.
 * @param bound - How far quotas may be exceeded.
 */
export function getUncoordinatedShare({ slack }: QuotaBound): number {
  return slack * UNCOORDINATED_SHARE;
}

function createBucket(
  issuers: number,
  maxIssuers: number,
  { ratePerSecond, burst }: Quota,
  issuedPerWindow: number,
  windowMs: number,
): QuotaBucket {
  const windowSeconds = (windowMs + GRANT_DELAY_MS) / MS_PER_SECOND;
  const each = issuedPerWindow / maxIssuers;
  // What the burst does not need goes into the refill, which decides how soon there are permits after
  // a restart.
  const capacity = Math.max(MIN_CAPACITY, burst / issuers);
  const rate = ratePerSecond / issuers;
  const spareRate = (each - capacity) / windowSeconds;
  return spareRate > rate
    ? { issuers, maxIssuers, perSecond: spareRate, burst: capacity }
    : { issuers, maxIssuers, perSecond: rate, burst: each - rate * windowSeconds };
}

function getTotalBurst({ issuers, burst }: QuotaBucket): number {
  return issuers * burst;
}

/**
 * Returns the token bucket of each issuer of an organisation's permits. It is small enough that the
 * bound holds while `maxIssuers` VMs issue and do not know of each other.
 * @param quota - Quota of the organisation.
 * @param bound - How far it may be exceeded.
 * @param vmCount - Number of listed entry VMs.
 * @example
 * getQuotaBucket({ ratePerSecond: 2, burst: 4 }, DEFAULT_QUOTA_BOUND, 98).issuers; // 3
 */
export function getQuotaBucket(
  { ratePerSecond, burst }: Quota,
  bound: QuotaBound,
  vmCount: number,
): QuotaBucket {
  const { windowMs, overage, slack } = bound;
  const withinQuota = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  const allowed = withinQuota * (1 + overage) + slack;
  const issuedPerWindow = allowed * ISSUED_SHARE - getUncoordinatedShare(bound);
  const vms = Math.max(1, vmCount);
  const counts = ISSUER_COUNTS.map((count) => Math.min(count, vms));
  const create = (issuers: number, maxIssuers: number): QuotaBucket =>
    createBucket(issuers, maxIssuers, { ratePerSecond, burst }, issuedPerWindow, windowMs);
  const replaceable = counts
    .map((count) => create(count, Math.min(count + 1, vms)))
    .filter((bucket) => bucket.burst >= MIN_CAPACITY);
  const sufficient = replaceable.find((bucket) => getTotalBurst(bucket) >= burst - EPSILON);
  if (sufficient !== undefined) return sufficient;
  if (replaceable.length > 0) {
    return replaceable.reduce((best, each) =>
      getTotalBurst(each) > getTotalBurst(best) ? each : best,
    );
  }
  // A part for a successor would leave each issuer too little. While one of these issuers is down,
  // its part of the rate is missing until it leaves the list of VMs.
  const irreplaceable = counts.map((count) => create(count, count));
  return irreplaceable.findLast(({ burst: each }) => each >= MIN_CAPACITY) ?? irreplaceable[0];
}
