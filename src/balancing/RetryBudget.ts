import type { ServiceName } from '../core/model/index.js';
import { SlackShare } from './SlackShare.js';

/** Length of one counting bucket, in milliseconds: a twentieth of the usual window of 10 s. */
const BUCKET_MS = 500;

/**
 * Share of the ratio that each request adds as it arrives, and share of a window's worth that can be
 * saved up. What a process has saved up is lost when it ends, and its successor starts with nothing, so
 * that in any window at most both shares are used, however often processes restart.
 */
const EARNED_SHARE = 0.8;
const SAVED_SHARE = 0.18;

/**
 * Share of the slack that is used, since a request near the edge of a window may be counted outside
 * it.
 */
const SLACK_SAFETY_FACTOR = 0.85;

/** Tolerance for sums of fractions. */
const EPSILON = 1e-9;

/** Limit on retries and hedges. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Additional retries in a window, for all entry VMs together. */
  readonly slack: number;
}

/** What this entry VM has counted for a service in the current window. */
export interface RetryUsage {
  readonly requests: number;
  readonly retries: number;
  /** Number of retries that this VM may send now. */
  readonly left: number;
  /** Number of entry VMs that the slack is divided by; undefined if this VM has no share of it. */
  readonly slackVms: number | undefined;
}

interface BucketCounts {
  /** Index of the bucket, counted from time 0. */
  readonly bucket: number;
  requests: number;
  retries: number;
  /** Part of the retries that was taken from the slack. */
  fromSlack: number;
}

interface ServiceCounts {
  buckets: BucketCounts[];
  /** Retries that requests have earned and that were not taken. */
  tokens: number;
}

/** Parts of the budget that a retry can be taken from. */
interface AvailableRetries {
  readonly tokens: number;
  readonly slack: number;
}

/**
 * Limits the retries and hedges that this entry VM sends to each service.
 *
 * When targets fail, each retry adds load to the remaining ones, which can keep a service down
 * after the cause has gone. Each entry VM counts only its own requests and its share of the slack,
 * so that the sum over all VMs stays within the limit without any coordination.
 */
export class RetryBudget {
  /** @internal */
  private readonly countsByService = new Map<ServiceName, ServiceCounts>();

  /** @internal */
  private readonly slackShare: SlackShare;

  /** @param options - Limit for all entry VMs together. */
  constructor(private readonly options: RetryBudgetOptions) {
    this.slackShare = new SlackShare(options.windowMs);
  }

  /**
   * Records how many entry VMs share the slack.
   * @param vms - Number of VMs that the store lists.
   * @param now - Monotonic milliseconds.
   * @param isListed - Whether this VM is one of them.
   */
  recordVms(vms: number, now: number, isListed = true): void {
    this.slackShare.recordVms(vms, now, isListed);
  }

  /**
   * Counts a caller's request.
   * @param service - Service of the request.
   * @param now - Monotonic milliseconds.
   */
  recordRequest(service: ServiceName, now: number): void {
    const counts = this.getCounts(service);
    this.getCurrentBucket(counts, now).requests += 1;
    const earned = counts.tokens + EARNED_SHARE * this.options.ratio;
    counts.tokens = Math.min(this.getCapacity(counts), earned);
  }

  /**
   * Takes one retry from the budget, if there is one.
   * @param service - Service of the request.
   * @param now - Monotonic milliseconds.
   * @param share - Share of the budget that this kind of retry may use.
   * @returns Whether the retry may be sent.
   * @example
   * if (budget.take('horaires', clock.now())) sendAgain();
   */
  take(service: ServiceName, now: number, share = 1): boolean {
    const counts = this.getCounts(service);
    const current = this.getCurrentBucket(counts, now);
    const available = this.getAvailable(counts, now, share);
    if (available.tokens + available.slack < 1 - EPSILON) return false;
    const fromTokens = Math.min(1, available.tokens);
    counts.tokens -= fromTokens;
    current.fromSlack += 1 - fromTokens;
    current.retries += 1;
    return true;
  }

  /**
   * Returns what has been counted in the current window, and what is left.
   * @param service - Service of the requests.
   * @param now - Monotonic milliseconds.
   * @param share - Share of the budget that this kind of retry may use.
   */
  getUsage(service: ServiceName, now: number, share = 1): RetryUsage {
    const counts = this.getCounts(service);
    this.getCurrentBucket(counts, now);
    const { tokens, slack } = this.getAvailable(counts, now, share);
    return {
      requests: RetryBudget.sum(counts.buckets, 'requests'),
      retries: RetryBudget.sum(counts.buckets, 'retries'),
      left: tokens + slack,
      slackVms: this.slackShare.getVms(now),
    };
  }

  /** @internal */
  private getAvailable(counts: ServiceCounts, now: number, share: number): AvailableRetries {
    const capacity = this.getCapacity(counts);
    const tokens = Math.min(counts.tokens, capacity) - (1 - share) * capacity;
    const vms = this.slackShare.getVms(now);
    const ownSlack = vms === undefined ? 0 : (SLACK_SAFETY_FACTOR * this.options.slack) / vms;
    const slack = share * ownSlack - RetryBudget.sum(counts.buckets, 'fromSlack');
    return { tokens: Math.max(0, tokens), slack: Math.max(0, slack) };
  }

  /** Most retries that requests can have earned and left. @internal */
  private getCapacity({ buckets }: ServiceCounts): number {
    const lastBucket = buckets.at(-1)?.bucket ?? 0;
    const firstBucket = lastBucket - this.options.windowMs / BUCKET_MS;
    const requests = RetryBudget.sum(
      buckets.filter(({ bucket }) => bucket > firstBucket),
      'requests',
    );
    return SAVED_SHARE * this.options.ratio * requests;
  }

  /** @internal */
  private getCounts(service: ServiceName): ServiceCounts {
    let counts = this.countsByService.get(service);
    if (counts === undefined) {
      counts = { buckets: [], tokens: 0 };
      this.countsByService.set(service, counts);
    }
    return counts;
  }

  /** Returns the bucket of this moment, and removes those before the window. @internal */
  private getCurrentBucket(counts: ServiceCounts, now: number): BucketCounts {
    const bucket = Math.floor(now / BUCKET_MS);
    const last = counts.buckets.at(-1);
    if (last?.bucket === bucket) return last;
    const oldestBucket = bucket - Math.ceil(this.options.windowMs / BUCKET_MS);
    const current: BucketCounts = { bucket, requests: 0, retries: 0, fromSlack: 0 };
    counts.buckets = [...counts.buckets.filter((each) => each.bucket >= oldestBucket), current];
    return current;
  }

  /** @internal */
  private static sum(
    buckets: readonly BucketCounts[],
    field: 'requests' | 'retries' | 'fromSlack',
  ) {
    return buckets.reduce((total, counts) => total + counts[field], 0);
  }
}
