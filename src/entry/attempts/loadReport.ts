import type { LoadReport } from '../../core/index.js';
import type { CleanHeaders } from '../exchange/headers.js';

const MS_PER_SECOND = 1_000;

function readShare(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const share = Number(text);
  return share >= 0 && share <= 1 ? share : undefined;
}

/**
 * Reads the load report from an answer's headers; undefined if the target sent none.
 * @param headers - The answer's headers.
 * @example
 * readLoadReport(cleanHeaders(['Masticlink-Load', '0.5'])); // { load: 0.5, ... }
 */
export function readLoadReport(headers: CleanHeaders): LoadReport | undefined {
  const { load, boot, draining } = headers;
  if (load === undefined && boot === undefined && draining === undefined) return undefined;
  return {
    bootId: boot,
    load: readShare(load),
    draining: draining === undefined ? undefined : draining === 'true',
  };
}

/**
 * Reads the Retry-After header in milliseconds; undefined if it is absent or isn't a number of
 * seconds, such as an HTTP date.
 * @param headers - The answer's headers.
 */
export function readRetryAfterMs(headers: CleanHeaders): number | undefined {
  if (headers.retryAfter === undefined) return undefined;
  const seconds = Number(headers.retryAfter);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : undefined;
}
