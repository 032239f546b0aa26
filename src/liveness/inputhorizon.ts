/**
 * Bounds when input that is read now can have been sent. A process that was paused, suspended or
 * busy reads what arrived meanwhile as if it were new; all that is certain is that it came after
 * the input that had been handled before.
 */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';

const TICK_MS = 50;

/** A moment by the monotonic clock, which stands still in a suspended machine, and by date. */
export interface Instant { readonly at: number; readonly date: number }

export class InputHorizon {
  readonly #scheduler: SchedulerLike;

  readonly #wallClock: () => number;

  /** All input that had arrived by then has been handled; undefined until that is known. */
  #handledUntil: Instant | undefined;

  /** All input that had arrived by then has been polled, though some may wait for its turn. */
  #polledUntil: Instant | undefined;

  #tickedAt: Instant | undefined;

  #hasPolled = true;

  private constructor(scheduler: SchedulerLike, wallClock: () => number) {
    this.#scheduler = scheduler;
    this.#wallClock = wallClock;
  }

  static of(scheduler: SchedulerLike, wallClock: () => number): InputHorizon {
    return new InputHorizon(scheduler, wallClock);
  }

  /** The earliest time at which input that is read now can have been sent. */
  get earliest(): Instant | undefined {
    return this.#handledUntil;
  }

  /** How long input that is read now may have waited; infinite until that is known. */
  get delayMs(): number {
    return this.#handledUntil ? this.elapsedMs(this.#handledUntil) : Infinity;
  }

  /** An upper bound of the time since an instant, suspensions of the machine included. */
  elapsedMs({ at, date }: Instant): number {
    return Math.max(this.#scheduler.now() - at, this.#wallClock() - date);
  }

  /** Measures until the subscription ends. */
  start(): Subscription {
    return interval(TICK_MS, this.#scheduler).subscribe(() => this.#tick());
  }

  #tick(): void {
    // After a pause, several ticks may follow each other before the next poll.
    if (!this.#hasPolled) return;
    this.#hasPolled = false;
    setImmediate(() => {
      this.#hasPolled = true;
    });
    this.#handledUntil = this.#polledUntil;
    this.#polledUntil = this.#tickedAt;
    this.#tickedAt = { at: this.#scheduler.now(), date: this.#wallClock() };
  }
}
