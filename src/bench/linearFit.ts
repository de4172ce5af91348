/** A straight line fitted to measured points. */
export interface LinearFit {
  slope: number;
  intercept: number;
  /** Maximum vertical distance of a point from the line, in the unit of the value. */
  maxResidual: number;
}

/**
 * Fits a line to points by least squares.
 *
 * @example
 * const { slope, intercept } = computeLinearFit([{ x: 10, y: 1 }, { x: 20, y: 2 }]);
 */
export function computeLinearFit(points: readonly { x: number; y: number }[]): LinearFit {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope =
    sumOfSquares === 0 ? 0 : points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / sumOfSquares;
  const intercept = meanY - slope * meanX;
  const maxResidual = Math.max(...points.map(({ x, y }) => Math.abs(y - (slope * x + intercept))));
  return { slope, intercept, maxResidual };
}
