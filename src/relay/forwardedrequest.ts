/** The headers with which instances forward callers' requests to each other, and their answers. */
import { Result } from 'neverthrow';
import { endToEnd } from '../entry/upstream.js';
import type { Refusal } from '../common/refusal.js';
import type { Call } from './call.js';
import type { RawHeaders } from './dialect.js';
import { PROTOCOL } from './protocol.js';
import { REPLACED_HEADERS } from './serverrequest.js';

const PREFIX = 'shallotshunt-forward-';
const BY = `${PREFIX}by`;
const VERSION = `${PREFIX}protocol`;
const LEFT_MS = `${PREFIX}left-ms`;
const ATTEMPTS = `${PREFIX}attempts`;
const LAST_EVENT = `${PREFIX}last-event`;
const SOFTWARE = `${PREFIX}software`;
const OUTCOME = `${PREFIX}outcome`;
const RETRY_AFTER_MS = `${PREFIX}retry-after-ms`;

/** Headers of the answer to a forwarded request that are read. */
export const OUTCOME_FIELDS: readonly string[] = [OUTCOME, RETRY_AFTER_MS];

/** What another instance has done of a request that it forwards. */
export interface ForwardedRequest {
  /** IP address of the instance that forwards it. */
  readonly by: string;
  /** Time until its deadline when it was sent. */
  readonly leftMs: number;
  /** Attempts that servers may have received. */
  readonly attempts: number;
  /** The last event that the caller has; undefined for the caller's own request. */
  readonly lastEvent?: number | undefined;
  /** The software version that began the stream; undefined if it has not begun there. */
  readonly software?: string | undefined;
}

/** How far an instance has got with a call that it hands over. */
export interface Progress extends Pick<ForwardedRequest, 'attempts' | 'lastEvent' | 'software'> {
  /** Whether the head of the response has been sent to the caller. */
  readonly headSent?: boolean;
}

/** `answered` by a server, or refused by the instance itself. */
export type ForwardOutcome = 'answered' | Refusal['ran'];

function headerOf(raw: RawHeaders, name: string): string | undefined {
  const index = raw.findIndex((text, at) => at % 2 === 0 && text.toLowerCase() === name);
  return index < 0 ? undefined : raw[index + 1];
}

function integerOf(raw: RawHeaders, name: string): number | undefined {
  const text = headerOf(raw, name);
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

export function withoutForwardHeaders(raw: RawHeaders): RawHeaders {
  return raw.flatMap((name, index) => (
    index % 2 === 0 && !name.toLowerCase().startsWith(PREFIX) ? [name, raw[index + 1] ?? ''] : []));
}

const decodeText = Result.fromThrowable(decodeURIComponent);

/**
 * Undefined if the request does not come from another instance, or can't be read: a stream whose
 * version is not known must not go on.
 */
export function readForwarded(raw: RawHeaders): ForwardedRequest | undefined {
  const by = headerOf(raw, BY);
  const leftMs = integerOf(raw, LEFT_MS);
  const software = decodeText(headerOf(raw, SOFTWARE) ?? '');
  if (by === undefined || leftMs === undefined || software.isErr()) return undefined;
  return {
    by,
    leftMs,
    attempts: integerOf(raw, ATTEMPTS) ?? 0,
    lastEvent: integerOf(raw, LAST_EVENT),
    software: headerOf(raw, SOFTWARE) === undefined ? undefined : software.value,
  };
}

export function forwardHeaders(
  { headers, body }: Call,
  {
    by, leftMs, attempts, lastEvent, software,
  }: ForwardedRequest,
): RawHeaders {
  return [
    ...withoutForwardHeaders(endToEnd(headers, REPLACED_HEADERS)),
    'Content-Length', String(body.length),
    BY, by,
    VERSION, String(PROTOCOL),
    LEFT_MS, String(Math.max(1, Math.floor(leftMs))),
    ATTEMPTS, String(attempts),
    ...lastEvent === undefined ? [] : [LAST_EVENT, String(lastEvent)],
    ...software === undefined ? [] : [SOFTWARE, encodeURIComponent(software)],
  ];
}

/** Headers that tell the instance which forwarded a request how it ended. */
export function outcomeHeaders(outcome: ForwardOutcome, retryAfterMs?: number): string[] {
  return [OUTCOME, outcome,
    ...retryAfterMs === undefined ? [] : [RETRY_AFTER_MS, String(Math.ceil(retryAfterMs))]];
}

/** A response without an outcome, as of another release, leaves open whether the request ran. */
export function readOutcome(raw: RawHeaders): {
  readonly outcome: ForwardOutcome;
  readonly retryAfterMs: number | undefined;
} {
  const outcome = headerOf(raw, OUTCOME);
  const known = outcome === 'answered' || outcome === 'no' || outcome === 'partly';
  return { outcome: known ? outcome : 'unknown', retryAfterMs: integerOf(raw, RETRY_AFTER_MS) };
}
