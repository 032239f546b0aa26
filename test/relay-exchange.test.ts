import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { lastValueFrom, toArray } from 'rxjs';
import { monotonicScheduler } from '../src/common/time.js';
import { HttpEngineClient } from '../src/engines/client.js';
import { Connections } from '../src/relay/connections.js';
import { Meter } from '../src/relay/meter.js';
import { exchange } from '../src/relay/exchange.js';
import type { ExchangeEvent } from '../src/relay/exchange.js';
import { eventually } from './fakes/eventually.js';

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n';
const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=10\r\n\r\nbody';
const CHUNKED_WHOLE = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n';
const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart';

/** Starts a server that handles each request on each connection with `answer`. */
async function startServer(
  t: ExecutionContext,
  respond: (socket: Socket, request: number) => void,
): Promise<{ address: string; connections: () => number }> {
  let connections = 0;
  let requests = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      respond(socket, requests);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, connections: () => connections };
}

/** Writes for as long as the connection lasts. */
function writeEndlessly(socket: Socket, head: string, bytes: string): void {
  socket.write(head);
  const writing = setInterval(() => socket.write(bytes.repeat(1_000)), 1);
  socket.once('close', () => clearInterval(writing));
}

const MAX_BODY_BYTES = 100_000;

function send(
  address: string,
  connections: Connections,
  headers = ['Host', 'h'],
): Promise<ExchangeEvent[]> {
  return lastValueFrom(exchange({
    agent: connections.agent('s'),
    address,
    method: 'GET',
    target: '/',
    headers,
    body: Buffer.alloc(0),
    reuse: true,
    singleFields: new Set(['x-id']),
    maxBodyBytes: MAX_BODY_BYTES,
  }, monotonicScheduler).pipe(toArray()));
}

function lastKind(events: readonly ExchangeEvent[]): string {
  const event = events.at(-1);
  return event?.kind === 'failed' ? `failed ${event.ran}` : String(event?.kind);
}

const RESPONSES: readonly { name: string; respond: (socket: Socket) => void; end: string }[] = [
  { name: 'with a length', respond: (socket) => socket.write(WHOLE), end: 'end' },
  {
    name: 'without a length, closed in order',
    respond: (socket) => socket.end(UNFRAMED),
    end: 'end',
  },
  {
    name: 'without a length, reset after its last bytes',
    respond: (socket) => {
      socket.write(UNFRAMED);
      socket.resetAndDestroy();
    },
    end: 'failed unknown',
  },
  {
    name: 'shorter than its length',
    respond: (socket) => socket.end(WHOLE.slice(0, -2)),
    end: 'failed unknown',
  },
  {
    name: 'cut off between chunks',
    respond: (socket) => socket.end(CHUNKED),
    end: 'failed unknown',
  },
  {
    name: 'that is not HTTP',
    respond: (socket) => socket.end('nonsense\r\n\r\n'),
    end: 'failed unknown',
  },
  {
    name: 'of empty lines without end',
    respond: (socket) => writeEndlessly(socket, '', '\r\n'),
    end: 'failed unknown',
  },
  {
    name: 'with a reason without end',
    respond: (socket) => writeEndlessly(socket, 'HTTP/1.1 200 ', 'a'),
    end: 'failed unknown',
  },
  {
    name: 'with headers without end',
    respond: (socket) => writeEndlessly(socket, 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'),
    end: 'failed unknown',
  },
  {
    name: 'of interim heads without end',
    respond: (socket) => writeEndlessly(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'),
    end: 'failed unknown',
  },
  {
    name: 'with a body without end',
    respond: (socket) => writeEndlessly(socket, 'HTTP/1.1 200 OK\r\n\r\n', 'a'),
    end: 'failed unknown',
  },
  {
    name: 'with chunks without end',
    respond: (socket) => writeEndlessly(socket, CHUNKED, '2\r\nab\r\n'),
    end: 'failed unknown',
  },
  {
    name: 'with an extension of a chunk without end',
    respond: (socket) => writeEndlessly(socket, `${CHUNKED}2;`, 'a'),
    end: 'failed unknown',
  },
  {
    name: 'with trailers without end',
    respond: (socket) => writeEndlessly(socket, `${CHUNKED}0\r\n`, 'a: b\r\n'),
    end: 'failed unknown',
  },
];

RESPONSES.forEach(({ name, respond, end }) => {
  test(`a response ${name} ends as ${end}`, async (t) => {
    const { address } = await startServer(t, respond);
    const connections = Connections.of(Meter.of());
    t.is(lastKind(await send(address, connections)), end);
    connections.closeAll();
  });
});

test('a connection is reused after a complete response', async (t) => {
  const server = await startServer(t, (socket) => socket.write(WHOLE));
  const connections = Connections.of(Meter.of());
  await send(server.address, connections);
  const events = await send(server.address, connections);
  t.is(lastKind(events), 'end');
  t.deepEqual(events[0], { kind: 'sent', reused: true });
  t.is(server.connections(), 1);
  connections.closeAll();
});

test('an idle timeout that no timer measures is no error', async (t) => {
  const long = WHOLE.replace('timeout=10', `timeout=${'9'.repeat(400)}`);
  const server = await startServer(t, (socket) => socket.write(long));
  const connections = Connections.of(Meter.of());
  await send(server.address, connections);
  t.is(lastKind(await send(server.address, connections)), 'end');
  t.is(server.connections(), 1);
  connections.closeAll();
});

test('a connection with unsolicited bytes is not reused', async (t) => {
  const server = await startServer(t, (socket, request) => {
    // The idle timeout outlasts the test, so that it can't be what closes the connection.
    socket.write(WHOLE.replace('timeout=10', 'timeout=100'));
    if (request === 1) setTimeout(() => socket.write(WHOLE), 20);
  });
  const connections = Connections.of(Meter.of());
  await send(server.address, connections);
  const idle = () => Object.values(connections.agent('s').freeSockets).flat().length;
  t.true(await eventually(() => idle() === 0));
  const events = await send(server.address, connections);
  t.deepEqual(events[0], { kind: 'sent', reused: false });
  t.is(server.connections(), 2);
  connections.closeAll();
});

test('a refused connection means that the request did not run', async (t) => {
  const connections = Connections.of(Meter.of());
  t.is(lastKind(await send('127.0.0.1:1', connections)), 'failed no');
});

test('an address that Node.js refuses fails the attempt, and no code around it', async (t) => {
  const connections = Connections.of(Meter.of());
  t.is(lastKind(await send('127.0.0.1:70000', connections)), 'failed no');
  t.false(await connections.accepts('127.0.0.1:70000', 50));
  const events = lastValueFrom(HttpEngineClient.of('127.0.0.1:70000').join('g', 1, 0));
  t.like(await events, { kind: 'failed', ran: 'no' });
});

test('a header that Node.js refuses says nothing of the server', async (t) => {
  const connections = Connections.of(Meter.of());
  t.is(lastKind(await send('127.0.0.1:1', connections, ['Host', 'h', 'X', '\n'])), 'unsent');
});

/** Blocks the event loop, as a busy instance does. */
function blockEventLoop(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

test.serial('a server reached while the event loop is blocked is not taken for lost', async (t) => {
  const { address } = await startServer(t, (socket) => socket.write(WHOLE));
  const connections = Connections.of(Meter.of());
  const sent = send(address, connections);
  blockEventLoop(300);
  t.is(lastKind(await sent), 'end');
  const accepted = connections.accepts(address, 50);
  blockEventLoop(150);
  t.true(await accepted);
  connections.closeAll();
});

/** What a server that wrote nothing wrong sends after a response, in the same packet. */
const TRAILERS: readonly { name: string; bytes: string }[] = [
  { name: 'another response', bytes: WHOLE },
  { name: 'bytes that are no response', bytes: 'nonsense' },
  { name: 'an interim response', bytes: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { name: 'a switch of protocols', bytes: 'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n' },
];

TRAILERS.forEach(({ name, bytes }) => [WHOLE, CHUNKED_WHOLE].forEach((response) => {
  test(`a response is delivered with ${name} after it: ${response.slice(17, 25)}`, async (t) => {
    const { address, connections: opened } = await startServer(t, (socket) => (
      socket.write(response + bytes)));
    const connections = Connections.of(Meter.of());
    const events = await send(address, connections);
    t.is(lastKind(events), 'end', JSON.stringify(events));
    const body = events.flatMap((event) => (event.kind === 'piece' ? [event.bytes] : []));
    t.is(Buffer.concat(body).toString(), 'body');
    t.is(lastKind(await send(address, connections)), 'end');
    t.is(opened(), 2);
    connections.closeAll();
  });
}));

test('a response that comes before its request is written is not its own', async (t) => {
  let kept: Socket | undefined;
  let requests = 0;
  const server = await startServer(t, (socket) => {
    requests += 1;
    kept = socket;
    socket.write(WHOLE);
  });
  const connections = Connections.of(Meter.of());
  await send(server.address, connections);
  const events = send(server.address, connections);
  // The connection has left the pool, and the request is written in a later round of the loop.
  kept!.write(WHOLE.slice(0, -2));
  setTimeout(() => kept!.write(WHOLE.slice(-2)), 20);
  t.is(lastKind(await events), 'unsent', JSON.stringify(await events));
  t.is(requests, 1);
  connections.closeAll();
});
