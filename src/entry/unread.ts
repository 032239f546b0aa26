/** What a caller has not read yet of its answer, held under the memory budget. */
import type { ServerResponse } from 'node:http';
import type { SchedulerLike } from 'rxjs';
import type { Holding, MemoryBudget } from '../memory/budget.js';

/** The answer of a caller that reads as it comes; such an answer is not accounted for. */
const FREE_BYTES = 65_536;
/** Bound for one stream, as that of an answer that is held whole is the length of its response. */
const MAX_STREAM_BYTES = 1_048_576;

export interface UnreadOptions {
  readonly budget: MemoryBudget;
  readonly scheduler: SchedulerLike;
  readonly isKnown: boolean;
  readonly isStream: boolean;
  /** Ends the answer: its caller reads it too slowly. */
  readonly onEvicted: (unreadBytes: number) => void;
}

export class UnreadAnswer {
  readonly #res: ServerResponse;

  readonly #options: UnreadOptions;

  #holding: Holding | undefined;

  private constructor(res: ServerResponse, options: UnreadOptions) {
    this.#res = res;
    this.#options = options;
  }

  static of(res: ServerResponse, options: UnreadOptions): UnreadAnswer {
    const answer = new UnreadAnswer(res, options);
    res.on('drain', () => answer.update());
    res.on('close', () => answer.#holding?.release(options.scheduler.now()));
    return answer;
  }

  /** To be called after each write. */
  update(): void {
    const { scheduler, isStream, onEvicted } = this.#options;
    const unread = this.#res.writableLength;
    if (this.#res.destroyed || (!this.#holding && unread <= FREE_BYTES)) return;
    if (isStream && unread > MAX_STREAM_BYTES) {
      this.#holding?.release(scheduler.now());
      onEvicted(unread);
      return;
    }
    this.#holding ??= this.#hold();
    if (!this.#holding.resize(unread, scheduler.now())) onEvicted(unread);
  }

  #hold(): Holding {
    const {
      budget, scheduler, isKnown, onEvicted,
    } = this.#options;
    return budget.hold({
      kind: 'answer',
      isKnown,
      expectedBytes: this.#res.writableLength,
      now: scheduler.now(),
      onEvicted: () => onEvicted(this.#res.writableLength),
    });
  }
}
