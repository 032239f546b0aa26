/**
 * The concurrency from which on a server answers less in the same time. By Little's law, the rate
 * is the number of running requests over the time that each takes. Pure functions.
 */
import { bandOf, BANDS } from './bands.js';
import type { Point } from './bands.js';
import { PACE_KINDS } from './observation.js';
import type { PaceKind } from './observation.js';

/** Observations that a band needs for a comparison. */
const MIN_WEIGHT = 3;
/** Logarithm of the loss of rate, beyond what may be noise, that counts: 15%. */
const MIN_LOSS = 0.14;
/** Standard errors that count as noise. */
const NOISE = 3;

/** Share of what age took that new observations must replace in a band that is in use. */
const MIN_RENEWAL = 0.3;

type Mean = Omit<Point, 'kind'>;

/** Weights of a server's bands, by kind and band. */
export type BandWeights = ReadonlyMap<string, number>;

export function bandWeights(points: readonly Point[]): BandWeights {
  const weights = new Map<string, number>();
  points.forEach(({ kind, weight, concurrency }) => {
    const key = `${kind} ${bandOf(concurrency)}`;
    weights.set(key, (weights.get(key) ?? 0) + weight);
  });
  return weights;
}

function meanOf(points: readonly Point[]): Mean {
  const weight = points.reduce((sum, point) => sum + point.weight, 0);
  const mean = (value: (point: Point) => number) => (
    points.reduce((sum, point) => sum + point.weight * value(point), 0) / Math.max(weight, 1e-9));
  return {
    weight, concurrency: mean((point) => point.concurrency), level: mean((point) => point.level),
  };
}

/** Whether the rate at `upper` is lower than at `lower`. */
function losesRate(lower: Mean, upper: Mean, deviation: number): boolean {
  const loss = upper.level - lower.level - Math.log(upper.concurrency / lower.concurrency);
  const error = deviation * Math.sqrt(1 / lower.weight + 1 / upper.weight);
  return loss > Math.max(MIN_LOSS, NOISE * error);
}

/**
 * The lowest band that the server doesn't take well; undefined if there is none. The time to a
 * first event doesn't count: it depends on the prompts that are ahead.
 *
 * Only bands that are both in use now are compared: a server that was slow, and recovers, has old
 * observations at the one and new ones at the other.
 *
 * @param points of one server
 * @param before the weights that age would have left without new observations, and those then
 * @param deviation of single observations, by kind
 */
export function overloadedBand(
  points: readonly Point[],
  deviation: (kind: PaceKind) => number,
  before: { readonly weights: BandWeights; readonly left: number },
): number | undefined {
  const now = bandWeights(points);
  const isInUse = (kind: PaceKind, band: number) => {
    const key = `${kind} ${band}`;
    const least = before.left + (1 - before.left) * MIN_RENEWAL;
    return (now.get(key) ?? 0) >= (before.weights.get(key) ?? 0) * least;
  };
  const found = PACE_KINDS.filter((kind) => kind !== 'first').flatMap((kind) => {
    const means = Array.from({ length: BANDS }, (_, band) => meanOf(points.filter((point) => (
      point.kind === kind && bandOf(point.concurrency) === band))));
    const isCompared = (index: number) => (
      means[index]!.weight >= MIN_WEIGHT && isInUse(kind, index));
    const band = means.findIndex((upper, index) => isCompared(index)
      && means.slice(0, index).some((lower, at) => (
        isCompared(at) && losesRate(lower, upper, deviation(kind)))));
    return band < 0 ? [] : [band];
  });
  return found.length > 0 ? Math.min(...found) : undefined;
}
