import type { FittedLine, SlopePoint } from './fitLine.js';
import { fitLine } from './fitLine.js';

/** Jobs that an entry process does, and the two systems beside it. */
export type Role =
  | 'callerFacing'
  | 'targetDriving'
  | 'peerExchange'
  | 'configuration'
  | 'membership'
  | 'requestKeys'
  | 'measuring'
  | 'store'
  | 'publishing';

/** What a cost is counted in. */
export type CostUnit =
  | 'µs of processor'
  | 'bytes of memory'
  | 'bytes sent'
  | 'bytes stored'
  | 'calls/s'
  | 'messages/s'
  | 'bytes/s';

/** A cost that grows with one size, as measured. */
export interface Slope {
  readonly role: Role;
  /** What was measured, in a few words. */
  readonly what: string;
  /** What the size counts. */
  readonly per: string;
  readonly unit: CostUnit;
  readonly points: readonly SlopePoint[];
  readonly line: FittedLine;
}

/** What names a slope, without its measurements. */
export type SlopeName = Omit<Slope, 'points' | 'line'>;

/**
 * Measures a cost at each of some sizes and fits a line.
 * @param name - What the slope is called.
 * @param sizes - Three or more sizes.
 * @param measure - Gives the cost at a size.
 */
export function measureSlope(
  name: SlopeName,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  const points = sizes.map((size) => ({ size, cost: measure(size) }));
  return { ...name, points, line: fitLine(points) };
}
