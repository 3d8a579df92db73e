import type { AdvertisedLimit } from '../balancing/index.js';
import { DECIMAL_PATTERN } from './decimal.js';

/**
 * Parses the limit that a target advertises in an answer. The lowest of several values applies;
 * values that are not decimal numbers are ignored if another value is valid.
 * @param text - Value of the limit header; undefined if the header is absent.
 * @returns Requests per second; undefined if no limit is advertised.
 * @example
 * readLimit('1.3'); // 1.3
 */
export function readLimit(text: string | undefined): AdvertisedLimit {
  if (text === undefined) return undefined;
  const limits = text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => DECIMAL_PATTERN.test(part))
    .map(Number);
  return limits.length === 0 ? 'unreadable' : Math.min(Number.MAX_SAFE_INTEGER, ...limits);
}
