import type { NamedLimit } from '../balancing/index.js';

const DECIMAL = /^\d+(?:\.\d+)?$/;

/**
 * Reads the limit that a target names in an answer. Of several values the lowest holds; values that
 * are no decimal number are passed over if there is another.
 * @param text - Value of the limit header; undefined if it is not there.
 * @returns Requests a second; undefined if none is named.
 * @example
 * readLimit('1.3'); // 1.3
 */
export function readLimit(text: string | undefined): NamedLimit {
  if (text === undefined) return undefined;
  const figures = text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => DECIMAL.test(part))
    .map(Number);
  return figures.length === 0 ? 'unreadable' : Math.min(...figures);
}
