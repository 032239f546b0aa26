/** Seeded random numbers, so that runs with the same seed and events make the same choices. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const HEX = 16;
const MAX_INT = 0x7fff_ffff;
/** The largest seed of a generation or of `Random`. */
export const MAX_SEED = MAX_INT;

export class Random {
  readonly #generator: RandomGenerator;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** @param seed a 32-bit integer */
  static of(seed: number): Random {
    return new Random(seed);
  }

  /** An integer from `from` to `to`, both inclusive. */
  integer(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  /** A number from 0 up to, but not including, 1. */
  fraction(): number {
    return uniformFloat64(this.#generator);
  }

  /** `value` scaled by a factor between `1 - spread` and `1 + spread`. */
  jitter(value: number, spread: number): number {
    return value * (1 - spread + 2 * spread * this.fraction());
  }

  /** One of `items`, which must not be empty. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** The items in a random order. */
  shuffled<Item>(items: readonly Item[]): readonly Item[] {
    return items.map((item) => ({ item, order: this.fraction() }))
      .sort((left, right) => left.order - right.order)
      .map(({ item }) => item);
  }

  /** 124 random bits in hexadecimal, for identifiers that don't have to be secret. */
  identifier(): string {
    return Array.from({ length: 4 }, () => this.integer(0, MAX_INT).toString(HEX).padStart(8, '0'))
      .join('');
  }
}
