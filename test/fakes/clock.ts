/**
 * Virtual time. `advance` runs scheduled actions in order of time and lets promises settle after
 * each one, so that runs with the same seed are identical.
 */
import type { SchedulerLike, Subscription } from 'rxjs';
import { Action } from './action.js';
import type { Work } from './action.js';
import { TimerHeap } from './timerheap.js';

/** Resolves after all promises that are ready have settled. */
export function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export class VirtualClock implements SchedulerLike {
  readonly #queue = new TimerHeap();

  #now = 0;

  #order = 0;

  now(): number {
    return this.#now;
  }

  /** Calls `fire` at the time `at`. */
  at(at: number, fire: () => void): void {
    this.#order += 1;
    this.#queue.push({ at, order: this.#order, fire });
  }

  schedule<Value>(work: Work<Value>, delay = 0, state?: Value): Subscription {
    return new Action<Value>(this, work).schedule(state, delay);
  }

  async advance(ms: number): Promise<void> {
    const until = this.#now + ms;
    await settle();
    for (let next = this.#queue.first; next && next.at <= until; next = this.#queue.first) {
      this.#queue.pop();
      this.#now = next.at;
      next.fire();
      // eslint-disable-next-line no-await-in-loop -- actions run one after another
      await settle();
    }
    this.#now = until;
  }
}
