import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import test from 'ava';
import { createCallerServer } from '../src/entry/httpserver.js';

const MAX_LINGERING = 32;
const CALLERS = 60;
/** Longer than the pause between two parts of discarded input; 60 such are still within 5 s. */
const READ_MS = 40;
/** One that is being served, and those whose end is under way. */
const OTHERS = 4;

test('connections that were ended and send on are not left open without bound', async (t) => {
  const server = createCallerServer((_, res) => {
    res.writeHead(413, { connection: 'close' }).end();
  });
  t.teardown(() => server.close());
  const port = await new Promise<number>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port));
  });
  const counts: number[] = [];
  for (let index = 0; index < CALLERS; index += 1) {
    const caller = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    t.teardown(() => caller.destroy());
    caller.on('error', () => undefined);
    caller.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n');
    // eslint-disable-next-line no-await-in-loop -- one caller after another
    const [answer] = await once(caller, 'data') as [Buffer];
    t.regex(answer.toString(), /^HTTP\/1.1 413 /);
    caller.write('x');
    // eslint-disable-next-line no-await-in-loop -- what was sent is read, and one closed for it
    await sleep(READ_MS);
    // eslint-disable-next-line no-await-in-loop -- a count for each caller
    counts.push(await promisify(server.getConnections.bind(server))());
  }
  t.true(Math.max(...counts) <= MAX_LINGERING + OTHERS, `${Math.max(...counts)}`);
});
