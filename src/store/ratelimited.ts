/**
 * Wraps the object API to enforce one instance's call budget and to retry. A call over the budget
 * waits for a token, at most until the timeout of its class. Failed reads are retried; failed
 * writes only if the failure means that they had no effect. Ambiguous writes are left to the
 * caller, see `settle`.
 */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import {
  defer, from, switchMap, throwError,
} from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import { backoffMs, pause } from './backoff.js';
import {
  admit, FLEET_RATES, fullBucket, shareOf, throttle,
} from './budget.js';
import type { Bucket, StoreRates } from './budget.js';
import type {
  CallClass, Precondition, Listing, ObjectApi, StoredObject, StoreError, WatchEvent,
} from './objects.js';

/** Timeout of calls of each class, including the wait for a token and retries. */
const CALL_TIMEOUT_MS: Readonly<Record<CallClass, number>> = {
  configuration: 5_000, claims: 1_000, lease: 1_000, status: 0,
};

type BucketName = 'reads' | 'writes';

export interface StoreContext { readonly scheduler: SchedulerLike; readonly random: Random }

function isRetryable(error: StoreError): boolean {
  return error.code === 'unavailable' || error.code === 'rate_limited';
}

export class RateLimitedObjects implements ObjectApi {
  readonly #api: ObjectApi;

  readonly #context: StoreContext;

  #rates: StoreRates;

  readonly #buckets: Record<BucketName, Bucket>;

  private constructor(api: ObjectApi, context: StoreContext, rates: StoreRates) {
    const now = context.scheduler.now();
    this.#api = api;
    this.#context = context;
    this.#rates = rates;
    this.#buckets = {
      reads: fullBucket(rates.readsPerSecond, now),
      writes: fullBucket(rates.writesPerSecond, now),
    };
  }

  /** @param rates this instance's share of the fleet's rates */
  static of(
    api: ObjectApi,
    context: StoreContext,
    rates: StoreRates = shareOf(FLEET_RATES, 1, 1),
  ): RateLimitedObjects {
    return new RateLimitedObjects(api, context, rates);
  }

  /** Sets this instance's share, after a change of the members or of the claim shards' homes. */
  setRates(rates: StoreRates): void {
    this.#rates = rates;
  }

  get(name: string, callClass: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#call('reads', callClass, () => this.#api.get(name, callClass));
  }

  list(prefix: string, callClass: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#call('reads', callClass, () => this.#api.list(prefix, callClass));
  }

  put(
    name: string,
    value: string,
    expected: Precondition,
    callClass: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#call('writes', callClass, () => this.#api.put(name, value, expected, callClass));
  }

  remove(name: string, version: number, callClass: CallClass): Promise<Result<void, StoreError>> {
    return this.#call('writes', callClass, () => this.#api.remove(name, version, callClass));
  }

  /** Errors with `budget` if the budget doesn't admit the call in time. */
  watch(prefix: string, version: number, callClass: CallClass): Observable<WatchEvent> {
    const until = () => this.#context.scheduler.now() + CALL_TIMEOUT_MS[callClass];
    return defer(() => from(this.#admitted('reads', callClass, until()))).pipe(
      switchMap((refusal) => (refusal
        ? throwError(() => refusal)
        : this.#api.watch(prefix, version, callClass))),
    );
  }

  async #call<Value>(
    name: BucketName,
    callClass: CallClass,
    send: () => Promise<Result<Value, StoreError>>,
    tries = 0,
    until = this.#context.scheduler.now() + CALL_TIMEOUT_MS[callClass],
  ): Promise<Result<Value, StoreError>> {
    const { scheduler, random } = this.#context;
    const refusal = await this.#admitted(name, callClass, until);
    if (refusal) return err(refusal);
    const result = await send();
    if (result.isOk() || !isRetryable(result.error)) return result;
    if (result.error.code === 'rate_limited') this.#throttle(name);
    const delayMs = backoffMs(tries, random);
    if (scheduler.now() + delayMs >= until) return result;
    await pause(delayMs, scheduler);
    return this.#call(name, callClass, send, tries + 1, until);
  }

  /** Waits for a token until `until`; resolves with an error if it would take longer. */
  async #admitted(
    name: BucketName,
    callClass: CallClass,
    until: number,
  ): Promise<StoreError | undefined> {
    const { scheduler, random } = this.#context;
    const now = scheduler.now();
    const { bucket, waitMs } = admit(this.#buckets[name], this.#rate(name), callClass, now);
    this.#buckets[name] = bucket;
    if (waitMs === 0) return undefined;
    if (now + waitMs > until) {
      return { code: 'budget', message: `call budget for ${callClass} ${name} is exhausted` };
    }
    await pause(random.jitter(waitMs, 0.1), scheduler);
    return this.#admitted(name, callClass, until);
  }

  #throttle(name: BucketName): void {
    const now = this.#context.scheduler.now();
    this.#buckets[name] = throttle(this.#buckets[name], this.#rate(name), now);
  }

  #rate(name: BucketName): number {
    return name === 'reads' ? this.#rates.readsPerSecond : this.#rates.writesPerSecond;
  }
}
