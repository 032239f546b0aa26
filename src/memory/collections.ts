/**
 * Responses that are held until they are whole. Long ones share half of the memory budget. When it
 * is used up they are not read on, except the oldest, so that one always ends and makes room.
 */
import type { SchedulerLike } from 'rxjs';
import type { Holding, MemoryBudget } from './budget.js';

const BUDGET_SHARE = 0.5;

interface Entry {
  bytes: number;
  isWaiting: boolean;
  readonly holding: Holding;
  readonly onRoom: () => void;
}

export interface Collection {
  /** Sets how much is held; false if it is not to be read on before `onRoom` is called. */
  resize(bytes: number): boolean;
  end(): void;
}

export class Collections {
  readonly #budget: MemoryBudget;

  readonly #scheduler: SchedulerLike;

  /** In the order in which they were begun. */
  readonly #entries = new Set<Entry>();

  #held = 0;

  private constructor(budget: MemoryBudget, scheduler: SchedulerLike) {
    this.#budget = budget;
    this.#scheduler = scheduler;
  }

  static of(budget: MemoryBudget, scheduler: SchedulerLike): Collections {
    return new Collections(budget, scheduler);
  }

  /** @param onRoom called when one that was told to wait may be read on */
  begin(isKnown: boolean, onRoom: () => void): Collection {
    const holding = this.#budget.hold({
      kind: 'answer',
      isKnown,
      expectedBytes: 0,
      now: this.#scheduler.now(),
      onEvicted: () => undefined,
    });
    // It waits instead of giving way: a server has run the request.
    holding.fix();
    const entry: Entry = {
      bytes: 0, isWaiting: false, holding, onRoom,
    };
    this.#entries.add(entry);
    return {
      resize: (bytes) => this.#resize(entry, bytes),
      end: () => this.#end(entry),
    };
  }

  #hasRoom(entry: Entry): boolean {
    const [oldest] = this.#entries;
    return entry === oldest || this.#held <= this.#budget.capacity * BUDGET_SHARE;
  }

  #resize(entry: Entry, bytes: number): boolean {
    const resized = entry;
    this.#held += bytes - entry.bytes;
    resized.bytes = bytes;
    entry.holding.resize(bytes, this.#scheduler.now());
    resized.isWaiting = !this.#hasRoom(entry);
    return !entry.isWaiting;
  }

  #end(entry: Entry): void {
    if (!this.#entries.delete(entry)) return;
    this.#held -= entry.bytes;
    entry.holding.release(this.#scheduler.now());
    [...this.#entries].forEach((other) => {
      if (!other.isWaiting || !this.#entries.has(other) || !this.#hasRoom(other)) return;
      const woken = other;
      woken.isWaiting = false;
      other.onRoom();
    });
  }
}
