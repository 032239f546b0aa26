/** Wraps parts of the object API to count and time their calls. */
import type { Result } from 'neverthrow';
import { tap } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type {
  CallClass, Listing, ObjectReader, ObjectWriter, StoreError, StoreErrorCode, WatchEvent,
} from './objects.js';

export type StoreCallKind = 'read' | 'write' | 'watch';

/** A completed call to the object API. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly callClass: CallClass;
  readonly outcome: 'ok' | StoreErrorCode;
  readonly durationMs: number;
}

/** Called with each call when it completes. */
export type CallRecorder = (call: StoreCall) => void;

export class MeteredReader implements ObjectReader {
  readonly #api: ObjectReader;

  readonly #scheduler: SchedulerLike;

  readonly #record: CallRecorder;

  private constructor(api: ObjectReader, scheduler: SchedulerLike, record: CallRecorder) {
    this.#api = api;
    this.#scheduler = scheduler;
    this.#record = record;
  }

  static of(api: ObjectReader, scheduler: SchedulerLike, record: CallRecorder): MeteredReader {
    return new MeteredReader(api, scheduler, record);
  }

  list(prefix: string, callClass: CallClass): Promise<Result<Listing, StoreError>> {
    return this.measured('read', callClass, () => this.#api.list(prefix, callClass));
  }

  /** The writing part of the API, with its calls recorded as well. */
  writer(api: ObjectWriter, callClass: CallClass): ObjectWriter {
    return {
      write: (kind, name, value) => (
        this.measured('write', callClass, () => api.write(kind, name, value))),
      remove: (kind, name) => this.measured('write', callClass, () => api.remove(kind, name)),
    };
  }

  /** Records a watch when it opens and when it fails. */
  watch(prefix: string, from: number, callClass: CallClass): Observable<WatchEvent> {
    const record = (outcome: StoreCall['outcome']) => this.#record({
      kind: 'watch', callClass, outcome, durationMs: 0,
    });
    return this.#api.watch(prefix, from, callClass).pipe(tap({
      next: ({ kind }) => {
        if (kind === 'opened') record('ok');
      },
      error: ({ code }: StoreError) => record(code),
    }));
  }

  /** Sends a call to the object API and records its outcome and duration. */
  async measured<Value>(
    kind: StoreCallKind,
    callClass: CallClass,
    send: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> {
    const from = this.#scheduler.now();
    const result = await send();
    this.#record({
      kind,
      callClass,
      outcome: result.isOk() ? 'ok' : result.error.code,
      durationMs: this.#scheduler.now() - from,
    });
    return result;
  }
}
