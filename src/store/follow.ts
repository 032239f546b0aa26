/**
 * Follows objects in the store: a listing first, then a watch from the version of the listing. The
 * changes of each object are emitted in order of version, even if reads are stale or a watch
 * repeats events. A watch can stop delivering without an error, so each watch is reopened
 * periodically, and a slow poll lists the objects as well.
 */
import {
  catchError, concat, defer, EMPTY, exhaustMap, from, merge, mergeMap, Observable, of, repeat,
  retry, takeUntil, tap, throwError, timer,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import { backoffMs } from './backoff.js';
import type { CallClass, ObjectReader, StoreError } from './objects.js';
import { SeenVersions } from './versions.js';
import type { StoreChange } from './versions.js';

const MAX_WATCH_MS = 20_000;
const POLL_MS = 60_000;
/** Pause between the end of a watch and the start of the next. */
const REOPEN_DELAY_MS = 50;
const JITTER = 0.2;

/**
 * `heard`: the store has answered, and with the changes that follow none from before `at` is
 * missing. `lost`: a call failed and will be retried.
 */
export type FollowEvent = | StoreChange
  | { readonly kind: 'heard'; readonly at: number }
  | { readonly kind: 'lost'; readonly error: StoreError };

export interface FollowContext {
  readonly api: ObjectReader;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly callClass: CallClass;
  /** Interval of the poll. */
  readonly pollMs?: number;
  /** Upper bound of the retry backoff. */
  readonly maxBackoffMs?: number;
  /** Changes known already; the caller may admit changes from other sources to it as well. */
  readonly seen?: SeenVersions;
  /** Emits when the objects have to be read at once. */
  readonly reads?: Observable<unknown>;
}

function isStoreError(error: unknown): error is StoreError {
  return typeof error === 'object' && error !== null && 'code' in error;
}

function asStoreError(error: unknown): StoreError {
  return isStoreError(error) ? error : { code: 'unavailable', message: String(error) };
}

function read(
  prefix: string,
  context: FollowContext,
  seen: SeenVersions,
): Observable<FollowEvent> {
  return defer(() => {
    const at = context.scheduler.now();
    return from(context.api.list(prefix, context.callClass)).pipe(
      mergeMap((listing) => (listing.isErr()
        ? throwError(() => listing.error)
        : [{ kind: 'heard', at } as const, ...seen.admitListing(listing.value)])),
    );
  });
}

/** Consecutive watches, each of which resumes at the version that the previous one reached. */
function watches(
  prefix: string,
  context: FollowContext,
  seen: SeenVersions,
): Observable<FollowEvent> {
  const {
    api, scheduler, random, callClass,
  } = context;
  return defer(() => api.watch(prefix, seen.position, callClass)).pipe(
    takeUntil(defer(() => timer(random.jitter(MAX_WATCH_MS, JITTER), scheduler))),
    mergeMap((event): FollowEvent[] => (event.kind === 'opened'
      ? [{ kind: 'heard', at: scheduler.now() }]
      : seen.admit(event))),
    catchError((error: unknown) => (asStoreError(error).code === 'version_too_old'
      ? read(prefix, context, seen)
      : throwError(() => error))),
    repeat({ delay: () => timer(random.jitter(REOPEN_DELAY_MS, JITTER), scheduler) }),
  );
}

/** Lists the objects periodically, as a fallback for watches that miss changes. */
function polls(
  prefix: string,
  context: FollowContext,
  seen: SeenVersions,
): Observable<FollowEvent> {
  const { scheduler, random, pollMs = POLL_MS } = context;
  const interval = () => timer(random.jitter(pollMs, JITTER), scheduler);
  return defer(interval).pipe(
    mergeMap(() => read(prefix, context, seen)),
    repeat(),
  );
}

/** Reads the objects on request; requests during a read are dropped. */
function requestedReads(
  prefix: string,
  context: FollowContext,
  seen: SeenVersions,
): Observable<FollowEvent> {
  const { reads = EMPTY } = context;
  return reads.pipe(exhaustMap(() => read(prefix, context, seen).pipe(
    catchError((error: unknown) => of({ kind: 'lost', error: asStoreError(error) } as const)),
  )));
}

/** Resubscribes to `source` with backoff whenever it errors, and emits each error as `lost`. */
function withRetries(
  source: Observable<FollowEvent>,
  context: FollowContext,
): Observable<FollowEvent> {
  const { scheduler, random, maxBackoffMs } = context;
  return new Observable((subscriber) => {
    let tries = 0;
    const delay = (error: unknown) => {
      tries += 1;
      subscriber.next({ kind: 'lost', error: asStoreError(error) });
      return timer(backoffMs(tries, random, maxBackoffMs), scheduler);
    };
    const reset = () => {
      tries = 0;
    };
    return source.pipe(tap(reset), retry({ delay })).subscribe(subscriber);
  });
}

/**
 * Changes to the objects whose names start with `prefix`, beginning with the existing objects.
 * Never errors and never completes; failed calls are retried and emitted as `lost`.
 */
export function follow(prefix: string, context: FollowContext): Observable<FollowEvent> {
  return defer(() => {
    const { seen = SeenVersions.of() } = context;
    return merge(
      requestedReads(prefix, context, seen),
      concat(
        withRetries(read(prefix, context, seen), context),
        merge(
          withRetries(watches(prefix, context, seen), context),
          withRetries(polls(prefix, context, seen), context),
        ),
      ),
    );
  });
}
