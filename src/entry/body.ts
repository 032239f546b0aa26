/** Reads request bodies within limits of size and time, and sends refusals. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { readPieces } from '../common/pieces.js';
import { bodyOf, retryAfterSeconds, statusOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import { breakOff } from './closedelimited.js';

export const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Longest pause within a body. */
const IDLE_TIMEOUT_MS = 10_000;
const TOTAL_TIMEOUT_MS = 60_000;
/** This many chunks are concatenated, so that the overhead of small ones stays bounded. */
const MAX_CHUNKS = 64;

/** Sends a refusal; a response that has already begun is aborted instead. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent) {
    breakOff(res);
    return;
  }
  const retryAfter = retryAfterSeconds(refusal);
  res.writeHead(statusOf(refusal), {
    'content-type': 'application/json',
    ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }),
    // Closes the connection rather than read the rest of a slow body.
    ...(refusal.code === 'timeout' ? { connection: 'close' } : {}),
  });
  res.end(bodyOf(refusal));
}

/** Calls `listener` when the response is closed, at once if it already is. */
export function whenClosed(res: ServerResponse, listener: () => void): void {
  if (res.closed) listener();
  else res.on('close', listener);
}

/** Resolves to the whole body, or to a refusal if it is too large, too slow or cut off. */
export function readBody(
  req: IncomingMessage,
  scheduler: SchedulerLike,
  maxBytes = MAX_BODY_BYTES,
): Promise<Result<Buffer, Refusal>> {
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let bytes = 0;
    let isSettled = false;
    const timers = new Subscription();
    let idleTimer = Subscription.EMPTY;
    const settle = (result: Result<Buffer, Refusal>) => {
      timers.unsubscribe();
      idleTimer.unsubscribe();
      // The rest of the body is read and discarded, so that the caller can read the response.
      isSettled = true;
      chunks = [];
      resolve(result);
    };
    const onTimeout = () => settle(err({
      code: 'timeout', message: 'timed out reading the body', ran: 'no',
    }));
    const restartIdleTimer = () => {
      idleTimer.unsubscribe();
      idleTimer = timer(IDLE_TIMEOUT_MS, scheduler).subscribe(onTimeout);
    };
    timers.add(timer(TOTAL_TIMEOUT_MS, scheduler).subscribe(onTimeout));
    restartIdleTimer();
    readPieces(req, (chunk) => {
      if (isSettled) return;
      bytes += chunk.length;
      if (bytes > maxBytes) {
        settle(err({
          code: 'too_large', message: `the body exceeds ${maxBytes} bytes`, ran: 'no',
        }));
        return;
      }
      chunks.push(chunk);
      if (chunks.length >= MAX_CHUNKS) chunks = [Buffer.concat(chunks)];
      restartIdleTimer();
    });
    req.on('end', () => settle(ok(Buffer.concat(chunks))));
    req.on('error', (error) => settle(err({
      code: 'bad_request', message: `the body was cut off: ${error.message}`, ran: 'no',
    })));
  });
}
