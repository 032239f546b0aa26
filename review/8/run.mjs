/** A server fails requests that it has run with a 503 of its own, beside unsafe calls. */
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import {
  configuration, Record, route, run, sleep, withTrouble,
} from '../lib-2/case.mjs';
import { newId, send } from '../lib-2/client.mjs';
import { Daemon, freePorts } from '../lib-2/daemon.mjs';
import { Engine } from '../lib-2/engine.mjs';
import { Store } from '../lib-2/store.mjs';

const PLAY_MS = 15_000;
const PAUSE_MS = 35;
const DEADLINE_MS = 1_000;
/** A share of 0.4 of its requests. */
const OF = 5;
const FAILED = 2;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const engines = [];
let daemon;

/** One reservation: an attempt and, after a refusal that promises not to have run, one more. */
async function reserve(port, unit) {
  const attempts = [];
  for (let attempt = 0; attempt < 2; attempt += 1) {
    const id = newId('u');
    // eslint-disable-next-line no-await-in-loop -- one attempt after the other
    const answer = await send({
      host: '127.0.0.1', port, path: '/hold/x', id, body: unit, deadlineMs: DEADLINE_MS,
    });
    const { status, headers, error } = answer;
    attempts.push({ id, status });
    record.note(`${id} for ${unit}: ${status || error}${
      headers['response-signature'] ? ', with an engine\'s signature' : ''}`);
    if (![408, 421, 429, 503].includes(status)) break;
    // eslint-disable-next-line no-await-in-loop -- clients honour it
    await sleep(Number(headers['retry-after'] ?? 0) * 1_000);
  }
  return attempts;
}

async function play() {
  const [storePort, front, ready, peer, metrics, ...enginePorts] = await freePorts(8);
  await store.listen(storePort);
  store.put('config', 'main', configuration(
    [route('hold', '/hold/', 'unsafe', 'app', {
      TimeoutMs: DEADLINE_MS, TargetLatencyMs: 121, MaxAttempts: 3,
    })],
    [{
      Name: 'app', HealthPath: '/health', MaxConns: 96, Protocol: 'h1',
    }],
  ));
  enginePorts.forEach((port, index) => engines.push(new Engine({
    id: `i-${index}`,
    service: 'app',
    address: `127.0.0.1:${port}`,
    zone: 'a',
    version: 'v1',
    slots: 6,
    workMs: 21,
    failsAfter: withTrouble && index === 0 ? (number) => number % OF < FAILED : undefined,
    store,
    note: (text) => record.note(text),
  })));
  await Promise.all(engines.map((engine) => engine.start()));
  daemon = new Daemon({
    name: 'front-a-1',
    ip: '127.0.0.1',
    zone: 'a',
    front,
    ready,
    peer,
    metrics,
    seeds: ['127.0.0.1'],
    store: `127.0.0.1:${storePort}`,
  });
  daemon.start();
  if (!await daemon.untilReady()) throw new Error('the daemon is not ready');
  await sleep(4_000);
  const until = performance.now() + PLAY_MS;
  const reservations = [];
  while (performance.now() < until) {
    reservations.push(reserve(front, `unit-${reservations.length}`));
    // eslint-disable-next-line no-await-in-loop -- one reservation after the other
    await sleep(PAUSE_MS);
  }
  const all = await Promise.all(reservations);
  const ran = new Map();
  engines.forEach(({ id, runs }) => runs.forEach(({ request }) => {
    ran.set(request, [...ran.get(request) ?? [], id]);
  }));
  const refused = all.flat().filter(({ status }) => [408, 421, 429, 503].includes(status));
  const broken = refused.filter(({ id }) => ran.has(id));
  broken.forEach(({ id, status }) => (
    record.note(`${id}: ${status}, and ${ran.get(id)} has run it`)));
  const twice = all.filter((attempts) => attempts.filter(({ id }) => ran.has(id)).length > 1);
  record.note(`${all.length} reservations; ${refused.length} attempts were refused as not run, ${
    broken.length} of them had run; ${twice.length} units were reserved twice`);
  if (all.filter((attempts) => attempts.at(-1).status === 200).length < all.length / 2) {
    throw new Error('too few were served');
  }
  return broken.length === 0;
}

await run(record, play, () => {
  daemon?.end();
  engines.forEach((engine) => engine.crash());
  store.close();
});
