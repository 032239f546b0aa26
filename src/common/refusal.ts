/**
 * Refusals: the honest answers to requests that are not, or not wholly, answered. `ran` tells the
 * caller whether any backend server can have run the request.
 */
import { MILLISECONDS_PER_SECOND } from './time.js';

/**
 * `no`: no backend server was given the request, nor will be. `unknown`: one may have run it.
 * `partly`: the answer's beginning was made and delivered.
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
  unavailable: 503,
  backend_failed: 502,
  backend_timeout: 504,
  interrupted: 502,
  not_ready: 503,
  store_unavailable: 503,
} as const;

/** What went wrong; each code has its HTTP status. */
export type RefusalCode = keyof typeof STATUS;

export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly ran: Ran;
  /** When it makes sense to ask again, if it does. */
  readonly retryAfterMs?: number | undefined;
}

/** The HTTP status that carries the refusal. */
export function statusOf(refusal: Refusal): number {
  return STATUS[refusal.code];
}

/** The `Retry-After` header's value in whole seconds, rounded up. */
export function retryAfterSeconds(refusal: Refusal): number | undefined {
  if (refusal.retryAfterMs === undefined) return undefined;
  return Math.ceil(refusal.retryAfterMs / MILLISECONDS_PER_SECOND);
}

/** The JSON body that carries the refusal. */
export function bodyOf({ code, message, ran }: Refusal): string {
  return JSON.stringify({ error: { code, message, ran } });
}
