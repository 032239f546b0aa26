// Small helpers that the stand-ins and the cases share.
/* eslint-disable no-await-in-loop -- one step follows the other */
import { createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

export const now = () => performance.now();

export const newId = () => randomBytes(8).toString('hex');

/** Loopback addresses that this run alone uses: `127.a.b.1` and so on. */
const [a, b] = randomBytes(2);
export const address = (host) => `127.${10 + (a % 200)}.${b}.${host}`;

function canListen(ip, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Ports of which each is free at all of the given addresses. */
export async function freePorts(count, ips) {
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const checks = await Promise.all(ips.map((ip) => canListen(ip, port)));
    if (!ports.includes(port) && checks.every(Boolean)) ports.push(port);
  }
  return ports;
}

/** Resolves to whether the condition has become true within the time. */
export async function until(condition, ms = 15_000) {
  const end = now() + ms;
  while (now() < end) {
    if (await condition()) return true;
    await sleep(25);
  }
  return false;
}
