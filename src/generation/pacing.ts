/**
 * Paces the attempts that follow a loss, so that the streams of a dead engine don't overload
 * the next one: only so many may be between their dispatch and their first token, and the rest wait
 * in the order of their priority.
 */
import { Observable } from 'rxjs';
import type { Priority } from '../common/priority.js';

const RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };

/** A place among the attempts that are getting under way; give it back once. */
export interface Permit { release(): void }

interface Waiter {
  readonly rank: number;
  readonly enter: () => void;
}

export class ResumePacer {
  readonly #limit: () => number;

  readonly #waiting: Waiter[] = [];

  #entered = 0;

  private constructor(limit: () => number) {
    this.#limit = limit;
  }

  /** @param limit how many may be under way at once; asked anew each time */
  static of(limit: () => number): ResumePacer {
    return new ResumePacer(limit);
  }

  /** Attempts under way. */
  get entered(): number {
    return this.#entered;
  }

  /** Emits a permit once there is room and completes; unsubscribing before that leaves the line. */
  enter(priority: Priority): Observable<Permit> {
    return new Observable((subscriber) => {
      const waiter: Waiter = {
        rank: RANK[priority],
        enter: () => {
          this.#entered += 1;
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
        this.#entered -= 1;
        this.#admit();
      },
    };
  }

  #admit(): void {
    const limit = Math.max(1, this.#limit());
    while (this.#entered < limit && this.#waiting.length > 0) this.#waiting.shift()?.enter();
  }
}
