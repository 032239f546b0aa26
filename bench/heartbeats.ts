/**
 * What heartbeats and shared state cost a daemon, by the number of daemons and engines: bytes on
 * the wire, processor time, and how old the shared values are. Whole deployments run in virtual
 * time with the real messages, packed as the peers' calls pack them; the cost of HTTP, tRPC and
 * signatures is measured apart over loopback and added for each exchange.
 *
 * Usage: tsx bench/heartbeats.ts [sizes, comma-separated] [seeds]
 */
import { createServer, connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { VirtualTimeScheduler } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { PeerServer } from '../src/membership/peerserver.js';
import { PERIOD_MS } from '../src/membership/membership.js';
import { answerSchema, PROTOCOL, requestSchema } from '../src/membership/message.js';
import type { PeerAnswer, PeerRequest } from '../src/membership/message.js';
import { PeerClient } from '../src/membership/peerclient.js';
import { encodeBody, decodeBody } from '../src/membership/peerwire.js';
import { publishIntervalMs } from '../src/membership/bandwidth.js';
import { Cluster, namesOf, runTo } from '../test/fakes/peers.js';
import { fitLine, quantile } from './fit.js';
import type { Point } from './fit.js';

const SIZES = [6, 9, 24, 48, 96, 190, 380];
const SEEDS = 2;
/** As at the target: 780 engines before 380 daemons. */
const ENGINES_PER_DAEMON = 780 / 380;
const WORKSPACES = 630;
const ACTIVE_WORKSPACES = 10;
const MODELS = 4;
const WARM_MS = 30_000;
const MEASURED_MS = 20_000;
const EXCHANGES = 500;
const TCP_IP_BYTES = 2 * 52;
const BUDGET_KB = 23;
const BUDGET_CPU = 1.1;

interface Transport {
  /** Bytes of an exchange beside its two bodies. */
  readonly bytes: number;
  /** Processor time of one end of an exchange, in ms, beside JSON, schema and packing. */
  readonly cpuMs: number;
}

interface Result {
  readonly daemons: number;
  readonly kilobytes: number;
  readonly largestKilobytes: number;
  readonly cpuPercent: number;
  readonly intervalMs: number;
  readonly ageMs: number;
  readonly oldestMs: number;
}

const MESSAGE: PeerAnswer = {
  kind: 'probed', protocol: PROTOCOL, target: 'x', reached: true,
};

async function relay(target: number, count: (bytes: number) => void) {
  const server = createServer((socket) => {
    const out = connect(target, '127.0.0.1');
    socket.on('data', (data) => count(data.length));
    out.on('data', (data) => count(data.length));
    socket.pipe(out).pipe(socket);
  }).listen(0, '127.0.0.1');
  await new Promise((resolve) => {
    server.once('listening', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

/** Measures an exchange over loopback, both ends in this process. */
async function measureTransport(): Promise<Transport> {
  let wire = 0;
  const subscriptions: (() => void)[] = [];
  const port = await new Promise<number>((resolve) => {
    const run = PeerServer.of({
      host: '127.0.0.1',
      port: 0,
      key: 'k',
      log: silentLog,
      handlers: { heartbeat: async () => MESSAGE },
      wallClock: Date.now,
      onListening: resolve,
    }).run.subscribe();
    subscriptions.push(() => run.unsubscribe());
  });
  const counted = await relay(port, (bytes) => {
    wire += bytes;
  });
  const client = PeerClient.of({
    key: 'k', scheduler: monotonicScheduler, random: Random.of(1), wallClock: Date.now,
  });
  const sender = { name: 'a', incarnation: 1 };
  const message = {
    kind: 'probe', protocol: PROTOCOL, sender, target: 'x', peerAddress: 'x',
  };
  const run = async (address: string) => {
    const before = process.cpuUsage();
    for (let index = 0; index < EXCHANGES; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- One exchange after the other.
      await client.exchange(address, message, PERIOD_MS);
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000 / EXCHANGES / 2;
  };
  await run(`127.0.0.1:${port}`);
  const cpuMs = await run(`127.0.0.1:${port}`);
  await run(`127.0.0.1:${counted.port}`);
  const bodies = JSON.stringify(message).length + JSON.stringify(MESSAGE).length;
  client.close();
  counted.server.close();
  subscriptions.forEach((stop) => stop());
  return { bytes: wire / EXCHANGES - bodies + TCP_IP_BYTES, cpuMs };
}

/** What a daemon would publish: the load of its engines and its own demand. */
function publishAll(cluster: Cluster, names: readonly string[], random: Random, now: number): void {
  names.forEach((name, index) => {
    const first = Math.floor(index * ENGINES_PER_DAEMON);
    const next = Math.floor((index + 1) * ENGINES_PER_DAEMON);
    for (let engine = first; engine < next; engine += 1) {
      cluster.event(name, {
        kind: 'publish',
        key: `load/engine-${engine}`,
        value: {
          at: now,
          running: random.integer(0, 64),
          waiting: random.integer(0, 9),
          slots: 64,
          stepMs: 2,
          cached: random.integer(0, 4_096),
        },
      });
    }
    const models = Array.from({ length: MODELS }, () => [
      `model-${random.integer(1, 13)}`,
      { running: random.integer(0, 20), waiting: random.integer(0, 5) },
    ]);
    const workspaces = Array.from({ length: ACTIVE_WORKSPACES }, () => [
      `workspace-${random.integer(1, WORKSPACES)}`, random.integer(1, 20),
    ]);
    cluster.event(name, {
      kind: 'publish', key: 'demand/models', value: { at: now, ...Object.fromEntries(models) },
    });
    cluster.event(name, {
      kind: 'publish',
      key: 'demand/workspaces',
      value: { at: now, ...Object.fromEntries(workspaces) },
    });
  });
}

/** How old the engines' loads are that the daemon knows. */
function agesOf(cluster: Cluster, name: string, now: number): readonly number[] {
  return [...cluster.state(name).entries.values()]
    .filter((entry) => entry.key.startsWith('load/'))
    .map((entry) => now - (entry.value as { at: number }).at);
}

function measure(daemons: number, seed: number, transport: Transport): Result {
  const scheduler = new VirtualTimeScheduler(undefined, 0);
  const names = namesOf(daemons);
  const random = Random.of(seed);
  const bytes = new Map<string, number>();
  const spend = (name: string, amount: number) => {
    bytes.set(name, (bytes.get(name) ?? 0) + amount);
  };
  let measuring = false;
  let cpuMs = 0;
  let exchanges = 0;
  const timed = <Value>(run: () => Value): Value => {
    if (!measuring) return run();
    const from = performance.now();
    const value = run();
    cpuMs += performance.now() - from;
    return value;
  };
  const onMessage = (from: string, to: string, message: PeerRequest | PeerAnswer) => {
    if (!measuring) return;
    const request = message.kind === 'probe' || ('sync' in message && message.kind === 'heartbeat');
    const packed = timed(() => encodeBody(JSON.stringify(message)));
    timed(() => {
      const value: unknown = JSON.parse(decodeBody(packed));
      if (request) requestSchema.parse(value);
      else answerSchema.parse(value);
    });
    // Every message is one half of an exchange.
    exchanges += 0.5;
    spend(from, packed.bytes.length + transport.bytes / 2);
    spend(to, packed.bytes.length + transport.bytes / 2);
  };
  const cluster = Cluster.of({
    scheduler, names, seed, onMessage, measure: (_name, run) => timed(run),
  });
  for (let now = 0; now < WARM_MS + MEASURED_MS; now += PERIOD_MS) {
    measuring = now >= WARM_MS;
    publishAll(cluster, names, random, now);
    runTo(scheduler, now + PERIOD_MS);
  }
  const seconds = MEASURED_MS / 1_000;
  const rates = names.map((name) => (bytes.get(name) ?? 0) / 1_000 / seconds);
  const ages = names.slice(0, 20).flatMap((name) => agesOf(cluster, name, scheduler.frame));
  const total = cpuMs + exchanges * 2 * transport.cpuMs;
  return {
    daemons,
    kilobytes: rates.reduce((sum, rate) => sum + rate, 0) / daemons,
    largestKilobytes: Math.max(...rates),
    cpuPercent: (total / daemons / MEASURED_MS) * 100,
    intervalMs: publishIntervalMs(cluster.state(names[0]!).sizes, 'load/'),
    ageMs: quantile(ages, 0.5),
    oldestMs: quantile(ages, 0.99),
  };
}

function print(result: Result): void {
  const engines = Math.floor(result.daemons * ENGINES_PER_DAEMON);
  process.stdout.write([
    `daemons=${result.daemons}`,
    `engines=${engines}`,
    `kB_per_s=${result.kilobytes.toFixed(1)}`,
    `largest_kB_per_s=${result.largestKilobytes.toFixed(1)}`,
    `cpu_percent=${result.cpuPercent.toFixed(2)}`,
    `publish_every_ms=${Math.round(result.intervalMs)}`,
    `age_p50_ms=${Math.round(result.ageMs)}`,
    `age_p99_ms=${Math.round(result.oldestMs)}`,
  ].join(' ').concat('\n'));
}

function printLine(what: string, unit: string, points: readonly Point[]): void {
  const { slope, intercept, slopeError } = fitLine(points);
  process.stdout.write(`${what}: ${intercept.toFixed(3)} + ${slope.toFixed(5)} (±${
    slopeError.toFixed(5)}) ${unit} for each daemon\n`);
}

const [sizesText, seedsText] = process.argv.slice(2);
const sizes = sizesText ? sizesText.split(',').map(Number) : SIZES;
const seeds = Array.from({ length: Number(seedsText ?? SEEDS) }, (_, index) => index + 1);
const transport = await measureTransport();
process.stdout.write(`exchange: ${Math.round(transport.bytes)} B beside its bodies, ${
  transport.cpuMs.toFixed(3)} ms of processor at each end\n`);
const results = sizes.flatMap((size) => seeds.map((seed) => {
  const result = measure(size, seed, transport);
  print(result);
  return result;
}));
printLine('bytes', 'kB/s', results.map(({ daemons, kilobytes }) => ({ x: daemons, y: kilobytes })));
printLine('processor', '% of a core', results
  .map(({ daemons, cpuPercent }) => ({ x: daemons, y: cpuPercent })));
printLine('age at p50', 'ms', results.map(({ daemons, ageMs }) => ({ x: daemons, y: ageMs })));
const largest = results.at(-1)!;
process.stdout.write(`at ${largest.daemons} daemons: ${
  largest.kilobytes <= BUDGET_KB ? 'within' : 'over'} ${BUDGET_KB} kB/s, ${
  largest.cpuPercent <= BUDGET_CPU ? 'within' : 'over'} ${BUDGET_CPU}% of a core\n`);
