/**
 * Observations of one server, summed by kind and by band of concurrency. The sums lose weight with
 * age, so that they follow changes and take constant memory.
 */
import type { PaceKind, Sample } from './observation.js';

/** A band is a quarter of a server's slots. */
export const BANDS = 4;
/** A change has replaced most of what was known before after two or three half-lives. */
export const HALF_LIFE_MS = 3_000;
/** More observations than this of one instance give way to newer ones before they age. */
const MAX_WEIGHT = 12;

/** A mean of observations of one kind at a server, at about the same concurrency. */
export interface Point {
  readonly kind: PaceKind;
  /** Observations that it stands for, by what their age leaves of them. */
  readonly weight: number;
  readonly concurrency: number;
  readonly level: number;
}

export interface Spread {
  readonly weight: number;
  /** Sum of the squared deviations of levels from the mean of their band. */
  readonly squares: number;
}

interface Sums {
  readonly kind: PaceKind;
  readonly at: number;
  readonly weight: number;
  readonly concurrency: number;
  readonly level: number;
  readonly squaredLevel: number;
}

export function bandOf(concurrency: number): number {
  return Math.min(BANDS - 1, Math.floor(concurrency * BANDS));
}

/** What is left of a weight after a time. */
export function decay(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
}

function scaled(sums: Sums, by: number): Sums {
  return {
    ...sums,
    weight: sums.weight * by,
    concurrency: sums.concurrency * by,
    level: sums.level * by,
    squaredLevel: sums.squaredLevel * by,
  };
}

function decayed(sums: Sums, now: number): Sums {
  return { ...scaled(sums, decay(now - sums.at)), at: now };
}

export class Bands {
  readonly #sums = new Map<string, Sums>();

  static of(): Bands {
    return new Bands();
  }

  add(kind: PaceKind, { level, concurrency, weight }: Sample, now: number): void {
    const key = `${kind} ${bandOf(concurrency)}`;
    const known = decayed(this.#sums.get(key) ?? {
      kind, at: now, weight: 0, concurrency: 0, level: 0, squaredLevel: 0,
    }, now);
    const before = scaled(known, Math.min(1, (MAX_WEIGHT - weight) / Math.max(1, known.weight)));
    this.#sums.set(key, {
      kind,
      at: now,
      weight: before.weight + weight,
      concurrency: before.concurrency + weight * concurrency,
      level: before.level + weight * level,
      squaredLevel: before.squaredLevel + weight * level * level,
    });
  }

  points(now: number): readonly Point[] {
    return [...this.#sums.values()].filter(({ weight }) => weight > 0).map((sums) => {
      const { kind, weight } = sums;
      return {
        kind,
        weight: weight * decay(now - sums.at),
        concurrency: sums.concurrency / weight,
        level: sums.level / weight,
      };
    });
  }

  spread(kind: PaceKind, now: number): Spread {
    return [...this.#sums.values()].filter((sums) => sums.kind === kind && sums.weight > 0)
      .map((sums) => decayed(sums, now))
      .reduce((sum, { weight, level, squaredLevel }) => ({
        weight: sum.weight + weight,
        squares: sum.squares + Math.max(0, squaredLevel - (level * level) / weight),
      }), { weight: 0, squares: 0 });
  }
}
