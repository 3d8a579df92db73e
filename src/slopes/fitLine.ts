/** One measurement: a size and what it cost. */
export interface SlopePoint {
  readonly size: number;
  readonly cost: number;
}

/** A straight line through measurements. */
export interface FittedLine {
  /** Cost of one more. */
  readonly slope: number;
  /** Cost at size nought. */
  readonly intercept: number;
  /** Share of the variance that the line explains, between 0 and 1. */
  readonly rSquared: number;
}

/**
 * Fits a line by least squares.
 * @param points - Two or more measurements at different sizes.
 * @throws RangeError if all sizes are the same.
 * @example
 * fitLine([{ size: 1, cost: 3 }, { size: 2, cost: 5 }, { size: 3, cost: 7 }]).slope; // 2
 */
export function fitLine(points: readonly SlopePoint[]): FittedLine {
  const count = points.length;
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
  const meanCost = points.reduce((sum, point) => sum + point.cost, 0) / count;
  let sizeSquares = 0;
  let products = 0;
  let costSquares = 0;
  for (const point of points) {
    sizeSquares += (point.size - meanSize) ** 2;
    products += (point.size - meanSize) * (point.cost - meanCost);
    costSquares += (point.cost - meanCost) ** 2;
  }
  if (!(sizeSquares > 0)) throw new RangeError('a line needs measurements at two sizes or more');
  const slope = products / sizeSquares;
  const rSquared = costSquares === 0 ? 1 : products ** 2 / (sizeSquares * costSquares);
  return { slope, intercept: meanCost - slope * meanSize, rSquared };
}
