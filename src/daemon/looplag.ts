/** Measures event-loop lag, as the delay of a periodic timer, for the metrics. */
import { defer, repeat, timer } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';

const SAMPLE_PERIOD_MS = 1_000;
/** Samples per window; the longest delay is kept for one to two windows. */
const WINDOW_PERIODS = 60;

export class LoopLag {
  readonly #scheduler: SchedulerLike;

  #longestMs = 0;

  #previousLongestMs = 0;

  #periods = 0;

  private constructor(scheduler: SchedulerLike) {
    this.#scheduler = scheduler;
  }

  static of(scheduler: SchedulerLike): LoopLag {
    return new LoopLag(scheduler);
  }

  /** Measures until the subscription ends. */
  start(): Subscription {
    let dueAt = 0;
    return defer(() => {
      dueAt = this.#scheduler.now() + SAMPLE_PERIOD_MS;
      return timer(SAMPLE_PERIOD_MS, this.#scheduler);
    }).pipe(repeat()).subscribe(() => {
      this.#record(this.#scheduler.now() - dueAt);
    });
  }

  /** The longest delay in the current and the previous window. */
  get longestMs(): number {
    return Math.max(this.#longestMs, this.#previousLongestMs);
  }

  #record(delayMs: number): void {
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    this.#periods += 1;
    if (this.#periods < WINDOW_PERIODS) return;
    this.#previousLongestMs = this.#longestMs;
    this.#longestMs = 0;
    this.#periods = 0;
  }
}
