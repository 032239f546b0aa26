/**
 * Batches small tasks that are cheaper to run together. Under light load a task runs at once; when
 * there are many in a short window, further ones are deferred to the window's end.
 */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';

const WINDOW_MS = 20;
/** Number of tasks in a window that are not deferred. */
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

  /** Counts a task in the window; true if it should be passed to `defer`. */
  shouldDefer(): boolean {
    this.#openWindow();
    this.#requested += 1;
    return this.#requested > MAX_IMMEDIATE;
  }

  /** Calls `work` at the end of the window. */
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
