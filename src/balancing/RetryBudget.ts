import type { ServiceName } from '../core/model/index.js';

/** Length of one counting bucket, in milliseconds: a twentieth of the usual window of 10 s. */
const BUCKET_MS = 500;

/** Share of the allowance that is used: a request near a window's edge may be counted outside it. */
const SAFETY = 0.85;

/** How much may be repeated. */
export interface RetryBudgetOptions {
  /** Repeats per request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Repeats in a window on top, of all entry VMs together. */
  readonly slack: number;
}

interface Counts {
  /** Index of the bucket, counted from time 0. */
  readonly bucket: number;
  requests: number;
  repeats: number;
}

/**
 * Bounds the repeats that this entry VM sends to each service.
 *
 * When targets fail, each request that is repeated adds load to those that are left; seen as a
 * service that stays down after its cause has gone. Each entry VM counts its own requests and its
 * share of the slack only, so the sum over all of them keeps to the bound without any of them
 * knowing what the others do.
 */
export class RetryBudget {
  /** @internal */
  private readonly services = new Map<ServiceName, Counts[]>();

  /** @param options - Bound for all entry VMs together. */
  constructor(private readonly options: RetryBudgetOptions) {}

  /**
   * Counts a caller's request for a service.
   * @param service - Where it goes.
   * @param now - Monotonic milliseconds.
   */
  noteRequest(service: ServiceName, now: number): void {
    this.getCounts(service, now).requests += 1;
  }

  /**
   * Takes one repeat out of the budget, if there is one.
   * @param service - Where it goes.
   * @param vmCount - Entry VMs that share the slack.
   * @param now - Monotonic milliseconds.
   * @param share - Part of the budget that this kind of repeat may use up.
   * @returns Whether the repeat may be sent.
   * @example
   * if (budget.take('horaires', 15, clock.now())) sendAgain();
   */
  take(service: ServiceName, vmCount: number, now: number, share = 1): boolean {
    const current = this.getCounts(service, now);
    let requests = 0;
    let repeats = 0;
    for (const counts of this.services.get(service) ?? []) {
      requests += counts.requests;
      repeats += counts.repeats;
    }
    const { ratio, slack } = this.options;
    const allowed = share * SAFETY * (ratio * requests + slack / Math.max(1, vmCount));
    if (repeats + 1 > allowed) return false;
    current.repeats += 1;
    return true;
  }

  /** @internal */
  private getCounts(service: ServiceName, now: number): Counts {
    const bucket = Math.floor(now / BUCKET_MS);
    const oldest = bucket - Math.ceil(this.options.windowMs / BUCKET_MS);
    const kept = (this.services.get(service) ?? []).filter((each) => each.bucket >= oldest);
    let current = kept.at(-1);
    if (current?.bucket !== bucket) {
      current = { bucket, requests: 0, repeats: 0 };
      kept.push(current);
    }
    this.services.set(service, kept);
    return current;
  }
}
