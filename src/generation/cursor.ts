/**
 * Cursors identify a running attempt to its caller, which may return with one to any instance after
 * the instance that served it died. A cursor is signed with the deployment's key and bound to the
 * workspace and the request, so that it gives no access to other streams.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { equalSecrets, sha256, sign } from '../common/hash.js';
import type { Refusal } from '../common/refusal.js';
import type { GenerationRequest } from './request.js';
import type { Attempt } from './state.js';

const cursorBody = z.object({
  generation: z.string(),
  server: z.string(),
  attempt: z.int().min(1),
  version: z.string(),
  seed: z.int().min(0),
  digest: z.string(),
});

export type Cursor = z.infer<typeof cursorBody>;

function badCursor(message: string): Refusal {
  return { code: 'bad_request', message, ran: 'no' };
}

/** Digest of the fields that determine the answer, without the seed, which may be random. */
export function requestDigest(request: GenerationRequest): string {
  const {
    workspace, model, adapter, input, sampling,
  } = request;
  const { temperature, maxTokens, stop } = sampling;
  return sha256(JSON.stringify([
    workspace, model, adapter ?? null, input, temperature, maxTokens, stop]));
}

/** A signed cursor for the attempt, as text that is valid in a header. */
export function signCursor(request: GenerationRequest, attempt: Attempt, key: string): string {
  const cursor: Cursor = {
    generation: request.id,
    server: attempt.server,
    attempt: attempt.number,
    version: attempt.version,
    seed: request.sampling.seed,
    digest: requestDigest(request),
  };
  const body = Buffer.from(JSON.stringify(cursor)).toString('base64url');
  return `${body}.${sign(body, key)}`;
}

/** Checks that a cursor was signed with `key` and belongs to `request`. */
export function verifyCursor(
  text: string,
  request: GenerationRequest,
  key: string | undefined,
): Result<Cursor, Refusal> {
  const [body = '', signature = ''] = text.split('.');
  if (key === undefined || !equalSecrets(sign(body, key), signature)) {
    return err(badCursor('the cursor was not issued by this deployment'));
  }
  const parsed = cursorBody.safeParse(JSON.parse(Buffer.from(body, 'base64url').toString()));
  if (!parsed.success) return err(badCursor('the cursor has the format of another release'));
  if (parsed.data.digest !== requestDigest(request)) {
    return err(badCursor('the cursor belongs to another request'));
  }
  return ok(parsed.data);
}
