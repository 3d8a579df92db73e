import type { LoadReading } from '../balancing/index.js';

/** The slowdown is given in percent. */
const PERCENT_PER_UNIT = 100;

/**
 * Parses the load that a target reports.
 * @param text - Value of the load header; undefined if the header is absent.
 * @param isHealthy - Whether the target reports that it is healthy.
 * @param now - Monotonic milliseconds.
 * @returns The reading; undefined if the header is absent or invalid.
 * @example
 * readLoad('3,0,8,400', true, 0)?.slowdown; // 4
 */
export function readLoad(
  text: string | undefined,
  isHealthy: boolean,
  now: number,
): LoadReading | undefined {
  if (text === undefined) return undefined;
  const numbers = text.split(',').map((part) => Number(part.trim()));
  const [running, waiting, slots, slowdown = PERCENT_PER_UNIT] = numbers;
  const isReadable =
    numbers.length >= 3 && numbers.every((each) => Number.isFinite(each) && each >= 0);
  if (!isReadable || slots === 0) return undefined;
  return { at: now, running, waiting, slots, slowdown: slowdown / PERCENT_PER_UNIT, isHealthy };
}
