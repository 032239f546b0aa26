/** Wraps the reading part of the object API to count and time its calls. */
import type { Result } from 'neverthrow';
import { tap } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type {
  CallClass, Listing, ObjectReader, StoreError, StoreErrorCode, WatchEvent,
} from './objects.js';

export type StoreCallKind = 'read' | 'write' | 'watch';

/** A completed call to the object API. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly use: CallClass;
  readonly outcome: 'ok' | StoreErrorCode;
  readonly durationMs: number;
}

/** Receives each call when it completes. */
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

  /** Records a watch when it opens and when it fails. */
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

  /** Sends a call to the object API and records its outcome and duration. */
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
