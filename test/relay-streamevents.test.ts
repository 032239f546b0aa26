/** Streams whose events are not those that are due, or that break off at any byte. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { StreamResponse } from '../src/relay/streamresponse.js';
import type { StreamPart } from '../src/relay/streamresponse.js';
import { eventually } from './fakes/eventually.js';
import { callRaw } from './fakes/rawcaller.js';
import type { RawReply } from './fakes/rawcaller.js';
import {
  eventsText, HOST, KEY, Relay, relayConfiguration, ROUTES,
} from './fakes/relay.js';
import {
  breakAfter, chunk, EVENTS, head, LAST_CHUNK, scriptedEngines, STREAM_HEADERS,
} from './fakes/scriptedengines.js';
import type { Attempt, Respond, Scripts } from './fakes/scriptedengines.js';

/** Events that callers have before a stream breaks off. */
const HELD = 3;
const BREAK = breakAfter(eventsText(HELD));

interface Site {
  readonly relay: Relay;
  readonly attemptsOf: (id: string) => readonly Attempt[];
}

/** Streams at `/stream/` may go on at another server, those at `/streams-once/` may run once. */
async function startSite(t: ExecutionContext, scripts: Scripts, count = 8): Promise<Site> {
  const { engines, attemptsOf } = scriptedEngines(scripts, count);
  const once = {
    ...ROUTES.stream, name: 'once', prefix: '/streams-once/', repeat: 'never' as const,
  };
  const relay = await Relay.of(t, {
    engines, configuration: relayConfiguration({ routes: [ROUTES.stream, once] }),
  });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= engines.length)));
  return { relay, attemptsOf };
}

function request(
  relay: Relay,
  id: string,
  path = '/stream/',
  version = '1.1',
): Promise<RawReply> {
  return callRaw(relay.endpoint, [
    `POST ${path} HTTP/${version}`, `Host: ${HOST}`, `x-id: ${id}`, `x-key: ${KEY}`,
    'x-prompt: 80', 'x-output: 20', 'x-deadline: 4000',
  ], `prompt of ${id}`);
}

/** A stream that ends in order, and whose first events come some time before the rest. */
function stream(text: string, first = ''): Respond {
  return (socket, attempt) => {
    socket.write(`${head(attempt, '200 OK', STREAM_HEADERS)}${chunk(first)}`);
    setTimeout(() => socket.write(`${chunk(text)}${LAST_CHUNK}`), first === '' ? 0 : 30);
  };
}

function events(ids: readonly (number | string)[], text = 'text'): string {
  return ids.map((id) => `id: ${id}\ndata: ${text} ${id}\n\n`).join('');
}

interface Faulty {
  readonly name: string;
  /** What comes after the first events, from the same server or the next one. */
  readonly text: string;
}

const FAULTY: readonly Faulty[] = [
  { name: 'an event is skipped', text: events([5, 6, 7, 8], 'wrong') },
  { name: 'an event is repeated', text: `${events([4])}${events([4, 5, 6, 7, 8], 'wrong')}` },
  { name: 'the stream begins anew', text: events([1, 2, 3, 4, 5, 6, 7, 8], 'wrong') },
  { name: 'events are out of order', text: `${events([4])}${events([6, 5, 7, 8], 'wrong')}` },
  { name: 'an event has the id 0', text: events([0, 4, 5, 6, 7, 8], 'wrong') },
  { name: 'an id is the largest that is read', text: events(['9'.repeat(15)], 'wrong') },
  { name: 'an id is too large', text: events(['9'.repeat(16), '4', '5'], 'wrong') },
  { name: 'an id is too large to count', text: events(['9'.repeat(400)], 'wrong') },
  { name: 'an id is negative', text: events(['-4', '4'], 'wrong') },
  { name: 'an id is no number', text: events(['0x4', '4'], 'wrong') },
  { name: 'an event has two ids', text: 'id: 4\ndata: wrong\nid: 5\ndata: text 5\n\n' },
  { name: 'a head stands between events', text: 'HTTP/1.1 500 wrong\r\nid: 4\r\n\r\n' },
  {
    name: 'a head breaks off an event',
    text: 'id: 4\ndata: teHTTP/1.1 500 wrong\r\nContent-Length: 5\r\n\r\nwrong',
  },
  {
    name: 'a head with names in lowercase breaks off an event',
    text: 'id: 4\ndata: teHTTP/1.1 500 wrong\r\ncontent-length: 5\r\n\r\nwrong',
  },
  {
    name: 'a head breaks off a line of its own',
    text: 'weight-verHTTP/1.1 500 wrong\r\nid: 4\r\n\r\n',
  },
  { name: 'an event has no id', text: 'data: wrong\n\n' },
  { name: 'the id is in the data only', text: 'data: id: 4 wrong\n\n' },
  { name: 'the stream ends in an event', text: `${events([4])}id: 5\ndata: wrong\n` },
];

FAULTY.forEach(({ name, text }) => {
  test.serial(`${name}: callers get each event once, and what may run once does`, async (t) => {
    const { relay, attemptsOf } = await startSite(t, {
      once: [stream(text, eventsText(HELD))],
      same: [stream(text, eventsText(HELD))],
      next: [BREAK, stream(text)],
    });
    const reply = await request(relay, 'once', '/streams-once/');
    t.like(reply, { status: 200, whole: false });
    t.true(eventsText(EVENTS).startsWith(reply.body), reply.body);
    t.is(attemptsOf('once').length, 1);
    await Promise.all(['same', 'next'].map(async (id) => {
      const resumed = await request(relay, id);
      t.like(resumed, { status: 200, body: eventsText(EVENTS), whole: true }, id);
    }));
    t.is(attemptsOf('same').length, 2);
    t.is(attemptsOf('next').length, 3);
  });
});

const SOUND: Readonly<Record<string, string>> = {
  'a line of the server\'s own first': 'weight-versions: 7\nid: 4\ndata: a\n\n',
  'such a line and CRLF': 'weight-versions: 7\r\nid: 4\r\ndata: a\r\n\r\n',
  'with all fields': 'event: token\nid: 4\nretry: 10\ndata: a\ndata: b\ndata\n\n',
  'with its id last and no space': 'data:a\nid:4\n\n',
  'with comments': ': one\nid: 4\n:two\ndata: a\n\n',
  'whose data is a head': 'id: 4\ndata: HTTP/1.1 500 Failed\ndata: Content-Length: 5\n\n',
  'whose data has an id': 'id: 4\ndata: id: 9\n\n',
  'in another script': 'id: 4\ndata: \u00e9\u4e16\u{1f9c5}\n\n',
  'after an empty line': '\nid: 4\ndata: a\n\n',
};
test.serial('events of all sound forms reach callers unchanged', async (t) => {
  const rest = events([5, 6, 7, 8]);
  const scripts = Object.entries(SOUND).flatMap(([name, text]) => [
    [`same ${name}`, [stream(text + rest, eventsText(HELD))]],
    [`next ${name}`, [BREAK, stream(text + rest)]]] as const);
  const { relay } = await startSite(t, Object.fromEntries(scripts), 24);
  await Promise.all(scripts.map(async ([id]) => {
    const { body, whole } = await request(relay, id);
    t.true(whole, id);
    const due = eventsText(HELD) + SOUND[id.slice('same '.length)] + rest;
    t.is(Buffer.from(body, 'latin1').toString(), due, id);
  }));
});

/** Events of all forms: LF and CRLF, comments, versions of the weights, and long characters. */
const FORMS: readonly string[] = [
  'id: 1\ndata: a\n\n',
  'weight-versions: 7\r\nid: 2\r\ndata: \u00e9\u4e16\u{1f9c5}\r\n\r\n',
  ': kept open\n\n',
  'weight-versions: 8\nid: 3\ndata: HTTP/1.1 500 Failed\n\n',
  ':\r\n\r\n',
  'id: 4\r\n: note\r\ndata: b\r\ndata:\r\n\r\n',
  'event: token\nid: 5\ndata: \u{1f9c5}\n\n',
];
const BYTES = Buffer.from(FORMS.join(''));
const EVENT_FORMS = FORMS.filter((text) => !text.startsWith(':'))
  .map((text) => Buffer.from(text).toString('latin1'));

function responseFrom(from: number): StreamResponse {
  return StreamResponse.of({ status: 200, headers: [] }, { kind: 'answer' }, {
    method: 'POST', from, hasBegun: from > 0, emptyEndAt: undefined,
  });
}

function textOf(parts: readonly StreamPart[]): string {
  return parts.map((part) => (part.kind === 'event' ? part.text : `<${part.message}>`)).join('');
}

test('a stream that breaks off at any byte goes on with the event that was not whole', (t) => {
  Array.from({ length: BYTES.length + 1 }, (_, cut) => cut).forEach((cut) => {
    const first = responseFrom(0);
    const begun = textOf(first.push(BYTES.subarray(0, cut)));
    const rest = EVENT_FORMS.slice(first.position).join('');
    const isBoundary = FORMS.some((_, index) => (
      Buffer.byteLength(FORMS.slice(0, index + 1).join('')) === cut));
    t.is(first.endFailure === undefined, isBoundary, `${cut}`);
    const second = responseFrom(first.position);
    const continued = textOf(second.push(Buffer.from(rest, 'latin1')));
    t.is(begun + continued, EVENT_FORMS.join(''), `${cut}`);
    t.is(second.position, EVENT_FORMS.length, `${cut}`);
  });
});

test('a stream reads the same however its bytes are divided', (t) => {
  Array.from({ length: BYTES.length }, (_, index) => index + 1).forEach((size) => {
    const response = responseFrom(0);
    let text = '';
    for (let at = 0; at < BYTES.length; at += size) {
      text += textOf(response.push(BYTES.subarray(at, at + size)));
    }
    t.is(text, EVENT_FORMS.join(''), `${size}`);
    t.is(response.endFailure, undefined, `${size}`);
  });
});

/** Where a stream breaks off, by the last bytes that its server sends. */
const CUTS: Readonly<Record<string, string>> = {
  'before an event': '',
  'in the line of an id': 'id',
  'in an id': 'id: ',
  'in the line of a version': 'weight-vers',
  'after a version': 'weight-versions: 7\n',
  'in the data': 'id: 4\ndata: te',
  'in a character': 'id: 4\ndata: \u4e16',
  'between CR and LF': 'id: 4\r\ndata: text 4\r',
  'before the last LF': 'id: 4\r\ndata: text 4\r\n\r',
  'in a comment': ': kept',
};
Object.entries(CUTS).forEach(([name, text]) => {
  // The last byte of the character is not sent.
  const bytes = Buffer.from(text).subarray(0, name === 'in a character' ? -1 : undefined);
  const begin: Respond = (socket, attempt) => {
    socket.write(`${head(attempt, '200 OK', STREAM_HEADERS)}${chunk(eventsText(HELD))}`);
    setTimeout(() => {
      socket.write(`${(bytes.length + 1).toString(16)}\r\n`);
      socket.end(bytes);
    }, 20);
  };
  /** Without length and chunks, the end of the connection looks like that of the stream. */
  const beginUnframed: Respond = (socket, attempt) => {
    socket.write(`${head(attempt, '200 OK')}${eventsText(HELD)}`);
    setTimeout(() => socket.end(bytes), 20);
  };
  test.serial(`a stream that breaks off ${name} has each event once and whole`, async (t) => {
    const { relay, attemptsOf } = await startSite(t, {
      once: [begin], chunked: [begin], unframed: [beginUnframed],
    });
    const reply = await request(relay, 'once', '/streams-once/');
    t.like(reply, { status: 200, body: eventsText(HELD), whole: false });
    t.is(attemptsOf('once').length, 1);
    // Between events it can't be told from an orderly end.
    const ids = text === '' ? ['chunked'] : ['chunked', 'unframed'];
    await Promise.all(ids.map(async (id) => {
      t.like(await request(relay, id), {
        status: 200, body: eventsText(EVENTS), whole: true,
      }, id);
    }));
  });
});

test.serial('a stream that breaks off is reset for a caller that reads no chunks', async (t) => {
  const { relay } = await startSite(t, { r1: [stream('data: wrong\n\n', eventsText(HELD))] });
  const broken = await request(relay, 'r1', '/streams-once/', '1.0');
  t.like(broken, { status: 200, whole: false, reset: true });
  const complete = await request(relay, 'r2', '/streams-once/', '1.0');
  t.like(complete, { status: 200, body: eventsText(EVENTS), whole: true });
});
