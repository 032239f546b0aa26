/** The object API with every call that is sent to it counted and timed. */
import type { Result } from 'neverthrow';
import { tap } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { StoreCall, StoreCallKind } from '../admin/metrics.js';
import type {
  CallClass, Expectation, Listing, ObjectApi, StoredObject, StoreError, WatchEvent,
} from '../store/objects.js';

export class MeteredObjects implements ObjectApi {
  readonly #api: ObjectApi;

  readonly #scheduler: SchedulerLike;

  readonly #count: (call: StoreCall) => void;

  private constructor(api: ObjectApi, scheduler: SchedulerLike, count: (call: StoreCall) => void) {
    this.#api = api;
    this.#scheduler = scheduler;
    this.#count = count;
  }

  static of(
    api: ObjectApi,
    scheduler: SchedulerLike,
    count: (call: StoreCall) => void,
  ): MeteredObjects {
    return new MeteredObjects(api, scheduler, count);
  }

  get(name: string, use: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#counted('read', use, () => this.#api.get(name, use));
  }

  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#counted('read', use, () => this.#api.list(prefix, use));
  }

  put(
    name: string,
    value: string,
    expected: Expectation,
    use: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#counted('write', use, () => this.#api.put(name, value, expected, use));
  }

  remove(name: string, version: number, use: CallClass): Promise<Result<void, StoreError>> {
    return this.#counted('write', use, () => this.#api.remove(name, version, use));
  }

  /** Counts a watch once, when it opens or fails to. */
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

  async #counted<Value>(
    kind: StoreCallKind,
    use: CallClass,
    send: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> {
    const from = this.#scheduler.now();
    const result = await send();
    const outcome = result.isOk() ? 'ok' : result.error.code;
    const durationMs = this.#scheduler.now() - from;
    this.#count({
      kind, use, outcome, durationMs,
    });
    return result;
  }
}
