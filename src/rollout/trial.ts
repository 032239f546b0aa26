/** Judges one attempt of a request: what it says of the version of its server. */
import { NO_ANSWERS, timeClass } from './evidence.js';
import type { Side } from './evidence.js';

/** A shorter time is within what the network and a busy instance take. */
const MIN_EXPECTED_MS = 50;
/** Part of the expected time after which an attempt that was given up counts as that slow. */
const SLOW_SHARE = 0.5;

export interface TrialContext {
  readonly now: () => number;
  /** Time in which the first event or the whole answer is expected. */
  readonly expectedMs: number;
  readonly observe: (change: Side) => void;
  /** Called with the time that the whole request took. */
  readonly finished: (ms: number) => void;
  /** Calls back if the server is still the same and reached after some time. */
  readonly ifServerLives: (confirmed: () => void) => void;
}

export interface Trial {
  /** The first event or the whole answer has come. */
  answered(): void;
  /** The whole answer has come. */
  finished(): void;
  /** The server has failed the request. */
  failed(): void;
  /** The connection broke, which says nothing of a version whose server was ended from outside. */
  broken(): void;
  /** The attempt was given up by this instance or by its caller. */
  ended(): void;
}

/** Of requests to services without an order. */
export const NO_TRIAL: Trial = {
  answered: () => undefined,
  finished: () => undefined,
  failed: () => undefined,
  broken: () => undefined,
  ended: () => undefined,
};

export class CountedTrial implements Trial {
  readonly #context: TrialContext;

  readonly #startedAt: number;

  #isSeen = false;

  #isOver = false;

  private constructor(context: TrialContext) {
    this.#context = context;
    this.#startedAt = context.now();
    context.observe({ ...NO_ANSWERS, sent: 1 });
  }

  static of(context: TrialContext): CountedTrial {
    return new CountedTrial(context);
  }

  answered(): void {
    if (this.#isSeen || this.#isOver) return;
    this.#isSeen = true;
    const { expectedMs, observe, now } = this.#context;
    const ratio = (now() - this.#startedAt) / Math.max(MIN_EXPECTED_MS, expectedMs);
    const times = NO_ANSWERS.times.map((_, index) => (index === timeClass(ratio) ? 1 : 0));
    observe({ ...NO_ANSWERS, seen: 1, times });
  }

  finished(): void {
    this.answered();
    if (this.#isOver) return;
    this.#isOver = true;
    this.#context.finished(this.#context.now() - this.#startedAt);
  }

  failed(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#countFailure();
  }

  broken(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#context.ifServerLives(() => this.#countFailure());
  }

  ended(): void {
    const { expectedMs, now } = this.#context;
    const ms = now() - this.#startedAt;
    if (ms >= Math.max(MIN_EXPECTED_MS, expectedMs) * SLOW_SHARE) this.answered();
    this.#isOver = true;
  }

  #countFailure(): void {
    this.#context.observe({ ...NO_ANSWERS, seen: this.#isSeen ? 0 : 1, failures: 1 });
    this.#isSeen = true;
  }
}
