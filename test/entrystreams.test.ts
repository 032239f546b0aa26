/** What an engine may answer when it begins an answer, or continues one that broke off. */
import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { json } from 'node:stream/consumers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { HttpEngineClient } from '../src/engines/client.js';
import type { AttemptRequest } from '../src/engines/engine.js';
import { encodeEvent } from '../src/engines/wire.js';
import { listen, post, startEntry } from './fakes/entry.js';
import type { Reply } from './fakes/entry.js';
import { chunk, LAST_CHUNK } from './fakes/scriptedengines.js';

const TOKENS = 8;
const BODY = {
  model: 'm', prompt: 'List the ovens', max_tokens: TOKENS, seed: 1, stream: true,
};
/** Tokens that callers have before an answer breaks off. */
const HELD = 3;
/** Only answers that are no stream contain it. */
const ERROR_TEXT = 'out of order';

/** Writes an engine's response from the token that is due next. */
type Respond = (socket: Socket, next: number) => void;

const token = (position: number): string => (
  encodeEvent({ kind: 'token', position, text: `\u4e16${position};` }));
const finish = (position: number, reason = 'length'): string => (
  encodeEvent({ kind: 'finish', position, reason }));
const OPENED = encodeEvent({ kind: 'opened', incarnation: 'i' });

function tokens(from: number, to: number): string {
  return Array.from({ length: Math.max(0, to - from) }, (_, index) => token(from + index)).join('');
}

function head(status: string, headers: readonly string[]): string {
  return `${[`HTTP/1.1 ${status}`, ...headers].join('\r\n')}\r\n\r\n`;
}

const STREAM_HEADERS = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];

function inChunks(status: string, body: (next: number) => string): Respond {
  return (socket, next) => {
    socket.end(`${head(status, STREAM_HEADERS)}${chunk(body(next))}${LAST_CHUNK}`);
  };
}

function stream(body: (next: number) => string): Respond {
  return inChunks('200 OK', (next) => OPENED + body(next));
}

const sound = stream((next) => tokens(next, TOKENS) + finish(TOKENS));

/** Some tokens, after which the connection is closed. */
const BREAK: Respond = (socket, next) => {
  socket.write(`${head('200 OK', STREAM_HEADERS)}${chunk(OPENED + tokens(next, HELD))}`);
  setTimeout(() => socket.destroy(), 20);
};

function whole(status: string, body: string): Respond {
  return (socket) => {
    const headers = ['Content-Type: application/json', `Content-Length: ${body.length}`];
    socket.end(`${head(status, headers)}${body}`);
  };
}

interface Answer {
  readonly name: string;
  readonly respond: Respond;
  /** Whether the engine says that it has not run the request. */
  readonly notRun?: boolean;
}

const JSON_BODY = `{"error":"${ERROR_TEXT}"}`;
const events = (next: number) => OPENED + tokens(next, TOKENS) + finish(TOKENS);
const ANSWERS: readonly Answer[] = [
  { name: '101', respond: (socket) => socket.write(head('101 Switching', ['Upgrade: other'])) },
  { name: '201 with events', respond: inChunks('201 Created', events) },
  { name: '202 with JSON', respond: whole('202 Accepted', JSON_BODY) },
  { name: '204', respond: (socket) => socket.end(head('204 No Content', [])) },
  { name: '205', respond: whole('205 Reset Content', '') },
  { name: '206 with events', respond: inChunks('206 Partial Content', events) },
  { name: '302', respond: whole('302 Found', '') },
  { name: '304', respond: (socket) => socket.end(head('304 Not Modified', [])) },
  { name: '400 with JSON', respond: whole('400 Bad Request', JSON_BODY), notRun: true },
  { name: '404 with events', respond: inChunks('404 Not Found', events), notRun: true },
  { name: '500 with JSON', respond: whole('500 Failed', JSON_BODY) },
  { name: '500 with events', respond: inChunks('500 Failed', events) },
  { name: '502 without a body', respond: whole('502 Bad Gateway', '') },
  { name: '408 with JSON', respond: whole('408 Request Timeout', JSON_BODY) },
  { name: '429 with JSON', respond: whole('429 Too Many Requests', JSON_BODY) },
  { name: '503 with JSON', respond: whole('503 Unavailable', JSON_BODY) },
  { name: '200 with JSON', respond: whole('200 OK', JSON_BODY) },
  { name: '200 without a body', respond: whole('200 OK', '') },
  { name: '200 without an event', respond: inChunks('200 OK', () => '') },
  { name: '200 that only opens', respond: stream(() => '') },
  {
    name: '200 that closes at once', respond: (socket) => socket.end(head('200 OK', [])),
  },
  {
    name: '200 with a head as its body',
    respond: inChunks('200 OK', () => `HTTP/1.1 500 Failed\r\n\r\n${ERROR_TEXT}\n\n`),
  },
  { name: '200 with data that is a text', respond: stream(() => `data: ${ERROR_TEXT}\n\n`) },
  { name: '200 with data that is a head', respond: stream(() => 'data: HTTP/1.1 500 Failed\n\n') },
  {
    name: '200 that reports an error',
    respond: stream(() => `event: error\ndata: ${JSON_BODY}\n\n`),
  },
  {
    name: 'a head inside a stream',
    respond: (socket) => {
      socket.end(`${head('200 OK', STREAM_HEADERS)}${chunk(OPENED)}HTTP/1.1 500 Failed\r\n\r\n`);
    },
  },
  { name: 'bytes that are no response', respond: (socket) => socket.end(`${ERROR_TEXT}\r\n\r\n`) },
  { name: 'a finish at the wrong token', respond: stream((next) => finish(next + 1)) },
  { name: 'a finish before the first token', respond: stream((next) => finish(next - 1 || 9)) },
  { name: 'a skipped token', respond: stream((next) => tokens(next + 1, TOKENS)) },
  { name: 'a position that is too large', respond: stream(() => token(1e300)) },
  { name: 'a position that is negative', respond: stream(() => token(-1)) },
  {
    name: 'tokens without an end in the middle of a character',
    respond: (socket) => {
      const bytes = Buffer.from(OPENED + token(20)).subarray(0, -6);
      socket.write(`${head('200 OK', STREAM_HEADERS)}${(bytes.length + 9).toString(16)}\r\n`);
      socket.end(bytes);
    },
  },
];

interface Site {
  readonly address: string;
  /** The token from which each attempt was asked to go on. */
  readonly attempts: readonly number[];
}

async function startSite(
  t: ExecutionContext,
  script: readonly Respond[],
  repeat: 'safe' | 'never' = 'safe',
): Promise<Site> {
  const attempts: number[] = [];
  const respond = async (req: IncomingMessage) => {
    const { accepted } = await json(req) as AttemptRequest;
    const answer = script[attempts.length] ?? sound;
    attempts.push(accepted.tokens);
    answer(req.socket, accepted.tokens);
  };
  const server = createServer((req) => {
    respond(req).catch(() => req.socket.destroy());
  });
  const scripted = HttpEngineClient.of(await listen(server));
  const own = await startEntry({
    engines: 4,
    client: { generate: (request, paused) => scripted.generate(request, paused) },
    change: (configuration) => ({
      ...configuration,
      models: Object.fromEntries(Object.entries(configuration.models)
        .map(([name, model]) => [name, { ...model, repeat }])),
    }),
  });
  t.teardown(() => {
    own.stop();
    server.close();
    server.closeAllConnections();
  });
  return { address: own.address, attempts };
}

/** The texts of the tokens that a caller got. */
function textOf({ text }: Reply): string {
  return [...text.matchAll(/"text":"([^"]*)"/g)].map(([, part]) => part).join('');
}

function wholeText(count: number): string {
  return Array.from({ length: count }, (_, position) => `\u4e16${position};`).join('');
}

ANSWERS.forEach(({ name, respond, notRun = false }) => {
  test(`${name}: another engine goes on with an answer that broke off`, async (t) => {
    const { address, attempts } = await startSite(t, [BREAK, respond]);
    const reply = await post(address, '/v1/completions', BODY);
    t.is(textOf(reply), wholeText(TOKENS));
    t.true(reply.text.endsWith('data: [DONE]\n\n'));
    t.notRegex(reply.text, /out of order|HTTP|event: error/);
    t.deepEqual(attempts, [0, HELD, HELD]);
  });

  test(`${name}: an answer does not look complete if all engines answer so`, async (t) => {
    const { address } = await startSite(t, [BREAK, ...Array.from({ length: 9 }, () => respond)]);
    const reply = await post(address, '/v1/completions', BODY);
    t.is(textOf(reply), wholeText(HELD));
    t.notRegex(reply.text, /out of order|HTTP\/1|\[DONE\]|finish_reason":"/);
    t.regex(reply.text, /\n\nevent: error\ndata: \{"error":\{[^\n]*"ran":"partly"\}\}\n\n$/);
  });

  test(`${name}: a request that may run once is sent again only if it was not run`, async (t) => {
    const { address, attempts } = await startSite(t, [respond], 'never');
    const reply = await post(address, '/v1/completions', BODY);
    t.is(attempts.length, notRun ? 2 : 1);
    t.is(reply.status, notRun ? 200 : 502);
    t.notRegex(reply.text, /out of order|HTTP\/1/);
    if (!notRun) t.regex(reply.text, /"ran":"unknown"/);
  });
});

test('the engines of these tests are sound', async (t) => {
  const { address, attempts } = await startSite(t, []);
  const reply = await post(address, '/v1/completions', BODY);
  t.is(textOf(reply), wholeText(TOKENS));
  t.true(reply.text.endsWith('data: [DONE]\n\n'));
  t.deepEqual(attempts, [0]);
});
