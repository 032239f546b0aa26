/**
 * The cost of relaying: processor time of one daemon for each token, stream and request, its memory
 * for each open stream, and what it adds to the first token. Real processes on loopback; the
 * engines are several stand-ins, so that they are not what is measured.
 *
 *     tsx bench/tokens.ts [--seconds N] [--json] [--only tokens|memory|first]
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { firstValueFrom, filter } from 'rxjs';
import type { Favour } from '../src/configuration/configuration.js';
import { HttpEngineClient } from '../src/engines/client.js';
import { inTurn, sleep } from './deployed.js';
import type { DaemonSetup } from './deployed.js';
import { buildPrograms, Program } from './fleet.js';
import { configurationOf } from './site.js';
import type { Site } from './site.js';
import { percentiles, table } from './statistics.js';
import type { Row } from './statistics.js';
import { Callers, firstToken, MAX_TOKENS } from './tokencallers.js';

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '6' },
    json: { type: 'boolean', default: false },
    only: { type: 'string' },
  },
});

const WINDOW_MS = Number(values.seconds) * 1_000;
const WARM_MS = 2_000;
const ENGINES = 8;
const TICKS_PER_SECOND = 100;
const FIRST_TOKENS = 600;
const WARM_REQUESTS = 100;

interface Size {
  readonly streams: number;
  readonly stepMs: number;
  readonly maxTokens?: number;
}

const SIZES: readonly Size[] = [
  { streams: 25, stepMs: 4 },
  { streams: 50, stepMs: 4 },
  { streams: 100, stepMs: 4 },
  { streams: 200, stepMs: 4 },
  { streams: 200, stepMs: 2 },
  { streams: 100, stepMs: 20 },
  { streams: 400, stepMs: 20 },
];
/** Answers of one token each, which cost little but their requests. */
const SHORT: Size = { streams: 16, stepMs: 2, maxTokens: 1 };
const MEMORY_STREAMS: readonly number[] = [0, 100, 200, 400, 800];

function siteOf(stepMs: number, favour: Favour = 'resources'): Site {
  return {
    name: 'tokens',
    favour,
    zones: ['a'],
    stepMs,
    daemons: 1,
    groups: [{
      model: 'listing',
      engines: ENGINES,
      priority: 'standard',
      maxTokens: MAX_TOKENS,
      promptLength: 100,
      share: 1,
    }],
  };
}

/** Processor seconds, in user and kernel, that a process has taken. */
function cpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function residentKilobytes(pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]);
}

interface Running {
  readonly engines: readonly Program[];
  readonly daemon: Program;
  stop(): void;
}

async function start(stepMs: number): Promise<Running> {
  const site = siteOf(stepMs);
  const [group] = site.groups;
  const engines = await Promise.all(Array.from({ length: ENGINES }, (_, index) => (
    Program.start('engine', [
      '--name', `e${index}`, '--step-ms', String(stepMs), '--slots', '512', '--model', 'listing@1',
    ]))));
  const setup: DaemonSetup = {
    name: 'd',
    baseline: 'ours',
    timeoutMs: 0,
    configuration: configurationOf(site, engines.map(({ address }, index) => (
      { name: `e${index}`, group: group!, address }))),
  };
  const daemon = await Program.start('daemon', [JSON.stringify(setup)]);
  await sleep(1_000);
  return {
    engines,
    daemon,
    stop: () => [...engines, daemon].forEach((program) => program.kill()),
  };
}

interface Measured extends Size {
  readonly tokensPerSecond: number;
  readonly requestsPerSecond: number;
  readonly cores: number;
  readonly broken: number;
}

async function measure(size: Size): Promise<Measured> {
  const running = await start(size.stepMs);
  const callers = Callers.of(running.daemon.address, size.streams, size.maxTokens);
  await sleep(WARM_MS);
  const before = {
    cpu: cpuSeconds(running.daemon.pid),
    tokens: callers.tokens,
    asked: callers.asked,
    at: performance.now(),
  };
  await sleep(WINDOW_MS);
  const seconds = (performance.now() - before.at) / 1_000;
  const measured = {
    ...size,
    tokensPerSecond: (callers.tokens - before.tokens) / seconds,
    requestsPerSecond: (callers.asked - before.asked) / seconds,
    cores: (cpuSeconds(running.daemon.pid) - before.cpu) / seconds,
    broken: callers.broken,
  };
  callers.stop();
  running.stop();
  return measured;
}

/** Least squares over the columns, by Gaussian elimination of the normal equations. */
function fit(rows: readonly (readonly number[])[], targets: readonly number[]): readonly number[] {
  const size = rows[0]!.length;
  const matrix = Array.from({ length: size }, (_, i) => [
    ...Array.from({ length: size }, (__, j) => (
      rows.reduce((sum, row) => sum + row[i]! * row[j]!, 0))),
    rows.reduce((sum, row, index) => sum + row[i]! * targets[index]!, 0),
  ]);
  for (let pivot = 0; pivot < size; pivot += 1) {
    for (let row = 0; row < size; row += 1) {
      const factor = row === pivot ? 0 : matrix[row]![pivot]! / matrix[pivot]![pivot]!;
      matrix[row] = matrix[row]!.map((value, column) => value - factor * matrix[pivot]![column]!);
    }
  }
  return matrix.map((row, index) => row[size]! / row[index]!);
}

async function memory(): Promise<readonly Row[]> {
  const running = await start(100);
  const rows = await inTurn(MEMORY_STREAMS, async (streams) => {
    const callers = Callers.of(running.daemon.address, streams);
    await sleep(4_000);
    const row = { streams, 'resident MB': residentKilobytes(running.daemon.pid) / 1024 };
    callers.stop();
    await sleep(1_000);
    return row;
  });
  running.stop();
  return rows;
}

/** First-token times straight from an engine and through the daemon, one after the other. */
async function firstTokens(streams: number): Promise<Row> {
  const running = await start(2);
  const callers = Callers.of(running.daemon.address, streams);
  await sleep(WARM_MS);
  const client = HttpEngineClient.of(running.engines[0]!.address);
  const direct: number[] = [];
  const relayed: number[] = [];
  await inTurn(Array.from({ length: FIRST_TOKENS }, (_, index) => index), async (index) => {
    const from = performance.now();
    await firstValueFrom(client.generate({
      generation: `direct-${index}`,
      attempt: 1,
      model: 'listing',
      version: '1',
      adapter: undefined,
      input: { kind: 'prompt', text: `item ${index}` },
      accepted: { text: '', tokens: 0 },
      sampling: {
        seed: 1, temperature: 1, maxTokens: 1, stop: [],
      },
      priority: 'standard',
    }).pipe(filter(({ kind }) => kind === 'token')));
    direct.push(performance.now() - from);
    relayed.push(await firstToken(running.daemon.address, index));
  });
  callers.stop();
  running.stop();
  const warm = (times: readonly number[]) => percentiles(times.slice(WARM_REQUESTS));
  const [straight, through] = [warm(direct), warm(relayed)];
  return {
    'other streams': streams,
    'direct p50 ms': straight.p50,
    'direct p99 ms': straight.p99,
    'daemon p50 ms': through.p50,
    'daemon p99 ms': through.p99,
    'added p50 ms': through.p50 - straight.p50,
    'added p99 ms': through.p99 - straight.p99,
  };
}

async function tokenCosts(): Promise<readonly (readonly Row[])[]> {
  const short = await measure(SHORT);
  const measured = await inTurn(SIZES, measure);
  const [idle] = await inTurn([{ streams: 0, stepMs: 20 }], measure);
  const perRequest = (short.cores - idle!.cores) / short.requestsPerSecond;
  const slopes = fit(
    measured.map(({ tokensPerSecond, streams }) => [1, tokensPerSecond, streams]),
    measured.map(({ cores, requestsPerSecond }) => cores - requestsPerSecond * perRequest),
  );
  return [
    [short, ...measured, idle!].map(({ maxTokens, ...row }) => ({ ...row })),
    [{
      'idle cores': idle!.cores,
      'us per request': perRequest * 1e6,
      'fitted cores at 0': slopes[0]!,
      'us per token': slopes[1]! * 1e6,
      'us per stream and second': slopes[2]! * 1e6,
    }],
  ];
}

async function memoryCosts(): Promise<readonly (readonly Row[])[]> {
  const rows = await memory();
  const slopes = fit(
    rows.map(({ streams }) => [1, Number(streams)]),
    rows.map((row) => Number(row['resident MB']) * 1024),
  );
  return [rows, [{ 'resident MB at 0': slopes[0]! / 1024, 'KB per stream': slopes[1]! }]];
}

async function firstTokenCosts(): Promise<readonly (readonly Row[])[]> {
  return [await inTurn([0, 50], firstTokens)];
}

const PARTS = { tokens: tokenCosts, memory: memoryCosts, first: firstTokenCosts };

await buildPrograms();
const chosen = Object.entries(PARTS).filter(([name]) => (values.only ?? name) === name);
const tables = (await inTurn(chosen, ([, part]) => part())).flat();
const report = values.json ? JSON.stringify(tables) : tables.map(table).join('\n\n');
process.stdout.write(`${report}\n`);
