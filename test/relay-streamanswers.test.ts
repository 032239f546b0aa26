/** What a server may answer when a stream begins, and when another server's stream broke off. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { callRaw } from './fakes/rawcaller.js';
import type { RawReply } from './fakes/rawcaller.js';
import {
  eventsText, HOST, KEY, Relay,
} from './fakes/relay.js';
import {
  breakAfter, chunk, EVENTS, head, LAST_CHUNK, notRun, scriptedEngines, STREAM_HEADERS,
} from './fakes/scriptedengines.js';
import type { Attempt, Respond, Scripts } from './fakes/scriptedengines.js';

/** Events that callers have before a stream breaks off. */
const HELD = 3;
const MAX_ATTEMPTS = 6;
/** A text that only answers which are no stream contain. */
const ERROR_TEXT = 'out of order';
/** What only such answers contain, in their heads or bodies. */
const TEXT_OF_ANSWERS = /out of order|HTTP\/1\.1 500|text [4-8]/;

interface Answer {
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

function inChunks(status: string, body: string, headers = STREAM_HEADERS): Respond {
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

const ANSWERS: readonly Answer[] = [
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
const EMPTY_ENDS: readonly Answer[] = [
  { name: '200 with a length of 0', respond: whole('200 OK', '', STREAM_HEADERS.slice(0, 1)) },
  { name: '200 without an event', respond: inChunks('200 OK', '') },
  { name: '200 with comments only', respond: inChunks('200 OK', ': one\n\n: two\n\n') },
  { name: '200 that closes at once', respond: untilClosed('200 OK', '') },
];

interface Kind {
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

const BREAK = breakAfter(eventsText(HELD));
const KINDS: readonly Kind[] = [
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

interface Site {
  readonly relay: Relay;
  readonly attemptsOf: (id: string) => readonly Attempt[];
}

async function startSite(t: ExecutionContext, scripts: Scripts, count = 16): Promise<Site> {
  const { engines, attemptsOf } = scriptedEngines(scripts, count);
  const relay = await Relay.of(t, { engines });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= engines.length)));
  return { relay, attemptsOf };
}

function request(relay: Relay, id: string, last?: number): Promise<RawReply> {
  const named = last === undefined ? [] : [`x-last: ${last}`, 'x-resumes: r0'];
  return callRaw(relay.endpoint, [
    'POST /stream/ HTTP/1.1', `Host: ${HOST}`, `x-id: ${id}`, `x-key: ${KEY}`,
    'x-prompt: 80', 'x-output: 20', 'x-deadline: 4000', ...named,
  ], `prompt of ${id}`);
}

[...ANSWERS, ...EMPTY_ENDS].forEach(({ name: answer, respond, passed }) => {
  const kinds = KINDS.filter(({ hasBegun }) => hasBegun || passed === undefined);
  test.serial(`${answer}: a failed attempt, after which a sound server goes on`, async (t) => {
    const scripts = Object.fromEntries(kinds.map(({ id, before }) => [id, [...before, respond]]));
    const { relay, attemptsOf } = await startSite(t, scripts);
    // The stream that is taken up.
    t.true((await request(relay, 'r0')).whole);
    await Promise.all(kinds.map(async ({
      name, id, before, last = 0, fromCopy = false,
    }) => {
      const reply = await request(relay, id, last === 0 ? undefined : last);
      t.like(reply, { status: 200, whole: true, body: eventsText(EVENTS, last + 1) }, name);
      t.notRegex(reply.head, /content-(length|encoding)|json/i, name);
      t.is(attemptsOf(id).length, before.length + 2, name);
      t.is(attemptsOf(id).at(before.length)!.fromCopy, fromCopy, name);
    }));
  });
});

ANSWERS.forEach(({ name: answer, respond, passed }) => {
  const kinds = KINDS.filter(({ hasBegun }) => hasBegun || passed === undefined);
  test.serial(`${answer}: no part of it reaches a caller if all servers answer so`, async (t) => {
    const scripts = Object.fromEntries(kinds.map(({ id, before }) => (
      [id, [...before, ...Array.from({ length: MAX_ATTEMPTS }, () => respond)]])));
    const { relay } = await startSite(t, scripts);
    t.true((await request(relay, 'r0')).whole);
    await Promise.all(kinds.map(async ({
      name, id, before, last,
    }) => {
      const reply = await request(relay, id, last);
      t.notRegex(reply.head + reply.rest, TEXT_OF_ANSWERS, name);
      if (before.includes(BREAK)) {
        t.like(reply, { status: 200, body: eventsText(HELD), whole: false }, name);
      } else t.true(reply.status >= 500, name);
    }));
  });
});

ANSWERS.forEach(({ name, respond, passed }) => {
  if (!passed) return;
  test.serial(`${name}: a caller that has nothing of the stream gets it as it is`, async (t) => {
    const { relay, attemptsOf } = await startSite(t, { new: [respond], late: [notRun, respond] });
    await Promise.all(['new', 'late'].map(async (id) => {
      const reply = await request(relay, id);
      t.like(reply, { ...passed, whole: true });
      t.is(/^x-signature: (\S+)$/im.exec(reply.head)?.[1], attemptsOf(id).at(-1)!.engine);
    }));
    t.is(attemptsOf('new').length, 1);
  });
});

interface EmptyEnd {
  readonly name: string;
  readonly script: readonly Respond[];
  readonly last?: number;
  readonly count?: number;
  readonly reply: Partial<RawReply>;
}

const EMPTY = inChunks('200 OK', '');
const WHOLE_TEXT = eventsText(EVENTS);
const ENDED: readonly EmptyEnd[] = [
  {
    name: 'a stream that broke off after its last event is complete if two servers end it there',
    script: [breakAfter(WHOLE_TEXT), EMPTY, EMPTY],
    reply: { status: 200, body: WHOLE_TEXT, whole: true },
  },
  {
    name: 'a stream that one server ended without an event is broken off if no other can tell',
    script: [breakAfter(WHOLE_TEXT), EMPTY],
    count: 2,
    reply: { status: 200, body: WHOLE_TEXT, whole: false },
  },
  {
    name: 'ends without an event at two positions do not agree',
    script: [BREAK, EMPTY, breakAfter(eventsText(HELD + 2, HELD + 1)), EMPTY],
    count: 4,
    reply: { status: 200, body: WHOLE_TEXT, whole: true },
  },
  {
    name: 'a caller that lacks only the end gets it if two servers end the stream there',
    script: [EMPTY, EMPTY],
    last: EVENTS,
    reply: { status: 200, body: '', whole: true },
  },
  {
    name: 'a new stream has no events if two servers say so',
    script: [EMPTY, EMPTY],
    reply: { status: 200, body: '', whole: true },
  },
];
ENDED.forEach(({
  name, script, last, count, reply,
}) => {
  test.serial(name, async (t) => {
    const { relay, attemptsOf } = await startSite(t, { r1: script }, count);
    t.true((await request(relay, 'r0')).whole);
    t.like(await request(relay, 'r1', last), reply);
    t.true(attemptsOf('r1').length >= script.length);
  });
});
