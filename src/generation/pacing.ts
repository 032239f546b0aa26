/**
 * Limits the attempts that follow a loss, so that the streams of a dead engine don't overload the
 * next one: only a limited number may be between dispatch and first token; the rest wait in the
 * order of their priority.
 */
import { Observable } from 'rxjs';
import type { Priority } from '../common/priority.js';

const RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };

/** Allows one attempt to start; `release` has an effect only once. */
export interface Permit { release(): void }

interface Waiter {
  readonly rank: number;
  readonly grant: () => void;
}

export class ResumePacer {
  readonly #limit: () => number;

  readonly #waiting: Waiter[] = [];

  #held = 0;

  private constructor(limit: () => number) {
    this.#limit = limit;
  }

  /** @param limit number of permits that may be held at once; called for each admission */
  static of(limit: () => number): ResumePacer {
    return new ResumePacer(limit);
  }

  /** Number of permits held. */
  get held(): number {
    return this.#held;
  }

  /** Emits a permit when one is free and completes; unsubscribing before leaves the queue. */
  acquire(priority: Priority): Observable<Permit> {
    return new Observable((subscriber) => {
      const waiter: Waiter = {
        rank: RANK[priority],
        grant: () => {
          this.#held += 1;
          subscriber.next(this.#permit());
          subscriber.complete();
        },
      };
      const after = this.#waiting.findIndex(({ rank }) => rank > waiter.rank);
      this.#waiting.splice(after < 0 ? this.#waiting.length : after, 0, waiter);
      this.#admit();
      return () => {
        const index = this.#waiting.indexOf(waiter);
        if (index >= 0) this.#waiting.splice(index, 1);
      };
    });
  }

  #permit(): Permit {
    let held = true;
    return {
      release: () => {
        if (!held) return;
        held = false;
        this.#held -= 1;
        this.#admit();
      },
    };
  }

  #admit(): void {
    const limit = Math.max(1, this.#limit());
    while (this.#held < limit && this.#waiting.length > 0) this.#waiting.shift()?.grant();
  }
}
