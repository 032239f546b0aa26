/** Connections at their limit, all of which wait for the rest of a body. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { createCallerServer } from '../src/entry/httpserver.js';
import { eventually } from './fakes/eventually.js';

const MAX_CONNECTIONS = 4;
const CHUNK = '1\r\nx\r\n';
/** Less than the pause after which a body counts as stalled. */
const CHUNK_INTERVAL_MS = 100;

// Bodies that stop time out after ten seconds only.
test('bodies that stop short of their end take all connections', async (t) => {
  let begun = 0;
  const server = createCallerServer((req, res) => {
    begun += 1;
    req.resume();
    req.on('end', () => res.end());
  });
  server.limitConnections(MAX_CONNECTIONS, () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const send = async (text: string): Promise<Socket> => {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    socket.write(text);
    return socket;
  };
  const head = `POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK}`;
  const bodies: Socket[] = [];
  for (let count = 0; count < MAX_CONNECTIONS; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- in order
    bodies.push(await send(head));
  }
  t.true(await eventually(() => begun === MAX_CONNECTIONS));
  const [slow] = bodies;
  const sending = setInterval(() => slow!.write(CHUNK), CHUNK_INTERVAL_MS);
  t.teardown(() => clearInterval(sending));
  t.true(await eventually(async () => {
    const caller = await send('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    const answer = await Promise.race([once(caller, 'data'), once(caller, 'close')]);
    caller.destroy();
    return String(answer[0]).startsWith('HTTP/1.1 200');
  }));
  t.false(slow!.destroyed);
  slow!.write('0\r\n\r\n');
  t.regex(String((await once(slow!, 'data'))[0]), /^HTTP\/1.1 200/u);
});
