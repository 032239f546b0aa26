import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { HttpEngineClient } from '../src/engines/client.js';

test('an order without an answer in time is reset and not sent later', async (t) => {
  const server = createServer((socket) => socket.on('data', () => undefined));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = HttpEngineClient.of(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const order = { kind: 'role', role: 'idle' } as const;
  const outcome = client.order({ order, fence: 1, validForMs: 2_000 });
  const [socket] = await once(server, 'connection') as [Socket];
  const [error] = await once(socket, 'error') as [NodeJS.ErrnoException];
  t.is(error.code, 'ECONNRESET');
  t.is(await outcome, 'unknown');
  server.close();
});
