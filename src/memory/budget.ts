/**
 * One budget over the memory that the process holds for others: bodies of requests and answers that
 * are not read yet. It accounts for what each holds and decides who gives way when it is short. It
 * frees nothing itself: whoever holds memory is told, and lets go of it.
 */
import { countGarbage } from './garbage.js';
import { firstToGiveWay, isSmall } from './order.js';
import type { Claim } from './order.js';

/** Part of the budget that only small requests may use, so that large ones can't keep them out. */
const SMALL_SHARE = 0.125;
/** Weight of the latest holding in the mean time for which one is held. */
const MEAN_WEIGHT = 0.1;
const INITIAL_MEAN_MS = 1_000;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 5_000;

/** @property onEvicted lets go of the memory; called once at most, and not after `release` */
export interface HoldingOptions {
  readonly kind: Claim['kind'];
  readonly isKnown: boolean;
  /** Bytes at its end, or at most if that is not known. */
  readonly expectedBytes: number;
  readonly now: number;
  readonly onEvicted: () => void;
}

/** What one request or answer holds. */
interface Entry extends Claim {
  bytes: number;
  isFixed: boolean;
  readonly onEvicted: () => void;
}

export interface Holding {
  /** Sets how much is held; false if this holding itself had to give way. */
  resize(bytes: number, now: number): boolean;
  /** From now on it does not give way any more: a request that was read whole is served. */
  fix(): void;
  release(now: number): void;
}

export class MemoryBudget {
  readonly capacity: number;

  readonly #entries = new Set<Entry>();

  #held = 0;

  #fixed = 0;

  #evictions = 0;

  #meanMs = INITIAL_MEAN_MS;

  private constructor(capacity: number) {
    this.capacity = capacity;
  }

  /** @param capacity in bytes */
  static of(capacity: number): MemoryBudget {
    return new MemoryBudget(capacity);
  }

  /** Bytes held for others. */
  get held(): number {
    return this.#held;
  }

  /** Holdings that had to give way. */
  get evictions(): number {
    return this.#evictions;
  }

  /** When a refused caller may find room: after about as long as large requests are held. */
  get retryAfterMs(): number {
    return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, this.#meanMs)));
  }

  /** Whether a request of a known length could be held if all that can give way did. */
  hasRoomFor(bytes: number): boolean {
    return isSmall(bytes) || this.#fixed + bytes <= this.#limitOf(bytes);
  }

  hold(options: HoldingOptions): Holding {
    const { now: startedAt, ...rest } = options;
    const entry: Entry = {
      ...rest, startedAt, bytes: 0, isFixed: false,
    };
    this.#entries.add(entry);
    return {
      resize: (bytes, now) => this.#resize(entry, bytes, now),
      fix: () => {
        if (!entry.isFixed && this.#entries.has(entry)) this.#fixed += entry.bytes;
        entry.isFixed = true;
      },
      release: (now) => this.#release(entry, now),
    };
  }

  #limitOf(bytes: number): number {
    return isSmall(bytes) ? this.capacity : this.capacity * (1 - SMALL_SHARE);
  }

  #resize(entry: Entry, bytes: number, now: number): boolean {
    if (!this.#entries.has(entry)) return false;
    const isGrowing = bytes > entry.bytes;
    if (!isGrowing) countGarbage(entry.bytes - bytes);
    this.#held += bytes - entry.bytes;
    if (entry.isFixed) this.#fixed += bytes - entry.bytes;
    const changed = entry;
    changed.bytes = bytes;
    while (isGrowing && this.#held > this.#limitOf(bytes)) {
      const victim = firstToGiveWay([...this.#entries], now) ?? entry;
      this.#remove(victim);
      this.#evictions += 1;
      if (victim === entry) return false;
      victim.onEvicted();
    }
    return true;
  }

  #release(entry: Entry, now: number): void {
    if (!this.#entries.has(entry)) return;
    if (!isSmall(entry.bytes)) {
      this.#meanMs += MEAN_WEIGHT * (now - entry.startedAt - this.#meanMs);
    }
    this.#remove(entry);
  }

  #remove(entry: Entry): void {
    this.#entries.delete(entry);
    this.#held -= entry.bytes;
    countGarbage(entry.bytes);
    if (entry.isFixed) this.#fixed -= entry.bytes;
  }
}
