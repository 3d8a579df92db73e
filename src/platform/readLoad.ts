import type { LoadReading } from '../balancing/index.js';

/** The slowdown comes in percent. */
const PERCENT = 100;

/**
 * Reads what a target says of its load.
 * @param text - Value of the load header; undefined if it is not there.
 * @param isHealthy - Whether the target says that it is well.
 * @param now - Monotonic milliseconds.
 * @returns The reading; undefined if the header is not there or can't be read.
 * @example
 * readLoad('3,0,8,400', true, 0)?.slowdown; // 4
 */
export function readLoad(
  text: string | undefined,
  isHealthy: boolean,
  now: number,
): LoadReading | undefined {
  if (text === undefined) return undefined;
  const figures = text.split(',').map((part) => Number(part.trim()));
  const [running, waiting, slots, slowdown = PERCENT] = figures;
  const isReadable =
    figures.length >= 3 && figures.every((figure) => Number.isFinite(figure) && figure >= 0);
  if (!isReadable || slots === 0) return undefined;
  return { at: now, running, waiting, slots, slowdown: slowdown / PERCENT, isHealthy };
}
