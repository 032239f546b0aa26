/**
 * Batches small pieces of work that cost less together. While there is little of it, each piece is
 * done in the turn of the loop that asked for it; past that it waits for the end of a short window.
 */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';

const WINDOW_MS = 20;
/** Pieces of work in one window that are done at once. */
const IMMEDIATE = 40;

export class Batch {
  readonly #scheduler: SchedulerLike;

  #waiting: (() => void)[] = [];

  #asked = 0;

  #open = false;

  private constructor(scheduler: SchedulerLike) {
    this.#scheduler = scheduler;
  }

  static of(scheduler: SchedulerLike): Batch {
    return new Batch(scheduler);
  }

  /** Counts a piece of work; whether it had better wait for the end of the window. */
  crowded(): boolean {
    this.#openWindow();
    this.#asked += 1;
    return this.#asked > IMMEDIATE;
  }

  /** Calls `work` once at the end of the window. */
  later(work: () => void): void {
    this.#openWindow();
    this.#waiting.push(work);
  }

  #openWindow(): void {
    if (this.#open) return;
    this.#open = true;
    timer(WINDOW_MS, this.#scheduler).subscribe(() => {
      const waiting = this.#waiting;
      this.#waiting = [];
      this.#asked = 0;
      this.#open = false;
      waiting.forEach((work) => work());
    });
  }
}
