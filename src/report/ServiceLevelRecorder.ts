import type { ObjectiveConfig, ServiceName, TargetId, ZoneName } from '../core/index.js';

import type { Buckets, Counts, ServiceLevelOutcome } from './counters.js';
import { addToSeries, formatSeriesName, OUTCOME_INDEX } from './counters.js';
import { getBucketIndex, getHourName } from './periods.js';

/** Outcome of one request, as observed by the entry VM that the caller is connected to. */
export interface RequestOutcome {
  readonly service: ServiceName;
  /** Zone of the target that answered; the zone of the entry VM if no target did. */
  readonly zone: ZoneName;
  readonly target?: TargetId;
  /**
   * `refused`: masticlink answered itself. `failed`: the answer was cut off or lost, or the target
   * answered 5xx.
   */
  readonly outcome: 'answered' | 'refused' | 'failed';
  readonly latencyMs: number;
}

/** Sources of objectives and time for a recorder. */
export interface ServiceLevelRecorderOptions {
  /** Gives the objective in force; undefined for a service that is not configured. */
  getObjective(service: ServiceName): ObjectiveConfig | undefined;
  /** Milliseconds since 1970 by the wall clock. */
  wallNow(): number;
}

/** Hours of counts buffered while the store is unavailable; older ones are dropped. */
const MAX_BUFFERED_HOURS = 24;

function classify(req: RequestOutcome, latencyMs: number): ServiceLevelOutcome {
  if (req.outcome !== 'answered') return req.outcome;
  return req.latencyMs <= latencyMs ? 'good' : 'slow';
}

/**
 * Counts requests in memory by service, zone, outcome and minute until they are written to the store.
 * Only the entry VM that the caller is connected to counts a request; otherwise forwarded requests
 * would be counted twice.
 */
export class ServiceLevelRecorder {
  /** @internal */
  private readonly hours = new Map<string, Buckets>();

  /**
   * @param options - Sources of objectives and time.
   * @example
   * const recorder = new ServiceLevelRecorder({ getObjective, wallNow: Date.now });
   * recorder.record({ service: 'bei', zone: 'a', outcome: 'answered', latencyMs: 12 });
   */
  constructor(private readonly options: ServiceLevelRecorderOptions) {}

  /**
   * Counts one request. Requests for unknown services are ignored, since they have no objective.
   * @param req - Outcome of the request.
   */
  record(req: RequestOutcome): void {
    const objective = this.options.getObjective(req.service);
    if (!objective) return;
    const outcome = classify(req, objective.latencyMs);
    const counts: Counts = [0, 0, 0, 0];
    counts[OUTCOME_INDEX[outcome]] = 1;
    const now = this.options.wallNow();
    const series = this.getOrCreateBucket(getHourName(now), getBucketIndex(now));
    const { service, zone, target } = req;
    addToSeries(series, formatSeriesName({ service, zone }), counts);
    if (outcome !== 'good' && target !== undefined) {
      addToSeries(series, formatSeriesName({ service, zone, target }), counts);
    }
  }

  /** Gives the names of the hours that have counts, the oldest first. */
  getHours(): string[] {
    return [...this.hours.keys()].sort();
  }

  /**
   * Removes the counts of an hour and returns them.
   * @param hour - One of `getHours()`.
   */
  take(hour: string): Buckets | undefined {
    const buckets = this.hours.get(hour);
    this.hours.delete(hour);
    return buckets;
  }

  /** @internal */
  private getOrCreateBucket(hour: string, bucket: number) {
    let buckets = this.hours.get(hour);
    if (!buckets) {
      buckets = {};
      this.hours.set(hour, buckets);
      const [oldest] = this.getHours();
      if (this.hours.size > MAX_BUFFERED_HOURS) this.hours.delete(oldest);
    }
    buckets[bucket] ??= {};
    return buckets[bucket];
  }
}
