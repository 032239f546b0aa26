/**
 * Versions of a store that can be restored from a backup, after which it gives out the same
 * revisions again. The epoch, which rises with each restore, makes every version after a restore
 * higher than all before it.
 */

/** Above every revision: eight years of 400 writes a second. */
export const EPOCH_STRIDE = 1e11;
/** Up to here versions are exact integers. */
export const MAX_EPOCH = 90_000;

/** Above every version. */
export const VERSION_LIMIT = (MAX_EPOCH + 1) * EPOCH_STRIDE;

export function versionOf(epoch: number, revision: number): number {
  return epoch * EPOCH_STRIDE + revision;
}

/** The number of restores before a version, or the store's own count of them. */
export function epochOf(version: number): number {
  return Math.floor(version / EPOCH_STRIDE);
}

/** The revision that the store gave out. */
export function revisionOf(version: number): number {
  return version % EPOCH_STRIDE;
}
