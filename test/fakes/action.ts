/** Work scheduled on a virtual clock, as rxjs schedules it. */
import { Subscription } from 'rxjs';
import type { SchedulerAction } from 'rxjs';

export type Work<Value> = (this: SchedulerAction<Value>, state: Value) => void;

/** The part of a virtual clock that an action needs. */
interface Clock {
  now(): number;

  at(at: number, fire: () => void): void;
}

/** Decides when an action that is due really runs. */
export type Gate = (fire: () => void) => void;

export class Action<Value> extends Subscription implements SchedulerAction<Value> {
  readonly #clock: Clock;

  readonly #work: Work<Value>;

  readonly #gate: Gate;

  #pending = 0;

  constructor(clock: Clock, work: Work<Value>, gate: Gate) {
    super();
    this.#clock = clock;
    this.#work = work;
    this.#gate = gate;
  }

  schedule(state?: Value, delay = 0): Subscription {
    if (this.closed) return this;
    this.#pending += 1;
    const token = this.#pending;
    this.#clock.at(this.#clock.now() + Math.max(0, delay), () => this.#gate(() => {
      if (this.closed || token !== this.#pending) return;
      this.#work.call(this, state as Value);
      if (token === this.#pending) this.unsubscribe();
    }));
    return this;
  }
}
