/** For any input, parsers return a finding, a refusal or a failure, and never throw. */
import { createServer, Server } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server as TcpServer } from 'node:net';
import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { lastValueFrom, toArray } from 'rxjs';
import { Random } from '../../src/common/random.js';
import { statusOf } from '../../src/common/refusal.js';
import { checkFolder } from '../../src/configuration/check.js';
import { parseStored } from '../../src/configuration/stored.js';
import { HttpEngineClient } from '../../src/engines/client.js';
import { encodeEvent } from '../../src/engines/wire.js';
import { parseBody } from '../../src/entry/completion.js';
import { EntryServer } from '../../src/entry/server.js';
import { verifyCursor, signCursor } from '../../src/generation/cursor.js';
import { answerSchema, requestSchema } from '../../src/membership/message.js';
import { encodeBody, decodeBody } from '../../src/membership/peerwire.js';
import { parseRecord } from '../../src/placement/leaseevents.js';
import { deployment, KEY, requestOf } from '../fakes/deployment.js';
import { mutated } from './mutations.js';

const RUNS = { numRuns: 400, seed: 1 };
const SOCKET_RUNS = { numRuns: 60, seed: 1 };
const SOCKET_MS = 2_000;

const BODY = '{"model":"m","prompt":"a","max_tokens":3,"stop":["x"],"seed":1,"stream":true}';
const CHAT = '{"model":"m","messages":[{"role":"user","content":"a"}],"temperature":0.5}';
const TOML = `[deployment]
name = "lisbon"
favour = "latency"
zones = ["lis-a"]
[models.listing]
version = "1"
repeat = "never"
[servers.e1]
kind = "engine"
address = "127.0.0.1:7000"
zone = "lis-a"
pool = "p"
[pools.p]
kind = "engine"
`;

testProp(
  'a request body is accepted or refused as not run',
  [fc.constantFrom('completion' as const, 'chat' as const), mutated([BODY, CHAT])],
  (t, form, text) => parseBody(form, text).match(
    () => t.pass(),
    (refusal) => t.is(`${refusal.ran} ${Math.floor(statusOf(refusal) / 100)}`, 'no 4'),
  ),
  RUNS,
);

testProp(
  'configuration files give a configuration or findings',
  [mutated([TOML]), mutated([TOML])],
  (t, first, second) => {
    const check = checkFolder({ 'a.toml': first, 'b.toml': second }, 1);
    t.true(Array.isArray(check.findings));
  },
  RUNS,
);

testProp(
  'a stored folder is read or refused',
  [mutated(['{"revision":1,"files":{"a.toml":""},"history":[]}'])],
  (t, text) => t.notThrows(() => parseStored(text)),
  RUNS,
);

const request = requestOf();
const cursor = signCursor(request, {
  number: 1, server: 'e1', version: '1', from: 0, kind: 'begin', incarnation: undefined,
}, 'key');

testProp(
  'only a cursor that was signed is verified',
  [mutated([cursor])],
  (t, text) => t.is(verifyCursor(text, request, 'key').isOk(), text === cursor),
  RUNS,
);

testProp(
  'a lease record is read or taken for another holder\'s',
  [mutated(['{"holder":"a","incarnation":1,"nonce":"n","durationMs":5,"orderMs":1}'])],
  (t, text) => t.notThrows(() => parseRecord(text, { durationMs: 1, orderMs: 1 })),
  RUNS,
);

testProp(
  'peer messages are read or refused',
  [fc.anything(), fc.uint8Array({ maxLength: 300 })],
  (t, message, bytes) => {
    t.notThrows(() => [requestSchema.safeParse(message), answerSchema.safeParse(message)]);
    const text = Buffer.from(bytes).toString();
    t.is(decodeBody(encodeBody(text)), text);
  },
  RUNS,
);

async function listen(server: TcpServer | Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const EVENTS = [
  { kind: 'opened', incarnation: 'i' },
  { kind: 'token', position: 0, text: 'a' },
  { kind: 'finish', position: 1, reason: 'stop' },
].map(encodeEvent).join('');

testProp(
  'an engine\'s stream ends with a finish or a failure',
  [mutated([EVENTS])],
  async (t, text) => {
    const server = createServer((_, res) => res.end(text));
    const client = HttpEngineClient.of(await listen(server));
    const events = await lastValueFrom(client.join('g', 1, 0).pipe(toArray()));
    t.regex(events.at(-1)?.kind ?? '', /^(finish|failed)$/);
    t.is(events.filter(({ kind }) => kind === 'finish' || kind === 'failed').length, 1);
    server.close();
  },
  SOCKET_RUNS,
);

['1e300', '-1', '1e999', '1.5', '9007199254740993'].forEach((position) => {
  test(`a token at position ${position} is a failure`, async (t) => {
    const server = createServer((_, res) => res.end(
      `data: {"kind":"token","position":${position},"text":"a"}\n\n`,
    ));
    const client = HttpEngineClient.of(await listen(server));
    const events = await lastValueFrom(client.join('g', 1, 0).pipe(toArray()));
    t.like(events, [{ kind: 'failed', cause: 'protocol' }]);
    server.close();
  });
});

testProp(
  'an engine that does not speak HTTP is a failure',
  [mutated([`HTTP/1.1 200 OK\r\ncontent-length: ${EVENTS.length}\r\n\r\n${EVENTS}`])],
  async (t, text) => {
    const server = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      socket.end(text);
    });
    const client = HttpEngineClient.of(await listen(server));
    const events = await lastValueFrom(client.join('g', 1, 0).pipe(toArray()));
    t.regex(events.at(-1)?.kind ?? '', /^(finish|failed)$/);
    await t.throwsAsync(client.load(500));
    server.close();
  },
  SOCKET_RUNS,
);

const CACHE_EVENTS = encodeEvent({
  incarnation: 'i', sequence: 1, kind: 'stored', blocks: ['b'],
});

testProp(
  'cache events are read until the stream ends in an error',
  [mutated([CACHE_EVENTS, CACHE_EVENTS + CACHE_EVENTS])],
  async (t, text) => {
    const server = createServer((_, res) => res.end(text));
    const client = HttpEngineClient.of(await listen(server));
    await t.throwsAsync(lastValueFrom(client.cacheEvents()));
    server.close();
  },
  SOCKET_RUNS,
);

/** The response to raw bytes; undefined when the server neither answers nor closes. */
function send(address: string, bytes: string): Promise<string | undefined> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect(Number(port), host);
    const timer = setTimeout(() => {
      socket.destroy();
      resolve(undefined);
    }, SOCKET_MS);
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => {
      answer += chunk;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(answer);
    });
    socket.end(bytes);
  });
}

test('callers\' bytes get a 4xx, an answer or a closed connection', async (t) => {
  const { gateway } = deployment();
  const server = EntryServer.of(gateway, Random.of(1));
  const address = await listen(server);
  const post = (body: string) => [
    'POST /v1/completions HTTP/1.1', 'Host: a', `Authorization: Bearer ${KEY}`,
    'Connection: close', `Content-Length: ${Buffer.byteLength(body)}`, '', body,
  ].join('\r\n');
  const sources = [
    post(BODY.replace('"m"', '"none"')), post('{'), post(CHAT),
    'GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
    `PUT /services/x/%zz HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${KEY}\r\n`
    + 'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nffffffff\r\nx\r\n0\r\n\r\n',
  ];
  await fc.assert(fc.asyncProperty(mutated(sources), async (bytes) => {
    const answer = await send(address, bytes);
    if (answer !== undefined && answer !== '') t.regex(answer, /^HTTP\/1\.1 (100|200|4\d\d|503)/);
  }), SOCKET_RUNS);
  const health = await send(address, 'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n');
  t.regex(health ?? '', /^HTTP\/1\.1 (200|503)/);
  server.close();
});
