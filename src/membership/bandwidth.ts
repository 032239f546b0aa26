/**
 * Bandwidth limits on the shared state. Each category of keys has its own share of the bytes that
 * may be published per second, so that growth of one category delays only its own updates.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

const CATEGORIES = ['load', 'demand', 'other'] as const;

export type Category = typeof CATEGORIES[number];

/** Total length of the entries' JSON in each category. */
export type Sizes = Readonly<Record<Category, number>>;

/** Bytes of JSON per second that all daemons together may publish. */
const BYTES_PER_SECOND: Sizes = { load: 13_000, demand: 4_000, other: 3_000 };
/** The shortest interval between two changes of one key. */
const MIN_PUBLISH_INTERVAL_MS = 1_000;

export const NO_SIZES: Sizes = { load: 0, demand: 0, other: 0 };

function categoryOf(key: string): Category {
  const prefix = key.slice(0, key.indexOf('/'));
  return CATEGORIES.find((category) => category === prefix) ?? 'other';
}

/** `sizes` after the entry of `key` has grown by `change` bytes. */
export function resized(sizes: Sizes, key: string, change: number): Sizes {
  const category = categoryOf(key);
  return { ...sizes, [category]: sizes[category] + change };
}

/**
 * The category's bytes per second. Categories that exceed their share divide what the others leave
 * unused, in proportion to their shares.
 */
function bytesPerSecond(sizes: Sizes, category: Category): number {
  const isOver = (other: Category) => sizes[other] > BYTES_PER_SECOND[other];
  const spare = CATEGORIES.filter((other) => !isOver(other))
    .reduce((sum, other) => sum + BYTES_PER_SECOND[other] - sizes[other], 0);
  const overWeight = CATEGORIES.filter(isOver)
    .reduce((sum, other) => sum + BYTES_PER_SECOND[other], 0);
  const own = BYTES_PER_SECOND[category];
  return isOver(category) ? own + (spare * own) / overWeight : own;
}

/** The interval between two changes of `key`, which grows with the size of its category. */
export function publishIntervalMs(sizes: Sizes, key: string): number {
  const category = categoryOf(key);
  const intervalMs = (sizes[category] * MILLISECONDS_PER_SECOND) / bytesPerSecond(sizes, category);
  return Math.max(MIN_PUBLISH_INTERVAL_MS, intervalMs);
}
