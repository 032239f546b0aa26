/**
 * Which peers a daemon exchanges state with. The members stand on a few rings, each in another
 * pseudo-random order, and everyone exchanges with its successor on each: a random graph of small
 * degree in which a change reaches all in a number of steps that grows with the logarithm of the
 * members, and in which two neighbours meet in every period, so that deltas stay small.
 */
import { hash32 } from '../common/hash.js';

const HASH_RANGE = 0x1_0000_0000;
/** Rings, and so the exchanges that a daemon starts in a period. */
const RINGS = 2;

function successor(self: string, names: readonly string[], ring: number): string | undefined {
  const own = hash32(self, ring);
  const distance = (name: string) => (hash32(name, ring) - own + HASH_RANGE) % HASH_RANGE;
  let best: string | undefined;
  let shortest = Infinity;
  names.forEach((name) => {
    const away = name === self ? Infinity : distance(name);
    if (away < shortest) [best, shortest] = [name, away];
  });
  return best;
}

/** The distinct successors of `self` among `names`. */
export function successors(self: string, names: readonly string[]): readonly string[] {
  const found = Array.from({ length: RINGS }, (_, ring) => successor(self, names, ring));
  return [...new Set(found.filter((name) => name !== undefined))];
}
