/**
 * Opens connections and requests. Node.js throws if it refuses an address or a header; here that is
 * a value, so that it fails the attempt and not the code around it.
 */
import { request as httpRequest } from 'node:http';
import type { RequestOptions } from 'node:http';
import { connect } from 'node:net';
import { Result } from 'neverthrow';
import type { HostPort } from './address.js';

/** Codes of what is wrong with the request itself, whichever server it goes to. */
const REQUEST_CODES: readonly unknown[] = [
  'ERR_INVALID_CHAR', 'ERR_INVALID_HTTP_TOKEN', 'ERR_UNESCAPED_CHARACTERS',
];

function asError(error: unknown): NodeJS.ErrnoException {
  return error instanceof Error ? error : new Error(String(error));
}

export const openRequest = Result.fromThrowable(
  (options: RequestOptions) => httpRequest(options),
  asError,
);

export const openConnection = Result.fromThrowable(
  (address: HostPort) => connect(address),
  asError,
);

/** Whether a refusal says nothing of the address. */
export function isOfRequest({ code }: NodeJS.ErrnoException): boolean {
  return REQUEST_CODES.includes(code);
}
