/**
 * Interface of the platform's object API: named, versioned values with conditional updates and
 * watches. Implemented by the HTTP client, by its wrappers for metrics and rate limits, and by the
 * in-memory stand-ins.
 */
import type { Observable } from 'rxjs';
import type { Result } from 'neverthrow';

export interface StoredObject {
  readonly name: string;
  /** Increases with every change of any object; 0 is never used. */
  readonly version: number;
  /** At most 1 MiB of text. */
  readonly value: string;
  /** What the system says of the object, beside its value; undefined if nothing. */
  readonly status?: string | undefined;
}

/**
 * `unavailable`: the call had no effect, or could not be sent. `ambiguous`: a write may or may not
 * have taken effect. `conflict`: the precondition does not hold. `budget`: the instance's own call
 * budget refused the call, which was not sent.
 */
export type StoreErrorCode =
  | 'unavailable'
  | 'ambiguous'
  | 'conflict'
  | 'not_found'
  | 'too_large'
  | 'rate_limited'
  | 'version_too_old'
  | 'budget';

export interface StoreError { readonly code: StoreErrorCode; readonly message: string }

/** The condition of an update: the object has this version, or does not exist. */
export type Precondition =
  | { readonly kind: 'version'; readonly version: number }
  | { readonly kind: 'absent' };

/**
 * `opened` comes first: the store has accepted the watch, and was at `version` at that time. It
 * doesn't imply that the changes up to `version` have been delivered.
 */
export type WatchEvent =
  | { readonly kind: 'opened'; readonly version: number }
  | { readonly kind: 'put'; readonly object: StoredObject }
  | { readonly kind: 'delete'; readonly name: string; readonly version: number };

/** The purpose of a call, in order of priority: a low call budget admits earlier classes first. */
export type CallClass = 'configuration' | 'claims' | 'lease' | 'status';

export interface Listing { readonly version: number; readonly objects: readonly StoredObject[] }

export interface ObjectApi {
  get(name: string, callClass: CallClass): Promise<Result<StoredObject, StoreError>>;

  /** All objects whose names start with `prefix`, and the store's version at that time. */
  list(prefix: string, callClass: CallClass): Promise<Result<Listing, StoreError>>;

  put(name: string, value: string, expected: Precondition, callClass: CallClass):
  Promise<Result<StoredObject, StoreError>>;

  remove(name: string, version: number, callClass: CallClass): Promise<Result<void, StoreError>>;

  /**
   * Changes after version `from` to objects whose names start with `prefix`. Errors with a
   * StoreError; after `version_too_old` the caller needs a new listing. Completes when the store
   * ends the watch regularly, after the store's own time limit.
   */
  watch(prefix: string, from: number, callClass: CallClass): Observable<WatchEvent>;
}

/** Writes objects that no other instance writes, without a condition; a write may be repeated. */
export interface ObjectWriter {
  write(kind: string, name: string, value: string): Promise<Result<void, StoreError>>;

  remove(kind: string, name: string): Promise<Result<void, StoreError>>;
}

/** The reading part of the object API, sufficient to follow objects. */
export type ObjectReader = Pick<ObjectApi, 'list' | 'watch'>;

/** `current`: the object as it is, where the store tells it with a conflict. */
export interface StatusError extends StoreError { readonly current?: StoredObject | undefined }

/** Writes what the system says of an object, on condition of the object's version. */
export interface StatusWriter {
  writeStatus(kind: string, name: string, status: string, version: number):
  Promise<Result<StoredObject | undefined, StatusError>>;
}
