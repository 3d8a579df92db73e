import type { ObjectiveConfig, ServiceConfig } from '../core/index.js';

import type { BurnCause, BurnPoint, ServiceBurn, WindowBurn, ZoneBurn } from './BurnReport.js';
import type { Counts, SeriesName } from './counters.js';
import { addCounts, BUCKET_MS, getBad, getTotal, parseSeriesName } from './counters.js';
import { DAY_MS, getHourStart, HOUR_MS } from './periods.js';
import type { ServiceLevelHistory } from './ServiceLevelStore.js';
import { BUDGET_PERIOD_MS, WINDOW_PAIRS } from './windows.js';

/** Counts of one series in one bucket. */
interface Point extends SeriesName {
  /** Start of the bucket, milliseconds since 1970. */
  readonly at: number;
  readonly counts: Counts;
}

const ZERO_COUNTS: Counts = [0, 0, 0, 0];

const BAD_OUTCOMES = ['slow', 'refused', 'failed'] as const;

/** Causes listed per service. */
const MAX_CAUSES = 10;

function sum(points: readonly Point[]): Counts {
  return points.reduce((total, { counts }) => addCounts(total, counts), ZERO_COUNTS);
}

/** Computes a burn rate: the share of bad requests divided by the share that the objective allows. */
function getBurn(counts: Counts, objective: ObjectiveConfig): number {
  const total = getTotal(counts);
  if (total === 0) return 0;
  // Rounded because 1 - 0.99 is slightly more than 0.01 in floating point: a burn rate that equals an
  // alarm's threshold would otherwise come out just below it.
  return Number((getBad(counts) / total / (1 - objective.share)).toFixed(6));
}

/** Selects the points of a window that ends now, including the bucket that contains its start. */
function selectWindow(points: readonly Point[], now: number, lengthMs: number): Point[] {
  return points.filter(({ at }) => at > now - lengthMs - BUCKET_MS && at <= now);
}

function computeWindows(points: readonly Point[], objective: ObjectiveConfig, now: number) {
  return WINDOW_PAIRS.map(({ name, shortMs, longMs, threshold }): WindowBurn => {
    const short = getBurn(sum(selectWindow(points, now, shortMs)), objective);
    const long = getBurn(sum(selectWindow(points, now, longMs)), objective);
    const firing = short >= threshold && long >= threshold;
    return { pair: name, threshold, short, long, firing };
  });
}

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

function computeZones(points: readonly Point[], objective: ObjectiveConfig, now: number) {
  const zones = [...groupBy(points, ({ zone }) => zone)].map(([zone, zonePoints]): ZoneBurn => {
    const counts = sum(zonePoints);
    return {
      zone,
      requests: getTotal(counts),
      bad: getBad(counts),
      windows: computeWindows(zonePoints, objective, now),
    };
  });
  return zones.sort((a, b) => (a.zone < b.zone ? -1 : 1));
}

/**
 * Subtracts counts, with 0 as the minimum. Used for a zone's bad requests that no target's series
 * contains: refusals, and targets whose series were omitted.
 */
function subtract(a: Counts, b: Counts): Counts {
  return [0, 1, 2, 3].map((i) => Math.max(0, a[i] - b[i])) as Counts;
}

function computeCauses(totals: readonly Point[], byTarget: readonly Point[]): BurnCause[] {
  const allBad = getBad(sum(totals));
  const targets = [...groupBy(byTarget, ({ zone, target }) => `${zone}|${target}`).values()];
  const zones = [...groupBy(totals, ({ zone }) => zone)].map(([zone, points]) => ({
    zone,
    target: undefined,
    counts: subtract(sum(points), sum(byTarget.filter((point) => point.zone === zone))),
  }));
  const groups = [...targets.map((points) => ({ ...points[0], counts: sum(points) })), ...zones];
  return groups
    .flatMap(({ zone, target, counts }) =>
      BAD_OUTCOMES.map((outcome, i) => {
        const requests = counts[i + 1];
        return { outcome, zone, target, requests, share: allBad === 0 ? 0 : requests / allBad };
      }),
    )
    .filter(({ requests }) => requests > 0)
    .sort((a, b) => b.requests - a.requests)
    .slice(0, MAX_CAUSES);
}

function computePoints(
  points: readonly Point[],
  objective: ObjectiveConfig,
  range: { readonly from: number; readonly to: number; readonly stepMs: number },
): BurnPoint[] {
  const { from, to, stepMs } = range;
  const groups = groupBy(points, ({ at }) => String(Math.floor(at / stepMs)));
  const first = Math.floor(from / stepMs);
  const count = Math.floor(to / stepMs) - first + 1;
  return Array.from({ length: count }, (_, i) => {
    const counts = sum(groups.get(String(first + i)) ?? []);
    const [, slow, refused, failed] = counts;
    return {
      at: (first + i) * stepMs,
      requests: getTotal(counts),
      slow,
      refused,
      failed,
      burn: getBurn(counts, objective),
    };
  });
}

function flatten(history: ServiceLevelHistory): Point[] {
  return Object.entries(history.hours).flatMap(([hour, buckets]) =>
    Object.entries(buckets).flatMap(([bucket, series]) =>
      Object.entries(series).map(([name, counts]) => ({
        ...parseSeriesName(name),
        at: getHourStart(hour) + Number(bucket) * BUCKET_MS,
        counts,
      })),
    ),
  );
}

/** Sums the daily totals within the budget period. */
function sumDays(history: ServiceLevelHistory, service: string, now: number): Counts {
  const first = now - BUDGET_PERIOD_MS;
  return Object.entries(history.days)
    .filter(([day]) => Date.parse(day) + DAY_MS > first)
    .flatMap(([, series]) => Object.entries(series))
    .map(([name, counts]) => ({ ...parseSeriesName(name), counts }))
    .filter((point) => point.service === service && point.target === undefined)
    .reduce((total, { counts }) => addCounts(total, counts), ZERO_COUNTS);
}

/**
 * Computes burn rates, alarm and remaining error budget of one service.
 * @param service - Name and objective of the service.
 * @param history - Counts read from the store.
 * @param now - Milliseconds since 1970.
 * @example
 * const { budgetLeft, alarm } = computeBurn(service, history, Date.now());
 */
export function computeBurn(
  service: Pick<ServiceConfig, 'name' | 'objective'>,
  history: ServiceLevelHistory,
  now: number,
): ServiceBurn {
  const { name, objective } = service;
  const servicePoints = flatten(history).filter((point) => point.service === name);
  const totals = servicePoints.filter(({ target }) => target === undefined);
  const byTarget = servicePoints.filter(({ target }) => target !== undefined);
  const periodCounts = addCounts(sum(totals), sumDays(history, name, now));
  const windows = computeWindows(totals, objective, now);
  const firing = WINDOW_PAIRS.find((_, i) => windows[i].firing);
  return {
    service: name,
    objective,
    requests: getTotal(periodCounts),
    bad: getBad(periodCounts),
    budgetLeft: 1 - getBurn(periodCounts, objective),
    alarm: firing?.alarm ?? 'none',
    windows,
    zones: computeZones(totals, objective, now),
    causes: computeCauses(
      selectWindow(totals, now, 3 * DAY_MS),
      selectWindow(byTarget, now, 3 * DAY_MS),
    ),
    minutes: computePoints(totals, objective, { from: now - HOUR_MS, to: now, stepMs: BUCKET_MS }),
    hours: computePoints(totals, objective, { from: now - 3 * DAY_MS, to: now, stepMs: HOUR_MS }),
  };
}
