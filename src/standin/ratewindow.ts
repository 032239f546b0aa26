/** Rate limit of the stand-ins: counts calls in fixed windows of one second. */
const RATE_WINDOW_MS = 1_000;

export class RateWindow {
  #startedAt = 0;

  #calls = 0;

  /** Whether one more call at time `now` is within `limit`, where 0 is no limit. */
  admit(now: number, limit: number): boolean {
    if (now - this.#startedAt >= RATE_WINDOW_MS) {
      this.#startedAt = now;
      this.#calls = 0;
    }
    this.#calls += 1;
    return limit === 0 || this.#calls <= limit;
  }
}
