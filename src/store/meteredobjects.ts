/** Wraps the object API to count and time all of its calls. */
import type { Result } from 'neverthrow';
import type { Observable, SchedulerLike } from 'rxjs';
import { MeteredReader } from './meteredreader.js';
import type { CallRecorder } from './meteredreader.js';
import type {
  CallClass, Precondition, Listing, ObjectApi, StoredObject, StoreError, WatchEvent,
} from './objects.js';

export class MeteredObjects implements ObjectApi {
  readonly #api: ObjectApi;

  readonly #reader: MeteredReader;

  private constructor(api: ObjectApi, scheduler: SchedulerLike, record: CallRecorder) {
    this.#api = api;
    this.#reader = MeteredReader.of(api, scheduler, record);
  }

  static of(api: ObjectApi, scheduler: SchedulerLike, record: CallRecorder): MeteredObjects {
    return new MeteredObjects(api, scheduler, record);
  }

  get(name: string, use: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#reader.measured('read', use, () => this.#api.get(name, use));
  }

  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#reader.list(prefix, use);
  }

  watch(prefix: string, from: number, use: CallClass): Observable<WatchEvent> {
    return this.#reader.watch(prefix, from, use);
  }

  put(
    name: string,
    value: string,
    expected: Precondition,
    use: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#reader.measured('write', use, () => this.#api.put(name, value, expected, use));
  }

  remove(name: string, version: number, use: CallClass): Promise<Result<void, StoreError>> {
    return this.#reader.measured('write', use, () => this.#api.remove(name, version, use));
  }
}
