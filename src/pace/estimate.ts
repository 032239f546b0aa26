/**
 * Estimates how fast the servers of a service are against its mean. The logarithm of a time is
 * taken as the sum of a part of the server and one that grows with its concurrency: a server that
 * is fast, and therefore gets more requests, doesn't look slow. Pure functions over plain values.
 */
import type { Point } from './bands.js';
import { PACE_KINDS } from './observation.js';
import type { PaceKind } from './observation.js';

/** Growth of the time's logarithm from an idle to a full server that is assumed at first. */
const PRIOR_SLOPE = 0.5;
/** Weight of the assumption: that of some observations spread over the whole range. */
const PRIOR_SLOPE_WEIGHT = 0.2;
const MAX_SLOPE = 2;
/** Servers whose logarithms differ less from the mean count as alike: 10%. */
const ALIKE = 0.1;
/** Standard errors that count as noise. */
const NOISE = 2;

/** Points of one server, as far as it takes their concurrency well. */
export interface ServerPoints {
  readonly server: string;
  readonly points: readonly Point[];
}

export interface ServerEstimate {
  /** Time against the service's mean: 1 within noise, 2 for a server that takes twice as long. */
  readonly factor: number;
  /** The same without a dead band. */
  readonly rawFactor: number;
  /** Observations that it stands for, by what their age leaves of them. */
  readonly observations: number;
}

/** Mean of a kind over a service. */
export interface Centre {
  readonly level: number;
  readonly slope: number;
  readonly weight: number;
}

export interface ServiceEstimate {
  readonly servers: ReadonlyMap<string, ServerEstimate>;
  readonly centres: ReadonlyMap<PaceKind, Centre>;
}

/** How far a server is from its service's mean by one kind of observations. */
interface Offset {
  readonly server: string;
  readonly weight: number;
  readonly offset: number;
  readonly variance: number;
}

function sum<Item>(items: readonly Item[], value: (item: Item) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function weightOf(points: readonly Point[]): number {
  return sum(points, ({ weight }) => weight);
}

function meanOf(points: readonly Point[], value: (point: Point) => number): number {
  return sum(points, (point) => point.weight * value(point)) / weightOf(points);
}

/** Common slope of the servers' levels over their concurrency. */
function slopeOf(servers: readonly ServerPoints[]): number {
  const parts = servers.map(({ points }) => {
    const concurrency = meanOf(points, (point) => point.concurrency);
    const level = meanOf(points, (point) => point.level);
    return {
      xx: sum(points, (point) => point.weight * (point.concurrency - concurrency) ** 2),
      xy: sum(points, (point) => (
        point.weight * (point.concurrency - concurrency) * (point.level - level))),
    };
  });
  const slope = (sum(parts, ({ xy }) => xy) + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT)
    / (sum(parts, ({ xx }) => xx) + PRIOR_SLOPE_WEIGHT);
  return Math.min(MAX_SLOPE, Math.max(0, slope));
}

/** Zero for what may be noise; continuous, so that a choice doesn't flip at a threshold. */
function withDeadBand(offset: number, deviation: number): number {
  const band = Math.max(ALIKE, NOISE * deviation);
  return offset * Math.min(1, Math.max(0, (Math.abs(offset) - band) / band));
}

/** @param deviation of single observations, by kind */
export function estimateService(
  servers: readonly ServerPoints[],
  deviation: (kind: PaceKind) => number,
): ServiceEstimate {
  const centres = new Map<PaceKind, Centre>();
  const offsets: readonly Offset[] = PACE_KINDS.flatMap((kind) => {
    const seen = servers
      .map(({ server, points }) => (
        { server, points: points.filter((point) => point.kind === kind) }))
      .filter(({ points }) => weightOf(points) > 0);
    if (seen.length === 0) return [];
    const slope = slopeOf(seen);
    const levels = seen.map(({ server, points }) => ({
      server,
      weight: weightOf(points),
      level: meanOf(points, (point) => point.level - slope * point.concurrency),
    }));
    // What is hardly known moves the mean little.
    const share = ({ weight }: { readonly weight: number }) => weight / (weight + 1);
    const level = sum(levels, (each) => share(each) * each.level) / sum(levels, share);
    centres.set(kind, { level, slope, weight: sum(levels, ({ weight }) => weight) });
    return levels.map((each) => ({
      server: each.server,
      weight: each.weight,
      offset: each.level - level,
      variance: deviation(kind) ** 2,
    }));
  });
  const estimates = servers.map(({ server }): readonly [string, ServerEstimate] => {
    const own = offsets.filter((offset) => offset.server === server);
    const observations = sum(own, ({ weight }) => weight);
    if (observations === 0) return [server, { factor: 1, rawFactor: 1, observations }];
    const offset = sum(own, (each) => each.weight * each.offset) / observations;
    const error = Math.sqrt(sum(own, (each) => each.weight * each.variance)) / observations;
    return [server, {
      factor: Math.exp(withDeadBand(offset, error)), rawFactor: Math.exp(offset), observations,
    }];
  });
  return { servers: new Map(estimates), centres };
}
