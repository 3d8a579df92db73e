import { BUCKET_MS, BUCKETS_PER_HOUR } from './counters.js';

/** Length of an hour, in milliseconds. */
export const HOUR_MS = BUCKET_MS * BUCKETS_PER_HOUR;

/** Length of a day, in milliseconds. */
export const DAY_MS = 24 * HOUR_MS;

/** Prefix of the store keys of hours. */
export const HOURS_PREFIX = 'report/hours/';

/** Prefix of the store keys of days. */
export const DAYS_PREFIX = 'report/days/';

/** Name of the latest hour, cached because it is needed for every request and formatting is slow. */
let lastHour = { index: Number.NaN, name: '' };

/**
 * Formats the hour (UTC) of a time, such as `2026-12-02T13`.
 * @param wallMs - Milliseconds since 1970 by the wall clock.
 */
export function getHourName(wallMs: number): string {
  const index = Math.floor(wallMs / HOUR_MS);
  if (index !== lastHour.index) {
    lastHour = { index, name: new Date(wallMs).toISOString().slice(0, 13) };
  }
  return lastHour.name;
}

/**
 * Formats the day (UTC) of a time, such as `2026-12-02`.
 * @param wallMs - Milliseconds since 1970 by the wall clock.
 */
export function getDayName(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, 10);
}

/**
 * Gives the start of an hour, in milliseconds since 1970.
 * @param hour - Result of `getHourName`.
 */
export function getHourStart(hour: string): number {
  return Date.parse(`${hour}:00:00.000Z`);
}

/**
 * Gives the index of a time's bucket within its hour.
 * @param wallMs - Milliseconds since 1970 by the wall clock.
 */
export function getBucketIndex(wallMs: number): number {
  return Math.floor((wallMs % HOUR_MS) / BUCKET_MS);
}
