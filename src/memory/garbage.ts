/**
 * Has buffers collected that are not used any more. V8 sees little of their size: it lets some 100
 * MB of them wait for a collection, beside which the memory budget would mean little. Where the
 * program runs without Node's flag `--expose-gc`, collections come when V8 wants them.
 */

/** What may wait for a collection. */
const MAX_GARBAGE_BYTES = 12_582_912;

let garbageBytes = 0;

/** Counts buffers that were let go. */
export function countGarbage(bytes: number): void {
  garbageBytes += bytes;
  if (garbageBytes < MAX_GARBAGE_BYTES) return;
  garbageBytes = 0;
  // What has just been let go is still referred to.
  setImmediate(() => {
    globalThis.gc?.();
  });
}
