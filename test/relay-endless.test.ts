/** Servers that send bytes without end which bring no answer on. */
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { monotonicScheduler } from '../src/common/time.js';
import { HttpEngineClient } from '../src/engines/client.js';
import { Connections } from '../src/relay/connections.js';
import { exchange } from '../src/relay/exchange.js';
import type { ExchangeEvent } from '../src/relay/exchange.js';
import { Meter } from '../src/relay/meter.js';
import { fetchSnapshot } from '../src/relay/peersnapshot.js';
import { StreamResponse } from '../src/relay/streamresponse.js';
import { eventually } from './fakes/eventually.js';
import { callRaw } from './fakes/rawcaller.js';
import {
  eventsText, HOST, KEY, Relay,
} from './fakes/relay.js';
import {
  chunk, EVENTS, head, scriptedEngines, STREAM_HEADERS,
} from './fakes/scriptedengines.js';

/** Writes for as long as the connection lasts, as much as it takes. */
function writeEndlessly(socket: Socket, bytes: Buffer): void {
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
}

const HELD = 2;
const PLAIN_HEADERS = STREAM_HEADERS.slice(0, 1);
const inChunks = (text: string) => chunk(text);

/** What comes after the first events, again and again. */
const ENDLESS: Readonly<Record<string, { readonly bytes: string; readonly chunked?: boolean }>> = {
  'blank lines': { bytes: '\n'.repeat(8_192) },
  'blank lines of CR and LF': { bytes: '\r\n'.repeat(8_192) },
  'comments that end as events do': { bytes: ': kept open\n\n'.repeat(1_000) },
  'comments of many lines': { bytes: ': kept\n'.repeat(1_000) },
  'blank lines in chunks of one byte': { bytes: inChunks('\n').repeat(2_000), chunked: true },
  'blank lines in large chunks': { bytes: inChunks('\n'.repeat(30_000)), chunked: true },
};

Object.entries(ENDLESS).forEach(([name, { bytes, chunked = false }]) => {
  test.serial(`a stream leaves a server that sends ${name} without end`, async (t) => {
    const { engines, attemptsOf } = scriptedEngines({
      r1: [(socket, attempt) => {
        const first = eventsText(HELD);
        socket.write(chunked ? `${head(attempt, '200 OK', STREAM_HEADERS)}${chunk(first)}`
          : `${head(attempt, '200 OK', PLAIN_HEADERS)}${first}`);
        writeEndlessly(socket, Buffer.from(bytes));
      }],
    });
    const relay = await Relay.of(t, { engines });
    t.true(await eventually(() => (
      relay.daemon.ready && relay.log.of('server_listed').length >= engines.length)));
    const reply = await callRaw(relay.endpoint, [
      'POST /stream/ HTTP/1.1', `Host: ${HOST}`, 'x-id: r1', `x-key: ${KEY}`,
      'x-prompt: 80', 'x-output: 20', 'x-deadline: 15000',
    ], 'prompt');
    t.like(reply, { status: 200, body: eventsText(EVENTS), whole: true });
    t.is(attemptsOf('r1').length, 2);
    // It is no crash, and its bytes are what ended the attempt.
    t.regex(String(relay.log.of('attempt_failed')[0]?.reason), /too much|too small|too long/);
    t.deepEqual(relay.log.of('server_suspected'), []);
  });
});

function responseOf(): StreamResponse {
  return StreamResponse.of({ status: 200, headers: [] }, { kind: 'answer' }, {
    method: 'POST', from: 0, hasBegun: false, emptyEndAt: undefined,
  });
}

test('a server\'s comments, several a second for many minutes, end no stream', (t) => {
  const response = responseOf();
  const comment = Buffer.from(': keep-alive\n\n');
  for (let second = 0; second < 20 * 60; second += 1) {
    for (let index = 0; index < 5; index += 1) t.deepEqual(response.push(comment), []);
  }
  t.like(response.push(Buffer.from('id: 1\ndata: a\n\n')), [{ kind: 'event', position: 0 }]);
});

test('a long stream may hold as many comments as events', (t) => {
  const response = responseOf();
  for (let id = 1; id <= 20_000; id += 1) {
    const event = Buffer.from(`: ${'c'.repeat(20)}\n\nid: ${id}\ndata: ${'a'.repeat(20)}\n\n`);
    t.is(response.push(event)[0]?.kind, 'event');
  }
});

/** Serves responses that go on without end. */
async function endless(
  t: ExecutionContext,
  first: string,
  bytes: Buffer,
  sockets: Socket[] = [],
): Promise<string> {
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(first);
      writeEndlessly(socket, bytes);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const BODIES: Readonly<Record<string, { readonly first: string; readonly bytes: string }>> = {
  'a body until the connection closes': { first: `${HEAD}\r\n`, bytes: 'a'.repeat(65_536) },
  'chunks of some bytes': {
    first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, bytes: chunk('some bytes').repeat(4_000),
  },
};
/** What is read of one connection at once, beside what the system hands over in one read. */
const MAX_TURN_BYTES = 2 * 65_536;

Object.entries(BODIES).forEach(([name, { first, bytes }]) => {
  test.serial(`other connections have their turn while a server sends ${name}`, async (t) => {
    const address = await endless(t, first, Buffer.from(bytes));
    const connections = Connections.of(Meter.of());
    const turns: number[] = [0];
    let isOpen = true;
    const countTurn = () => {
      turns.push(0);
      if (isOpen) setImmediate(countTurn);
    };
    countTurn();
    let body = 0;
    await new Promise<void>((resolve) => {
      const received = exchange({
        agent: connections.agent('s'),
        address,
        method: 'GET',
        target: '/',
        headers: ['Host', 'h'],
        body: Buffer.alloc(0),
        reuse: false,
        singleFields: new Set(),
      }, monotonicScheduler).subscribe((event: ExchangeEvent) => {
        if (event.kind !== 'piece') return;
        body += event.bytes.length;
        turns[turns.length - 1]! += event.bytes.length;
        if (body < 4_000_000) return;
        received.unsubscribe();
        resolve();
      });
    });
    isOpen = false;
    t.true(Math.max(...turns) <= MAX_TURN_BYTES, `${Math.max(...turns)}`);
    connections.closeAll();
  });
});

/** More than is read of any answer, with what the system buffers. */
const MAX_READ_BYTES = 32_000_000;
const LINE = Buffer.from('a'.repeat(65_536));

/** Resolves to the bytes that were sent, once the connection has been closed. */
async function sentUntilClosed(sockets: readonly Socket[]): Promise<number> {
  await eventually(() => sockets[0]?.destroyed ?? false);
  return sockets[0]?.bytesWritten ?? 0;
}

test.serial('another instance can\'t fill the memory with a snapshot without end', async (t) => {
  const sockets: Socket[] = [];
  const address = await endless(t, `${HEAD}\r\n{"result":"`, LINE, sockets);
  await t.throwsAsync(fetchSnapshot(address), { message: /snapshot/ });
  const sent = await sentUntilClosed(sockets);
  t.true(sent <= MAX_READ_BYTES, `${sent} bytes`);
});

['a line', 'comments'].forEach((what) => {
  test.serial(`an engine can't fill the memory with cache events: ${what}`, async (t) => {
    const sockets: Socket[] = [];
    const bytes = what === 'a line' ? LINE : Buffer.from(': kept open\n\n'.repeat(5_000));
    const first = `${HEAD}Content-Type: text/event-stream\r\n\r\n`;
    const address = await endless(t, first, bytes, sockets);
    const failed = new Promise((resolve) => {
      HttpEngineClient.of(address).cacheEvents().subscribe({ error: resolve });
    });
    t.regex(String(await failed), /too much/);
    const sent = await sentUntilClosed(sockets);
    t.true(sent <= MAX_READ_BYTES, `${sent} bytes`);
  });
});
