/** Least-squares lines through measurements, with the spread of their slopes. */

export interface Point { readonly x: number; readonly y: number }

export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function fitLine(points: readonly Point[]): Line {
  const centreX = mean(points.map(({ x }) => x));
  const centreY = mean(points.map(({ y }) => y));
  const spreadX = points.reduce((sum, { x }) => sum + (x - centreX) ** 2, 0);
  const slope = points
    .reduce((sum, { x, y }) => sum + (x - centreX) * (y - centreY), 0) / spreadX;
  const intercept = centreY - slope * centreX;
  const residual = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  const slopeError = Math.sqrt(residual / Math.max(1, points.length - 2) / spreadX);
  return { slope, intercept, slopeError };
}

/** The value below which `fraction` of `values` lie. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
