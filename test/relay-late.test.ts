/** Requests that an instance reads or sends late, as when its processor is used up. */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { lastValueFrom, toArray } from 'rxjs';
import { monotonicScheduler } from '../src/common/time.js';
import { Connections } from '../src/relay/connections.js';
import { exchange } from '../src/relay/exchange.js';
import type { ExchangeEvent } from '../src/relay/exchange.js';
import { Meter } from '../src/relay/meter.js';
import { eventually } from './fakes/eventually.js';
import { HOST, KEY, Relay } from './fakes/relay.js';

const DEADLINE_MS = 500;
/** Long enough for the deadline to pass while nothing is read. */
const BLOCKED_MS = 900;

/** Keeps the event loop from reading anything. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function requestText(path: string, id: string, deadlineMs: number): string {
  return [
    `POST ${path} HTTP/1.1`, `Host: ${HOST}`, `x-id: ${id}`, `x-key: ${KEY}`,
    `x-deadline: ${deadlineMs}`, 'x-prompt: 10', `x-parts: own-${id}`, 'Content-Length: 4', '',
    'body',
  ].join('\r\n');
}

async function startRelay(t: ExecutionContext): Promise<Relay> {
  const relay = await Relay.of(t, {
    engines: [{ id: 'e1', zone: 'a' }], plain: [{ id: 's1', zone: 'a' }],
  });
  t.true(await eventually(() => relay.daemon.ready
    && relay.log.of('server_listed').length >= 2));
  return relay;
}

function reached(relay: Relay, id: string): boolean {
  return [...relay.engines, ...relay.plain]
    .some(({ requests }) => requests.some(({ headers }) => headers['x-id'] === id));
}

async function openConnection(t: ExecutionContext, relay: Relay): Promise<Socket> {
  const { ip, callersPort } = relay.endpoint;
  const socket = connect(callersPort, ip);
  t.teardown(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

function replyOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
      if (text.includes('}') || text.includes('s1 /')) resolve(text);
    });
    socket.on('close', () => resolve(text));
  });
}

const PATHS = ['/safe/', '/unsafe/', '/stream/'];

PATHS.forEach((path) => {
  test.serial(`a request whose caller has left reaches no server: ${path}`, async (t) => {
    const relay = await startRelay(t);
    // Opens a connection to the server, so that the next request need not wait for one.
    const warm = await relay.call(path, { 'x-id': 'warm', 'x-prompt': '10' }, 'body');
    t.is(warm.status, 200);
    const socket = await openConnection(t, relay);
    socket.end(requestText(path, 'left', 60_000));
    await once(socket, 'close');
    t.true(await eventually(() => relay.log.of('answered').some(({ request }) => (
      request === 'left'))));
    t.false(reached(relay, 'left'));
  });

  test.serial(`a request that is read after its deadline is refused: ${path}`, async (t) => {
    const relay = await startRelay(t);
    const socket = await openConnection(t, relay);
    const first = replyOf(socket);
    socket.write(requestText('/safe/', 'first', 60_000));
    t.true((await first).startsWith('HTTP/1.1 200'));
    const reply = replyOf(socket);
    socket.write(requestText(path, 'late', DEADLINE_MS));
    block(BLOCKED_MS);
    const text = await reply;
    t.true(text.startsWith('HTTP/1.1 503'), text);
    t.true(text.includes('"ran":"no"'), text);
    t.false(reached(relay, 'late'));
  });
});

test.serial('an instance that was paused does not doubt servers that it waits for', async (t) => {
  const relay = await Relay.of(t, {
    plain: ['s1', 's2', 's3'].map((id) => ({
      id,
      zone: 'a',
      respond: (req, res, engine) => {
        setTimeout(() => res.writeHead(200, engine.responseHeaders(req)).end('ok'), 200);
        return true;
      },
    })),
  });
  t.true(await eventually(() => relay.daemon.ready
    && relay.log.of('server_listed').length >= 3));
  const replies = ['r1', 'r2', 'r3'].map((id) => relay.call('/unsafe/', { 'x-id': id }, 'body'));
  t.true(await eventually(() => relay.plain.some(({ requests }) => requests.length > 0)));
  block(BLOCKED_MS);
  t.deepEqual((await Promise.all(replies)).map(({ status }) => status), [200, 200, 200]);
  await new Promise((resolve) => {
    setTimeout(resolve, 400);
  });
  const asked = relay.plain.flatMap(({ requests }) => requests.map(({ url }) => url));
  t.deepEqual(asked, ['/unsafe/', '/unsafe/', '/unsafe/']);
  t.deepEqual(relay.log.of('service_unreached'), []);
});

test.serial('a connection that is accepted late is known to have waited', async (t) => {
  const relay = await startRelay(t);
  const { ip, callersPort } = relay.endpoint;
  const worker = new Worker(`
    const { parentPort } = require('node:worker_threads');
    parentPort.once('message', ({ port, host, text }) => {
      const socket = require('node:net').connect(port, host, () => socket.write(text));
      let reply = '';
      socket.on('data', (bytes) => { reply += bytes; });
      socket.on('close', () => parentPort.postMessage(reply));
      setTimeout(() => socket.destroy(), ${BLOCKED_MS * 2});
    });
    parentPort.postMessage('started');
  `, { eval: true });
  t.teardown(() => worker.terminate());
  await once(worker, 'message');
  worker.postMessage({
    port: callersPort, host: ip, text: requestText('/safe/', 'late', DEADLINE_MS),
  });
  block(BLOCKED_MS);
  const [reply] = await once(worker, 'message') as [string];
  t.true(reply.startsWith('HTTP/1.1 503'), reply);
  t.false(reached(relay, 'late'));
});

test.serial('a request that comes after a pause has its whole time', async (t) => {
  const relay = await startRelay(t);
  block(BLOCKED_MS);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const reply = await relay.call('/safe/', { 'x-deadline': String(DEADLINE_MS) });
  t.is(reply.status, 200);
});

interface Listener { address: string; readonly sockets: Socket[]; received: number }

async function startListener(t: ExecutionContext): Promise<Listener> {
  const sockets: Socket[] = [];
  const listener = { address: '', sockets, received: 0 };
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      listener.received += 1;
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  listener.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return listener;
}

function send(
  address: string,
  connections: Connections,
  expiresAt = Infinity,
): Promise<readonly ExchangeEvent[]> {
  return lastValueFrom(exchange({
    agent: connections.agent('s'),
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', 'h'],
    body: Buffer.alloc(0),
    reuse: true,
    singleFields: new Set<string>(),
    expiresAt,
  }, monotonicScheduler).pipe(toArray()));
}

test.serial('a connection that opens after the deadline is not used', async (t) => {
  const listener = await startListener(t);
  const connections = Connections.of(Meter.of());
  const events = send(listener.address, connections, performance.now() + 50);
  block(100);
  t.deepEqual((await events).map(({ kind }) => kind), ['unsent']);
  t.is(listener.received, 0);
});

test.serial('a kept connection that the server has closed leaves a request unsent', async (t) => {
  const listener = await startListener(t);
  const connections = Connections.of(Meter.of());
  t.is((await send(listener.address, connections)).at(-1)?.kind, 'end');
  listener.sockets.forEach((socket) => socket.end());
  t.deepEqual((await send(listener.address, connections)).map(({ kind }) => kind), ['unsent']);
  t.is(listener.received, 1);
});
