/** What servers may answer to a stream, and the requests to which they answer so. */
import type { ExecutionContext } from 'ava';
import { eventually } from './eventually.js';
import { callRaw } from './rawcaller.js';
import type { RawReply } from './rawcaller.js';
import {
  eventsText, HOST, KEY, Relay,
} from './relay.js';
import {
  breakAfter, chunk, EVENTS, head, LAST_CHUNK, notRun, scriptedEngines, STREAM_HEADERS,
} from './scriptedengines.js';
import type { Attempt, Respond, Scripts } from './scriptedengines.js';

/** Events that callers have before a stream breaks off. */
export const HELD = 3;
export const MAX_ATTEMPTS = 6;
/** A text that only answers which are no stream contain. */
export const ERROR_TEXT = 'out of order';
/** What only such answers contain, in their heads or bodies. */
export const TEXT_OF_ANSWERS = /out of order|HTTP\/1\.1 500|text [4-8]/;

export interface Answer {
  readonly name: string;
  readonly respond: Respond;
  /** What a caller that has nothing of the stream gets of it: the whole answer, as it is. */
  readonly passed?: { readonly status: number; readonly body: string };
}

/** A response with a length, on a connection that stays open. */
function whole(status: string, body: string, headers: readonly string[] = []): Respond {
  return (socket, attempt) => {
    const length = `Content-Length: ${Buffer.byteLength(body)}`;
    socket.write(`${head(attempt, status, [...headers, length])}${body}`);
  };
}

export function inChunks(status: string, body: string, headers = STREAM_HEADERS): Respond {
  return (socket, attempt) => {
    socket.write(`${head(attempt, status, headers)}${chunk(body)}${LAST_CHUNK}`);
  };
}

/** A response without length and chunks, which ends with its connection. */
function untilClosed(status: string, body: string, headers: readonly string[] = []): Respond {
  return (socket, attempt) => {
    socket.end(`${head(attempt, status, headers)}${body}`);
  };
}

/** A response that has no body, whatever its head says. */
function bodyless(status: string): Respond {
  return (socket, attempt) => {
    socket.write(head(attempt, status));
  };
}

const JSON_BODY = `{"error":"${ERROR_TEXT}"}`;
const JSON_TYPE = ['Content-Type: application/json'];
/** What would come next, in the body of an answer that is none. */
const nextEvents = ({ last = 0 }: Attempt) => eventsText(EVENTS, last + 1);

export const ANSWERS: readonly Answer[] = [
  { name: '101', respond: bodyless('101 Switching Protocols') },
  { name: '201 without a body', respond: whole('201 Created', '') },
  {
    name: '201 with events',
    respond: (socket, attempt) => inChunks('201 Created', nextEvents(attempt))(socket, attempt),
  },
  { name: '202 with JSON', respond: whole('202 Accepted', JSON_BODY, JSON_TYPE) },
  { name: '204', respond: bodyless('204 No Content') },
  { name: '205', respond: whole('205 Reset Content', '') },
  {
    name: '206 with events',
    respond: (socket, attempt) => (
      inChunks('206 Partial Content', nextEvents(attempt))(socket, attempt)),
  },
  {
    name: '302',
    respond: whole('302 Found', '', ['Location: /other']),
    passed: { status: 302, body: '' },
  },
  { name: '304', respond: bodyless('304 Not Modified'), passed: { status: 304, body: '' } },
  {
    name: '400 without a body',
    respond: whole('400 Bad Request', ''),
    passed: { status: 400, body: '' },
  },
  {
    name: '400 with JSON',
    respond: whole('400 Bad Request', JSON_BODY, JSON_TYPE),
    passed: { status: 400, body: JSON_BODY },
  },
  {
    name: '404 in chunks',
    respond: inChunks('404 Not Found', `${ERROR_TEXT}\n\n`),
    passed: { status: 404, body: `${ERROR_TEXT}\n\n` },
  },
  {
    name: '404 with events',
    respond: (socket, attempt) => inChunks('404 Not Found', nextEvents(attempt))(socket, attempt),
    passed: { status: 404, body: eventsText(EVENTS) },
  },
  {
    name: '400 until the connection closes',
    respond: untilClosed('400 Bad Request', ERROR_TEXT),
    passed: { status: 400, body: ERROR_TEXT },
  },
  { name: '500 with JSON', respond: whole('500 Internal Server Error', JSON_BODY, JSON_TYPE) },
  {
    name: '500 with events',
    respond: (socket, attempt) => (
      inChunks('500 Internal Server Error', nextEvents(attempt))(socket, attempt)),
  },
  { name: '502 without a body', respond: whole('502 Bad Gateway', '') },
  { name: '503 that says nothing', respond: whole('503 Service Unavailable', ERROR_TEXT) },
  { name: '504 without a body', respond: whole('504 Gateway Timeout', '') },
  { name: '200 with JSON', respond: whole('200 OK', JSON_BODY, JSON_TYPE) },
  {
    name: '200 with events as JSON',
    respond: (socket, attempt) => (
      whole('200 OK', nextEvents(attempt), JSON_TYPE)(socket, attempt)),
  },
  {
    name: '200 with encoded events',
    respond: (socket, attempt) => inChunks(
      '200 OK',
      nextEvents(attempt),
      [...STREAM_HEADERS, 'Content-Encoding: gzip'],
    )(socket, attempt),
  },
  {
    name: '200 with an event without an id',
    respond: inChunks('200 OK', `event: error\ndata: ${ERROR_TEXT}\n\n`),
  },
  {
    name: '200 with a head as its body',
    respond: inChunks(
      '200 OK',
      `HTTP/1.1 500 Failed\r\nx-id: r1\r\nContent-Length: 12\r\n\r\n${ERROR_TEXT}`,
    ),
  },
  {
    name: '200 with a head as its body until the connection closes',
    respond: untilClosed('200 OK', `HTTP/1.1 500 Failed\r\nx-id: r1\r\n\r\n${ERROR_TEXT}\n\n`),
  },
  {
    name: 'a head inside a chunked stream',
    respond: (socket, attempt) => {
      socket.end(`${head(attempt, '200 OK', STREAM_HEADERS)}HTTP/1.1 500 Failed\r\n\r\n`);
    },
  },
  { name: 'bytes that are no response', respond: (socket) => socket.end(`${ERROR_TEXT}\r\n\r\n`) },
  {
    name: 'an unsigned 200',
    respond: (socket, attempt) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${attempt.id}\r\nTransfer-Encoding: chunked\r\n\r\n`
        + `${chunk(nextEvents(attempt))}${LAST_CHUNK}`);
    },
  },
  {
    name: 'the answer to another request',
    respond: (socket, attempt) => inChunks('200 OK', nextEvents(attempt))(
      socket,
      { ...attempt, id: 'r0' },
    ),
  },
];

/** Ends that look complete although events are owed. */
export const EMPTY_ENDS: readonly Answer[] = [
  { name: '200 with a length of 0', respond: whole('200 OK', '', STREAM_HEADERS.slice(0, 1)) },
  { name: '200 without an event', respond: inChunks('200 OK', '') },
  { name: '200 with comments only', respond: inChunks('200 OK', ': one\n\n: two\n\n') },
  { name: '200 that closes at once', respond: untilClosed('200 OK', '') },
];

export interface Kind {
  readonly name: string;
  readonly id: string;
  /** What the attempts before get. */
  readonly before: readonly Respond[];
  /** The last event that the caller names. */
  readonly last?: number;
  /** Whether the caller has events of the stream by then. */
  readonly hasBegun: boolean;
  readonly fromCopy?: boolean;
}

export const BREAK = breakAfter(eventsText(HELD));
export const KINDS: readonly Kind[] = [
  {
    name: 'a new stream', id: 'new', before: [], hasBegun: false,
  },
  {
    name: 'after a loss without an event',
    id: 'lost',
    before: [(socket) => socket.destroy()],
    hasBegun: false,
  },
  {
    name: 'from a standby copy', id: 'copy', before: [BREAK], hasBegun: true, fromCopy: true,
  },
  {
    name: 'after a loss', id: 'broken', before: [BREAK, notRun], hasBegun: true,
  },
  {
    name: 'a take-up', id: 'taken', before: [], last: HELD, hasBegun: true,
  },
];

export interface Site {
  readonly relay: Relay;
  readonly attemptsOf: (id: string) => readonly Attempt[];
}

export async function startSite(t: ExecutionContext, scripts: Scripts, count = 16): Promise<Site> {
  const { engines, attemptsOf } = scriptedEngines(scripts, count);
  const relay = await Relay.of(t, { engines });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= engines.length)));
  return { relay, attemptsOf };
}

export function request(relay: Relay, id: string, last?: number): Promise<RawReply> {
  const named = last === undefined ? [] : [`x-last: ${last}`, 'x-resumes: r0'];
  return callRaw(relay.endpoint, [
    'POST /stream/ HTTP/1.1', `Host: ${HOST}`, `x-id: ${id}`, `x-key: ${KEY}`,
    'x-prompt: 80', 'x-output: 20', 'x-deadline: 4000', ...named,
  ], `prompt of ${id}`);
}
