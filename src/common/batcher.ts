/**
 * Batches small pieces of work that cost less together. While there is little of it, each piece is
 * done in the turn of the loop that asked for it; past that it waits for the end of a short window.
 */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';

const WINDOW_MS = 20;
/** Pieces of work in one window that are done at once. */
const MAX_IMMEDIATE = 40;

export class Batcher {
  readonly #scheduler: SchedulerLike;

  #deferred: (() => void)[] = [];

  #requested = 0;

  #windowOpen = false;

  private constructor(scheduler: SchedulerLike) {
    this.#scheduler = scheduler;
  }

  static of(scheduler: SchedulerLike): Batcher {
    return new Batcher(scheduler);
  }

  /** Counts a piece of work; whether it had better wait for the end of the window. */
  shouldDefer(): boolean {
    this.#openWindow();
    this.#requested += 1;
    return this.#requested > MAX_IMMEDIATE;
  }

  /** Calls `work` once at the end of the window. */
  defer(work: () => void): void {
    this.#openWindow();
    this.#deferred.push(work);
  }

  #openWindow(): void {
    if (this.#windowOpen) return;
    this.#windowOpen = true;
    timer(WINDOW_MS, this.#scheduler).subscribe(() => {
      const deferred = this.#deferred;
      this.#deferred = [];
      this.#requested = 0;
      this.#windowOpen = false;
      deferred.forEach((work) => work());
    });
  }
}
