/**
 * The kinds of shared state, each with its own part of the bytes that may be published in a second,
 * so that one kind that grows makes only its own values older.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

const PARTS = ['load', 'demand', 'other'] as const;

export type Part = typeof PARTS[number];

/** Length of the entries' JSON by part. */
export type Sizes = Readonly<Record<Part, number>>;

/** JSON that all daemons together may publish in a second. */
const BYTES_PER_SECOND: Sizes = { load: 13_000, demand: 4_000, other: 3_000 };
/** The shortest time between two changes of one key. */
const PUBLISH_INTERVAL_MS = 1_000;

export const NO_SIZES: Sizes = { load: 0, demand: 0, other: 0 };

function partOf(key: string): Part {
  const prefix = key.slice(0, key.indexOf('/'));
  return PARTS.find((part) => part === prefix) ?? 'other';
}

/** `sizes` after an entry of the key has grown by `change`. */
export function resized(sizes: Sizes, key: string, change: number): Sizes {
  const part = partOf(key);
  return { ...sizes, [part]: sizes[part] + change };
}

/** The part's bytes per second, and what the parts that need less leave, by their own bytes. */
function bytesPerSecond(sizes: Sizes, part: Part): number {
  const isOver = (other: Part) => sizes[other] > BYTES_PER_SECOND[other];
  const spare = PARTS.filter((other) => !isOver(other))
    .reduce((sum, other) => sum + BYTES_PER_SECOND[other] - sizes[other], 0);
  const wanted = PARTS.filter(isOver)
    .reduce((sum, other) => sum + BYTES_PER_SECOND[other], 0);
  const own = BYTES_PER_SECOND[part];
  return isOver(part) ? own + (spare * own) / wanted : own;
}

/** The interval between two changes of a key: longer as its part of the state grows. */
export function intervalMs(sizes: Sizes, key: string): number {
  const part = partOf(key);
  const spread = (sizes[part] * MILLISECONDS_PER_SECOND) / bytesPerSecond(sizes, part);
  return Math.max(PUBLISH_INTERVAL_MS, spread);
}
