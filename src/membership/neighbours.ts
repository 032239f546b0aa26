/**
 * Selects the peers that a daemon exchanges state with. The members are arranged on a few rings,
 * each in a different pseudo-random order, and every daemon exchanges with its successor on each.
 * The result is a random graph of small degree, in which a change reaches all members in a number
 * of hops logarithmic in the size of the group. Neighbours exchange in every period, so that the
 * deltas between them stay small.
 */
import { hash32 } from '../common/hash.js';

const HASH_RANGE = 0x1_0000_0000;
/** Number of rings, and so of exchanges with neighbours that a daemon starts in each period. */
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
