/**
 * The platform's object API as the rest of the program sees it: named values with versions,
 * conditional updates and watches. The HTTP client, its call budget and the stand-ins implement
 * this interface.
 */
import type { Observable } from 'rxjs';
import type { Result } from 'neverthrow';

export interface StoredObject {
  readonly name: string;
  /** Grows with every change of any object; 0 is never used. */
  readonly version: number;
  /** At most 1 MiB of text. */
  readonly value: string;
}

/**
 * `unavailable`: the call did not take effect, or could not be sent. `ambiguous`: a write may or
 * may not have taken effect. `conflict`: the version given is not the current one. `budget`: the
 * instance's own call budget refused the call before it was sent.
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

/** What a conditional update expects: the object at this version, or that it does not exist. */
export type Expectation =
  | { readonly kind: 'version'; readonly version: number }
  | { readonly kind: 'absent' };

/**
 * `opened` comes first: the store has accepted the watch, and stood at `version` then. It says
 * nothing about the changes in between having been delivered.
 */
export type WatchEvent =
  | { readonly kind: 'opened'; readonly version: number }
  | { readonly kind: 'put'; readonly object: StoredObject }
  | { readonly kind: 'delete'; readonly name: string; readonly version: number };

/** Which use a call serves; a budget under pressure serves the earlier classes first. */
export type CallClass = 'configuration' | 'claims' | 'lease' | 'status';

export interface Listing { readonly version: number; readonly objects: readonly StoredObject[] }

export interface ObjectApi {
  get(name: string, use: CallClass): Promise<Result<StoredObject, StoreError>>;

  /** All objects whose names start with `prefix`, and the version the listing was taken at. */
  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>>;

  put(name: string, value: string, expected: Expectation, use: CallClass):
  Promise<Result<StoredObject, StoreError>>;

  remove(name: string, version: number, use: CallClass): Promise<Result<void, StoreError>>;

  /**
   * Changes after version `from` to objects whose names start with `prefix`. Errors with a
   * StoreError; `version_too_old` asks for a new listing. Completes when the store ends the watch
   * in order, after its own longest time.
   */
  watch(prefix: string, from: number, use: CallClass): Observable<WatchEvent>;
}

/** The part of the object API that following objects needs. */
export type ObjectReader = Pick<ObjectApi, 'list' | 'watch'>;
