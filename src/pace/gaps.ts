/**
 * Time that a stream's events take, per character of their text: an event holds several tokens, and
 * not always as many. Events are taken in groups, since several may arrive at once, and the middle
 * group counts, since a long prompt of another request may delay one.
 */

const GROUP_EVENTS = 3;
const GROUPS = 3;

export class EventGaps {
  #startedAt: number | undefined;

  #events = 0;

  #length = 0;

  #groups: number[] = [];

  static of(): EventGaps {
    return new EventGaps();
  }

  /** @returns milliseconds per character, once there are enough events for a new value */
  add(length: number, now: number): number | undefined {
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      return undefined;
    }
    this.#events += 1;
    this.#length += length;
    if (this.#events < GROUP_EVENTS) return undefined;
    this.#groups.push((now - this.#startedAt) / Math.max(1, this.#length));
    this.#startedAt = now;
    this.#events = 0;
    this.#length = 0;
    return this.#groups.length < GROUPS ? undefined : this.take();
  }

  /** The middle of the groups since the last value; undefined if there are none. */
  take(): number | undefined {
    const sorted = this.#groups.sort((left, right) => left - right);
    this.#groups = [];
    return sorted[Math.floor((sorted.length - 1) / 2)];
  }
}
