/** Reads what callers say in headers of their own: idempotency keys, and where they resume. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Refusal } from '../common/refusal.js';
import { CURSOR_HEADER } from './answer.js';
import type { ReturningCaller } from './gateway.js';

const MAX_KEY_CHARACTERS = 255;
const MAX_POSITION_DIGITS = 9;

function header(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** The caller's idempotency key, if it sent one. */
export function idempotencyKeyOf(req: IncomingMessage): Result<string | undefined, Refusal> {
  const key = header(req, 'idempotency-key');
  if (key === undefined) return ok(undefined);
  if (key.length > 0 && key.length <= MAX_KEY_CHARACTERS) return ok(key);
  return err({
    code: 'bad_request',
    message: `Idempotency-Key: 1 to ${MAX_KEY_CHARACTERS} characters`,
    ran: 'no',
  });
}

/** The position at which a returning caller resumes; undefined for a new request. */
export function returningCallerOf(
  req: IncomingMessage,
  text: string | undefined,
): Result<ReturningCaller | undefined, Refusal> {
  const cursor = header(req, CURSOR_HEADER);
  const lastEventId = header(req, 'last-event-id');
  if (cursor === undefined) return ok(undefined);
  if (lastEventId === undefined) return ok({ cursor, tokens: 0, text: '' });
  const position = new RegExp(`^[^.]*\\.(\\d{1,${MAX_POSITION_DIGITS}})$`).exec(lastEventId)?.[1];
  if (position === undefined) {
    return err({
      code: 'bad_request',
      message: 'Last-Event-ID: not an event id of this deployment',
      // The request of a caller that has a cursor may have run.
      ran: 'unknown',
    });
  }
  return ok({ cursor, tokens: Number(position) + 1, text: text === '' ? undefined : text });
}
