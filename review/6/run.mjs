/** A machine stands still while engines end and their addresses go to another service. */
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import {
  configuration, ENGINE, Record, route, run, sleep, withTrouble,
} from '../lib-2/case.mjs';
import { newId, send } from '../lib-2/client.mjs';
import { Daemon, freePorts } from '../lib-2/daemon.mjs';
import { Engine } from '../lib-2/engine.mjs';
import { Store } from '../lib-2/store.mjs';

const WRITERS = 13;
/** A share of 0.15. */
const ENDING = 2;
const PAUSE_MS = 20;
const PLAY_MS = 17_000;
const FREEZE_MS = 3_500;
const OUTAGE_MS = 8_000;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const engines = [];
let daemon;

async function add(options) {
  const engine = new Engine({
    zone: 'a',
    version: 'v1',
    slots: ENGINE.Slots,
    stepMs: 50,
    events: 14,
    workMs: 20,
    store,
    note: (text) => record.note(text),
    ...options,
  });
  engines.push(engine);
  await engine.start();
  return engine;
}

async function stream(port, number) {
  const id = newId('s');
  const answer = await send({
    host: '127.0.0.1',
    port,
    path: '/draft/x',
    id,
    headers: {
      Model: 'm',
      'Token-Counts': '800,100',
      'Prompt-Prefix': `aa:200,${(0xb0000 + number).toString(16)}:600`,
    },
  });
  const { status, whole, error } = answer;
  record.note(`${id}: ${status}, ${whole ? 'whole' : `not whole: ${error}`}`);
  return answer;
}

/** The engines end for good; their addresses go to another service once `ReuseAfterS` is over. */
async function replace(ended) {
  await sleep(300);
  ended.forEach((engine) => engine.crash());
  await sleep(2_100);
  await ended.reduce(async (before, engine, index) => {
    await before;
    await sleep(20);
    await add({ id: `i-app-${index + 1}`, service: 'app', address: engine.address });
  }, Promise.resolve());
}

async function trouble(ended) {
  await sleep(4_000);
  record.note(`the store is down for ${OUTAGE_MS} ms`);
  store.isDown = true;
  const outage = sleep(OUTAGE_MS);
  await sleep(300);
  record.note(`the machine stands still for ${FREEZE_MS} ms`);
  daemon.signal('SIGSTOP');
  const replaced = replace(ended);
  await sleep(FREEZE_MS);
  daemon.signal('SIGCONT');
  record.note('the machine goes on');
  await replaced;
  await outage;
  store.isDown = false;
  record.note('the store is back');
  // It removes the entries of engines that have ended.
  ended.forEach(({ id }) => store.remove('servers', id));
}

async function play() {
  const [storePort, front, ready, peer, metrics, appPort, ...ports] = await freePorts(6 + WRITERS);
  await store.listen(storePort);
  store.put('config', 'main', configuration(
    [
      route('draft', '/draft/', 'streaming', 'writers', {
        Sticky: true, Resumable: true, TargetGapMs: 700,
      }),
      route('look', '/look/', 'safe', 'app', {
        TimeoutMs: 1_000, TargetLatencyMs: 200, MaxAttempts: 3,
      }),
    ],
    [
      {
        Name: 'writers', HealthPath: '/health', MaxConns: 180, Protocol: 'h1', Engine: ENGINE,
      },
      {
        Name: 'app', HealthPath: '/health', MaxConns: 110, Protocol: 'h1',
      },
    ],
  ));
  await add({ id: 'i-app-0', service: 'app', address: `127.0.0.1:${appPort}` });
  await Promise.all(ports.map((port, index) => (
    add({ id: `i-${index}`, service: 'writers', address: `127.0.0.1:${port}` }))));
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
  const writers = engines.filter(({ service }) => service === 'writers');
  const troubled = withTrouble ? trouble(writers.slice(0, ENDING)) : Promise.resolve();
  const until = performance.now() + PLAY_MS;
  const streams = [];
  while (performance.now() < until) {
    streams.push(stream(front, streams.length));
    // eslint-disable-next-line no-await-in-loop -- one stream after the other
    await sleep(PAUSE_MS);
  }
  const answers = await Promise.all(streams);
  await troubled;
  const served = answers.filter(({ status, whole }) => status === 200 && whole).length;
  const wrong = engines.filter(({ service }) => service === 'app').flatMap(({ id, runs }) => (
    runs.map(({ request }) => `${request} at ${id}`)));
  record.note(`${served} of ${answers.length} streams were served`);
  record.note(`${wrong.length} were run by engines of the service app: ${wrong.join(', ')}`);
  if (served < answers.length / 4) throw new Error('too few streams were served');
  return wrong.length === 0;
}

await run(record, play, () => {
  daemon?.signal('SIGCONT');
  daemon?.end();
  engines.forEach((engine) => engine.crash());
  store.close();
});
