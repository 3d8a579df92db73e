import type { ServiceName, TargetId, ZoneName } from '../core/index.js';

/** Outcome of a request with respect to the service-level objective. */
export type ServiceLevelOutcome = 'good' | 'slow' | 'refused' | 'failed';

/** Numbers of requests by outcome; a tuple to keep stored objects small. */
export type Counts = [good: number, slow: number, refused: number, failed: number];

/** Index of each outcome in `Counts`. */
export const OUTCOME_INDEX: Readonly<Record<ServiceLevelOutcome, 0 | 1 | 2 | 3>> = {
  good: 0,
  slow: 1,
  refused: 2,
  failed: 3,
};

/**
 * Identifies a series. Without `target` it counts all requests of a service in a zone, with `target`
 * only the bad ones of that target.
 */
export interface SeriesName {
  readonly service: ServiceName;
  readonly zone: ZoneName;
  readonly target?: TargetId;
}

/** Counts by name of the series. */
export type Series = Record<string, Counts>;

/** Series by index of the bucket within the hour. */
export type Buckets = Record<string, Series>;

/** Length of a bucket, in milliseconds. */
export const BUCKET_MS = 60_000;

/** Buckets in an hour. */
export const BUCKETS_PER_HOUR = 60;

/** Series per bucket that name a target. Further ones are omitted; their counts stay in the totals. */
const MAX_TARGET_SERIES = 64;

const SEPARATOR = '|';

/**
 * Formats the name under which a series is stored.
 * @param name - Service, zone and target.
 */
export function formatSeriesName({ service, zone, target }: SeriesName): string {
  return [service, zone, ...(target === undefined ? [] : [target])].join(SEPARATOR);
}

/**
 * Parses the name of a series.
 * @param text - Result of `formatSeriesName`.
 */
export function parseSeriesName(text: string): SeriesName {
  const [service, zone, target] = text.split(SEPARATOR);
  return { service, zone, target };
}

/** Gives the sum of two counts. */
export function addCounts(a: Counts, b: Counts): Counts {
  return [a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3]];
}

function isTargetSeries(name: string): boolean {
  return name.split(SEPARATOR).length > 2;
}

/**
 * Adds counts to one series of a set, in place.
 * @param into - Set that is modified.
 * @param name - Formatted name of the series.
 * @param counts - Counts to add.
 */
export function addToSeries(into: Series, name: string, counts: Counts): void {
  const known = into[name];
  if (known) into[name] = addCounts(known, counts);
  else if (!isTargetSeries(name)) into[name] = counts;
  else if (Object.keys(into).filter(isTargetSeries).length < MAX_TARGET_SERIES) {
    into[name] = counts;
  }
}

/**
 * Adds all counts of some buckets to others, in place.
 * @param into - Buckets that are modified.
 * @param from - Buckets to add.
 * @example
 * addBuckets(hour, { 3: { 'horaires|a': [2, 0, 0, 1] } });
 */
export function addBuckets(into: Buckets, from: Buckets): void {
  for (const [bucket, series] of Object.entries(from)) {
    into[bucket] ??= {};
    for (const [name, counts] of Object.entries(series)) addToSeries(into[bucket], name, counts);
  }
}

/**
 * Gives the number of all requests.
 * @param counts - Counts of a series.
 */
export function getTotal(counts: Counts): number {
  return counts[0] + counts[1] + counts[2] + counts[3];
}

/**
 * Gives the number of requests that were slow, refused or failed.
 * @param counts - Counts of a series.
 */
export function getBad(counts: Counts): number {
  return counts[1] + counts[2] + counts[3];
}
