import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { monotonicScheduler } from '../src/common/time.js';
import { Random } from '../src/common/random.js';
import { MemoryObjects } from '../src/standin/objects.js';
import { ObjectServer } from '../src/standin/objectserver.js';
import { StoreCalls } from '../src/store/calls.js';
import { HttpObjects } from '../src/store/client.js';
import type { StoreError, WatchEvent } from '../src/store/objects.js';
import { codeOf, expectOk } from './fakes/objects.js';

const ABSENT = { kind: 'absent' } as const;

async function startStore(t: ExecutionContext) {
  const objects = MemoryObjects.of(monotonicScheduler, Random.of(1));
  const server = await ObjectServer.listen(objects, monotonicScheduler, '127.0.0.1', 0);
  const client = HttpObjects.of(server.address, monotonicScheduler);
  t.teardown(async () => {
    client.close();
    await server.close();
  });
  return { objects, server, client };
}

/** Starts a TCP server that handles each connection with `behave`, and returns a client for it. */
async function startRaw(t: ExecutionContext, behave: (socket: Socket) => void) {
  const sockets: Socket[] = [];
  const server = await new Promise<Server>((resolve) => {
    const made = createServer((socket) => {
      sockets.push(socket.on('error', () => undefined));
      behave(socket);
    });
    made.listen(0, '127.0.0.1', () => resolve(made));
  });
  const client = HttpObjects.of(
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
    monotonicScheduler,
  );
  t.teardown(() => {
    client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return client;
}

test('objects up to the size limit pass through HTTP unchanged', async (t) => {
  const { client } = await startStore(t);
  const name = 'a/ř?&%';
  const first = expectOk(await client.put(name, 'x'.repeat(1_048_576), ABSENT, 'status'));
  t.deepEqual(expectOk(await client.get(name, 'status')), first);
  t.is(expectOk(await client.list('a/', 'status')).objects.length, 1);
  const expected = { kind: 'version', version: first.version } as const;
  t.is(codeOf(await client.put(name, 'y', ABSENT, 'status')), 'conflict');
  t.is(codeOf(await client.put(name, 'y'.repeat(1_048_577), expected, 'status')), 'too_large');
  t.is(codeOf(await client.remove(name, first.version, 'status')), 'ok');
  t.is(codeOf(await client.get(name, 'status')), 'not_found');
});

test('a watch delivers changes, and fails if its start version is too old', async (t) => {
  const { client, objects } = await startStore(t);
  const seen: (WatchEvent['kind'] | StoreError['code'])[] = [];
  const watchFrom = (from: number) => new Promise<void>((resolve) => {
    client.watch('a', from, 'configuration').subscribe({
      next: (event) => {
        seen.push(event.kind);
        if (event.kind === 'opened') resolve();
      },
      error: (error: StoreError) => {
        seen.push(error.code);
        resolve();
      },
    });
  });
  await watchFrom(0);
  const object = expectOk(await client.put('a', '1', ABSENT, 'status'));
  await client.remove('a', object.version, 'status');
  await client.get('a', 'status');
  t.deepEqual(seen, ['opened', 'put', 'delete']);
  objects.compact();
  await watchFrom(0);
  t.is(seen.at(-1), 'version_too_old');
  t.is(objects.counts().byClass.configuration, 2);
});

test('a write fails as unavailable if not sent, as ambiguous if its answer is lost', async (t) => {
  const { client, server, objects } = await startStore(t);
  objects.setFaults({ lostAnswers: 1 });
  t.is(codeOf(await client.put('a', '1', ABSENT, 'status')), 'ambiguous');
  t.is(codeOf(await client.get('a', 'status')), 'ok');
  objects.setFaults({ outage: true });
  t.is(codeOf(await client.put('b', '1', ABSENT, 'status')), 'unavailable');
  const fresh = HttpObjects.of(server.address, monotonicScheduler);
  await server.close();
  t.is(codeOf(await fresh.put('b', '1', ABSENT, 'status')), 'unavailable');
});

const behaviours: readonly [string, (socket: Socket) => void][] = [
  ['resets', (socket) => socket.once('data', () => socket.resetAndDestroy())],
  ['never answers', () => undefined],
  ['cuts off its JSON', (socket) => socket.once('data', () => {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{"a"');
  })],
  ['answers with an error without a code', (socket) => socket.once('data', () => {
    socket.end('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n');
  })],
  ['closes the connection within its answer', (socket) => socket.once('data', () => {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"name"');
  })],
];

behaviours.forEach(([name, behave]) => {
  test(`a store that ${name} leaves a write ambiguous and a read unavailable`, async (t) => {
    const client = await startRaw(t, behave);
    const [put, get] = await Promise.all([
      client.put('a', '1', ABSENT, 'status'), client.get('a', 'status'),
    ]);
    t.is(codeOf(put), 'ambiguous');
    t.is(codeOf(get), 'unavailable');
  });
});

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n';
const EXTRAS: readonly { readonly name: string; readonly extra: string; later: boolean }[] = [
  { name: 'after an answer, on the idle connection', extra: `${ANSWER}x`, later: true },
  { name: 'in the answer\'s packet', extra: `${ANSWER}x`, later: false },
  { name: 'as the first half of an answer', extra: ANSWER, later: true },
];
EXTRAS.forEach(({ name, extra, later }) => {
  test(`an extra answer of the store is not taken for the next call's: ${name}`, async (t) => {
    let calls = 0;
    const server = createServer((socket) => socket.on('error', () => undefined).on('data', () => {
      calls += 1;
      const own = `${ANSWER}${calls}`;
      socket.write(calls === 1 && !later ? own + extra : own);
      if (calls === 1 && later) setTimeout(() => socket.write(extra), 10);
    }));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const store = StoreCalls.of(`127.0.0.1:${port}`, monotonicScheduler);
    t.teardown(() => {
      store.close();
      server.close();
    });
    const text = async () => (await store.send({ method: 'GET', path: '/', headers: {} }, 5_000))
      .match((answer) => answer.text, ({ message }) => message);
    t.is(await text(), '1');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    t.is(await text(), '2');
  });
});
