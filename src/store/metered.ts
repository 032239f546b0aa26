/** Reads of the object API, counted and timed. */
import type { Result } from 'neverthrow';
import { tap } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type {
  CallClass, Listing, ObjectReader, StoreError, StoreErrorCode, WatchEvent,
} from './objects.js';

export type StoreCallKind = 'read' | 'write' | 'watch';

/** A call to the object API that has ended. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly use: CallClass;
  readonly outcome: 'ok' | StoreErrorCode;
  readonly durationMs: number;
}

/** Takes each call when it has ended. */
export type CountCall = (call: StoreCall) => void;

export class MeteredReader implements ObjectReader {
  readonly #api: ObjectReader;

  readonly #scheduler: SchedulerLike;

  readonly #count: CountCall;

  private constructor(api: ObjectReader, scheduler: SchedulerLike, count: CountCall) {
    this.#api = api;
    this.#scheduler = scheduler;
    this.#count = count;
  }

  static of(api: ObjectReader, scheduler: SchedulerLike, count: CountCall): MeteredReader {
    return new MeteredReader(api, scheduler, count);
  }

  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>> {
    return this.counted('read', use, () => this.#api.list(prefix, use));
  }

  /** Counts a watch each time it opens or fails to. */
  watch(prefix: string, from: number, use: CallClass): Observable<WatchEvent> {
    const count = (outcome: StoreCall['outcome']) => this.#count({
      kind: 'watch', use, outcome, durationMs: 0,
    });
    return this.#api.watch(prefix, from, use).pipe(tap({
      next: ({ kind }) => {
        if (kind === 'opened') count('ok');
      },
      error: ({ code }: StoreError) => count(code),
    }));
  }

  /** Counts and times any call to the object API. */
  async counted<Value>(
    kind: StoreCallKind,
    use: CallClass,
    send: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> {
    const from = this.#scheduler.now();
    const result = await send();
    this.#count({
      kind,
      use,
      outcome: result.isOk() ? 'ok' : result.error.code,
      durationMs: this.#scheduler.now() - from,
    });
    return result;
  }
}
