/** Reads request bodies within limits of size and time, and sends refusals. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { readPieces } from '../common/pieces.js';
import type { Pieces } from '../common/pieces.js';
import { bodyOf, retryAfterSeconds, statusOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import type { MemoryBudget } from '../memory/budget.js';
import { ByteBuffer } from '../common/bytebuffer.js';
import { countGarbage } from '../memory/garbage.js';
import { breakOff } from './closedelimited.js';
import { whenFirst } from './requestline.js';
import { hasTooSmallChunks } from './smallchunks.js';

export const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Longest pause within a body. */
const IDLE_TIMEOUT_MS = 10_000;
const TOTAL_TIMEOUT_MS = 60_000;

/** About what Node holds of a request besides its body while it waits for its turn. */
const HEAD_BYTES = 8_192;

/** Input of a refused request that is read to its end, so that its connection can be kept. */
const MAX_DISCARDED_BYTES = 65_536;

/**
 * Must be called before a refusal is written. If more than a little of the body is to come, the
 * connection closes after the answer, and the rest is not waited for.
 */
export function closeIfUnread(req: IncomingMessage, res: ServerResponse): void {
  if (req.complete || res.headersSent) return;
  const { headers } = req;
  const isEmpty = headers['transfer-encoding'] === undefined
    && headers['content-length'] === undefined;
  if (isEmpty || Number(headers['content-length']) <= MAX_DISCARDED_BYTES) return;
  res.setHeader('Connection', 'close');
}

/** Sends a refusal; a response that has already begun is aborted instead. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent) {
    breakOff(res);
    return;
  }
  const retryAfter = retryAfterSeconds(refusal);
  closeIfUnread(res.req, res);
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

/** Reads the rest of a short body and discards it; a longer one is left unread. */
export function discardRest(req: IncomingMessage, res: ServerResponse): void {
  closeIfUnread(req, res);
  if (!res.hasHeader('Connection')) req.resume();
}

export interface BodyOptions {
  readonly maxBytes?: number | undefined;
  /** What the body is held under until the response is closed. */
  readonly budget: MemoryBudget;
  /** Whether the caller has a known key. */
  readonly isKnown: boolean;
  readonly res: ServerResponse;
}

/** The refusal of a request for whose body there is no memory. */
function memoryRefusal({ held, capacity, retryAfterMs }: MemoryBudget): Refusal {
  return {
    code: 'memory_short',
    message: `bodies and answers take up ${held} of ${capacity} bytes`,
    ran: 'no',
    retryAfterMs,
  };
}

/**
 * Resolves to the whole body once the request is the first of its connection, or to a refusal if it
 * is too large, too slow or cut off. Until then it can give way.
 */
export function readBody(
  req: IncomingMessage,
  scheduler: SchedulerLike,
  {
    maxBytes = MAX_BODY_BYTES, budget, isKnown, res,
  }: BodyOptions,
): Promise<Result<Buffer, Refusal>> {
  return new Promise((resolve) => {
    const announced = Number(req.headers['content-length'] ?? NaN);
    const expectedBytes = Number.isNaN(announced) ? maxBytes : announced;
    const tooLarge: Refusal = {
      code: 'too_large', message: `the body exceeds ${maxBytes} bytes`, ran: 'no',
    };
    const refuseUnread = (refusal: Refusal) => {
      closeIfUnread(req, res);
      resolve(err(refusal));
    };
    if (announced > maxBytes) {
      refuseUnread(tooLarge);
      return;
    }
    if (!budget.hasRoomFor(announced || 0)) {
      refuseUnread(memoryRefusal(budget));
      return;
    }
    const body = ByteBuffer.of();
    let isSettled = false;
    let pieces: Pieces | undefined;
    const timers = new Subscription();
    const held = new Subscription();
    let idleTimer = Subscription.EMPTY;
    const settle = (result: Result<Buffer, Refusal>) => {
      if (isSettled) return;
      timers.unsubscribe();
      idleTimer.unsubscribe();
      isSettled = true;
      if (result.isErr()) {
        body.clear();
        held.unsubscribe();
        closeIfUnread(req, res);
        // A connection that closes after the answer is not read on.
        if (res.hasHeader('Connection')) pieces?.setPaused(true);
      }
      resolve(result);
    };
    const holding = budget.hold({
      kind: 'body',
      isKnown,
      expectedBytes,
      now: scheduler.now(),
      onEvicted: () => settle(err(memoryRefusal(budget))),
    });
    held.add(() => holding.release(scheduler.now()));
    whenClosed(res, () => held.unsubscribe());
    const onTimeout = () => settle(err({
      code: 'timeout', message: 'timed out reading the body', ran: 'no',
    }));
    const restartIdleTimer = () => {
      idleTimer.unsubscribe();
      idleTimer = timer(IDLE_TIMEOUT_MS, scheduler).subscribe(onTimeout);
    };
    timers.add(timer(TOTAL_TIMEOUT_MS, scheduler).subscribe(onTimeout));
    restartIdleTimer();
    pieces = readPieces(req, (chunk) => {
      if (isSettled) return;
      const length = body.length + chunk.length;
      if (length > maxBytes) settle(err(tooLarge));
      else if (hasTooSmallChunks(req)) {
        settle(err({ ...memoryRefusal(budget), message: 'the body comes in too small chunks' }));
      } else if (!holding.resize(length, scheduler.now())) settle(err(memoryRefusal(budget)));
      else {
        body.append(chunk);
        countGarbage(chunk.length);
        restartIdleTimer();
      }
    });
    req.on('end', () => {
      timers.unsubscribe();
      idleTimer.unsubscribe();
      let isWaiting = true;
      whenFirst(res, () => {
        isWaiting = false;
        if (isSettled) return;
        holding.resize(body.length, scheduler.now());
        holding.fix();
        settle(ok(body.take()));
      });
      if (isWaiting && !holding.resize(body.length + HEAD_BYTES, scheduler.now())) {
        settle(err(memoryRefusal(budget)));
      }
    });
    req.on('error', (error) => settle(err({
      code: 'bad_request', message: `the body was cut off: ${error.message}`, ran: 'no',
    })));
  });
}
