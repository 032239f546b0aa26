/**
 * Loopback ports for tests that need a port's number before they listen on it. They are below the
 * ephemeral range, from which another test could get the same port in the meantime, and each test
 * file tries ports from a block of its own, each once.
 */
import { createServer } from 'node:net';
import { threadId } from 'node:worker_threads';

const FIRST_PORT = 12_000;
const PORTS_PER_FILE = 400;
const FILES = 48;

let tried = 0;

/** Whether nothing listens on the port at the moment. */
function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export async function freePort(): Promise<number> {
  const block = FIRST_PORT + ((process.pid + threadId) % FILES) * PORTS_PER_FILE;
  while (tried < PORTS_PER_FILE) {
    const port = block + tried;
    tried += 1;
    // eslint-disable-next-line no-await-in-loop -- ports are tried one after another
    if (await isFree(port)) return port;
  }
  throw new Error(`no free port from ${block} on`);
}
