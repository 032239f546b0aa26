/** Classifies a backend server's response to one attempt by its head. */
import { promisesNotRun } from '../common/refusal.js';
import type { ResponseHead } from './call.js';
import type { Dialect, RawHeaders, ResponseFields } from './dialect.js';
import type { ReceivedHead } from './exchange.js';

/**
 * `answer`: the server's response to the request. `failed`: the server's error, or its own answer
 * with a status that callers take for a promise; the request may have run. `not_run`: the server
 * says that it has not run the request, and `misdirected` that another server has the address.
 * `foreign`: not a response to this request.
 */
export type ResponseClass =
  | { readonly kind: 'answer' }
  | { readonly kind: 'failed'; readonly message: string }
  | { readonly kind: 'not_run'; readonly message: string; readonly misdirected: boolean }
  | { readonly kind: 'foreign'; readonly message: string };

const MIN_FINAL = 200;
const MIN_SERVER_ERROR = 500;
const MISDIRECTED = 421;

/** Callers ask for bodies without encoding, so that an encoded one is not the server's own. */
function isEncoded(headers: RawHeaders): boolean {
  return headers.some((text, at) => at % 2 === 0 && text.toLowerCase() === 'content-encoding');
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** The request that a response names: the one waiting, another one, or none. */
export type ResponseOwner = 'own' | 'other' | 'none';

export function ownerOf(
  { status, headers }: ResponseHead,
  id: string,
  dialect: Dialect,
): ResponseOwner {
  const response = dialect.readResponse(status, headers);
  if (response.id === undefined) return 'none';
  return response.id === id ? 'own' : 'other';
}

/**
 * Whether the server that was asked has answered itself. Another one at its address refuses, and
 * may name the request.
 */
export function isOwnAnswer(
  responseClass: ResponseClass & { readonly response: ResponseFields },
  id: string,
): boolean {
  switch (responseClass.kind) {
    case 'answer':
    case 'failed': return responseClass.response.id === id;
    case 'not_run': return responseClass.response.id === id && !responseClass.misdirected;
    case 'foreign': return false;
  }
}

/** @param id the request that the response must belong to */
export function classifyResponse(
  { status, headers, kept }: ReceivedHead,
  id: string,
  dialect: Dialect,
): ResponseClass & { readonly response: ResponseFields } {
  const response = dialect.readResponse(status, headers);
  // First, since a late copy of a refusal says nothing about the request that is now waiting.
  if (response.id !== undefined && response.id !== id) {
    return { kind: 'foreign', message: 'the response belongs to another request', response };
  }
  // On a new connection no earlier answer can come; another service's server names no id.
  if (response.id === undefined && kept) {
    return { kind: 'foreign', message: 'the response names no request', response };
  }
  if (response.notRun) {
    return {
      kind: 'not_run',
      message: `the server refused with ${status}`,
      misdirected: status === MISDIRECTED,
      response,
    };
  }
  if (status < MIN_FINAL) {
    return { kind: 'foreign', message: `status ${status} is not final`, response };
  }
  if (isEncoded(headers)) {
    return { kind: 'foreign', message: 'the body of the response is encoded', response };
  }
  if (isSuccess(status) && (response.signature === undefined || response.id === undefined)) {
    return { kind: 'foreign', message: 'the response is not signed', response };
  }
  if (status >= MIN_SERVER_ERROR || promisesNotRun(status)) {
    return { kind: 'failed', message: `the server failed with ${status}`, response };
  }
  return response.signature === undefined
    ? { kind: 'foreign', message: `unsigned response with status ${status}`, response }
    : { kind: 'answer', response };
}
