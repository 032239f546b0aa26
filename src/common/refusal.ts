/**
 * Refusals: error responses to requests that are not, or not completely, answered. `ran` tells the
 * caller whether a backend server may have run the request.
 */
import { MILLISECONDS_PER_SECOND } from './time.js';

/**
 * `no`: the request was not and will not be run by any backend server. `unknown`: it may have run.
 * `partly`: the beginning of the answer was generated and delivered.
 */
export type Ran = 'no' | 'unknown' | 'partly';

const STATUS = {
  bad_request: 400,
  unauthorized: 401,
  not_found: 404,
  method_not_allowed: 405,
  too_large: 413,
  timeout: 408,
  conflict: 409,
  key_reused: 422,
  already_ran: 409,
  rate_limited: 429,
  queue_timeout: 503,
  overloaded: 503,
  memory_short: 503,
  unavailable: 503,
  query_of_death: 503,
  backend_failed: 502,
  backend_timeout: 504,
  interrupted: 502,
  not_ready: 503,
  stopping: 503,
  store_unavailable: 503,
} as const;

/** The reason of a refusal; each code has an HTTP status. */
export type RefusalCode = keyof typeof STATUS;

export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly ran: Ran;
  /** Time after which a retry may succeed; undefined if none would. */
  readonly retryAfterMs?: number | undefined;
}

const BAD_GATEWAY = 502;
/** Statuses that tell callers that a request has not run and will not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/**
 * Whether callers take a status for the promise that the request has not run and will not run. A
 * backend server that answers with one may have run the request all the same.
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.includes(status);
}

/** The HTTP status of the refusal; one that promises that the request has not run only if so. */
export function statusOf({ code, ran }: Refusal): number {
  const status = STATUS[code];
  return ran !== 'no' && promisesNotRun(status) ? BAD_GATEWAY : status;
}

/** The `Retry-After` header's value in whole seconds, rounded up. */
export function retryAfterSeconds(refusal: Refusal): number | undefined {
  if (refusal.retryAfterMs === undefined) return undefined;
  return Math.ceil(refusal.retryAfterMs / MILLISECONDS_PER_SECOND);
}

/** The JSON body of the refusal. */
export function bodyOf({ code, message, ran }: Refusal): string {
  return JSON.stringify({ error: { code, message, ran } });
}
