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

  get(name: string, callClass: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#reader.measured('read', callClass, () => this.#api.get(name, callClass));
  }

  list(prefix: string, callClass: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#reader.list(prefix, callClass);
  }

  watch(prefix: string, from: number, callClass: CallClass): Observable<WatchEvent> {
    return this.#reader.watch(prefix, from, callClass);
  }

  put(
    name: string,
    value: string,
    expected: Precondition,
    callClass: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#reader.measured('write', callClass, () => (
      this.#api.put(name, value, expected, callClass)));
  }

  remove(name: string, version: number, callClass: CallClass): Promise<Result<void, StoreError>> {
    return this.#reader.measured('write', callClass, () => (
      this.#api.remove(name, version, callClass)));
  }
}
