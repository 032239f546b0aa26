/**
 * Real time that a test can hold: until it is released, the clock stands still and no timer fires.
 * What is answered meanwhile has waited for no timer, however slow the machine is.
 */
import { Subscription } from 'rxjs';
import type { SchedulerAction, SchedulerLike } from 'rxjs';
import { monotonicScheduler } from '../../src/common/time.js';

type Work<Value> = (this: SchedulerAction<Value>, state?: Value) => void;

export class HeldClock implements SchedulerLike {
  #heldAt: number | undefined;

  #held: (() => void)[] = [];

  /** For how long the clock was held so far. */
  #pausedMs = 0;

  now(): number {
    return (this.#heldAt ?? monotonicScheduler.now()) - this.#pausedMs;
  }

  hold(): void {
    this.#heldAt ??= monotonicScheduler.now();
  }

  release(): void {
    if (this.#heldAt === undefined) return;
    this.#pausedMs += monotonicScheduler.now() - this.#heldAt;
    this.#heldAt = undefined;
    this.#held.splice(0).forEach((run) => run());
  }

  schedule<Value>(work: Work<Value>, delay = 0, state?: Value): Subscription {
    const perform = (action: SchedulerAction<Value>, value?: Value) => {
      if (this.#heldAt === undefined) work.call(action, value);
      else this.#held.push(() => !action.closed && perform(action, value));
    };
    return monotonicScheduler.schedule(function run(this: SchedulerAction<Value>, value?: Value) {
      perform(this, value);
    }, delay, state);
  }
}
