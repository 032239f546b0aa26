/** An rxjs scheduler action on a virtual clock. */
import { Subscription } from 'rxjs';
import type { SchedulerAction } from 'rxjs';

export type Work<Value> = (this: SchedulerAction<Value>, state: Value) => void;

/** The part of a virtual clock that an action needs; `at` takes times on the scale of `now`. */
interface Clock {
  now(): number;

  at(at: number, fire: () => void): void;
}

export class Action<Value> extends Subscription implements SchedulerAction<Value> {
  readonly #clock: Clock;

  readonly #work: Work<Value>;

  #pending = 0;

  constructor(clock: Clock, work: Work<Value>) {
    super();
    this.#clock = clock;
    this.#work = work;
  }

  schedule(state?: Value, delay = 0): Subscription {
    if (this.closed) return this;
    this.#pending += 1;
    const scheduled = this.#pending;
    this.#clock.at(this.#clock.now() + Math.max(0, delay), () => {
      if (this.closed || scheduled !== this.#pending) return;
      this.#work.call(this, state as Value);
      if (scheduled === this.#pending) this.unsubscribe();
    });
    return this;
  }
}
