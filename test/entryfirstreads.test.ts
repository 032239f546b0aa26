/** Callers beside a crowd of connections that all have much to parse. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { createCallerServer } from '../src/entry/httpserver.js';

const CROWD = 40;
const CHUNKS = 2_000;

// All that can be read in one turn of the event loop is parsed before anybody is answered.
test('a caller waits until the bodies of a crowd, in small chunks, are all parsed', async (t) => {
  let begun = 0;
  const server = createCallerServer((req, res) => {
    if (req.url === '/call') res.end();
    else {
      begun += 1;
      req.resume();
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const open = async () => {
    const socket = connect(port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  t.teardown(() => server.close());
  const crowd = await Promise.all(Array.from({ length: CROWD }, open));
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
  crowd.forEach((socket) => socket.write(`${head}${'1\r\nx\r\n'.repeat(CHUNKS)}`));
  const caller = await open();
  caller.write('GET /call HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(caller, 'data');
  t.true(begun < CROWD / 2, `${begun} were parsed before`);
  while (begun < CROWD) {
    // eslint-disable-next-line no-await-in-loop -- one request after the other
    await once(server, 'request');
  }
  t.is(begun, CROWD);
});
