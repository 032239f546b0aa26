/** Keeps servers usable whose entries may have expired while the store was away. */
import type { SchedulerLike } from 'rxjs';

/** Servers that live register within this time, also after an outage of the store. */
export const REGISTRATION_MS = 2_000;

export class RenewalGrace {
  readonly #scheduler: SchedulerLike;

  #until = 0;

  private constructor(scheduler: SchedulerLike) {
    this.#scheduler = scheduler;
  }

  static of(scheduler: SchedulerLike): RenewalGrace {
    return new RenewalGrace(scheduler);
  }

  /** Called after an outage of the store, or another instance's. */
  extend(ms = REGISTRATION_MS): void {
    const until = this.#scheduler.now() + Math.min(ms, REGISTRATION_MS);
    this.#until = Math.max(this.#until, until);
  }

  get remainingMs(): number {
    return Math.max(0, this.#until - this.#scheduler.now());
  }
}
