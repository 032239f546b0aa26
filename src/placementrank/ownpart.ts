/**
 * The part of the engines' room that an instance may use. One that hears of no other can't tell
 * whether the others are gone or cut off from it, and they use the engines all the same: it takes
 * an even part, so that all instances together, each cut off from the others, fill no engine.
 */
import { largest, samplesSince, withSample } from '../limits/slidingmax.js';
import type { SlidingMax } from '../limits/slidingmax.js';

/** How long instances that are no longer heard of count: longer than most partitions. */
const MEMBERSHIP_WINDOW_MS = 300_000;

export class OwnPart {
  #counts: SlidingMax = [];

  #heard = 1;

  static of(): OwnPart {
    return new OwnPart();
  }

  /** Records how many instances, this one included, are heard of. */
  count(instances: number, now: number): void {
    this.#heard = instances;
    const recent = samplesSince(this.#counts, now - MEMBERSHIP_WINDOW_MS);
    this.#counts = instances > 1 ? withSample(recent, instances, now) : recent;
  }

  /** 1 while another instance is heard of, or if none ever was. */
  get share(): number {
    return this.#heard > 1 ? 1 : 1 / largest(this.#counts, 1);
  }

  /** Whether a run that needs `tokens` is within the part of an instance that uses `used`. */
  mayTake(tokens: number, used: number, capacity: number): boolean {
    // A part may be smaller than a run.
    return this.share === 1 || used === 0 || used + tokens <= this.share * capacity;
  }
}
