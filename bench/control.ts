/**
 * Measures the control path with real processes on loopback:
 *
 *     npm run build && npm run bench:control -- [--json] [--only a,b,...] [--seconds N]
 *
 * `change` and `change_cut`: from an accepted change to its being in force on all daemons, also
 * while one in three can't reach the store. `rolling` and `restart`: operators race while daemons
 * restart. `rest` and `rest_engines`: store calls, processor time, memory and bytes at rest.
 * `lease`: from the end of the lease's holder to the next one.
 */
import { parseArgs } from 'node:util';
import { Random } from '../src/common/random.js';
import { usageOf } from './controldaemon.js';
import type { ControlDaemon, Usage } from './controldaemon.js';
import { judge, race } from './controledits.js';
import { ControlFleet } from './controlfleet.js';
import { inTurn, sleep } from './deployed.js';
import { buildPrograms } from './fleet.js';
import { percentiles, table } from './statistics.js';
import type { Row } from './statistics.js';

const DAEMONS = 9;
const ENGINES = 16;
const CHANGES = 60;
const CHANGE_PAUSE_MS = 250;
const IN_FORCE_DEADLINE_MS = 15_000;
const OPERATORS = 50;
const EDITS = 6;
const LEASE_ROUNDS = 4;
const LEASE_DEADLINE_MS = 60_000;
const SLOW_STORE_MS = 400;
const SETTLE_MS = 12_000;
const MEBIBYTE = 1_048_576;
const SEED = 7;

const MEASUREMENTS = [
  'change', 'change_cut', 'rolling', 'restart', 'lease', 'rest', 'rest_engines',
] as const;

type Measurement = typeof MEASUREMENTS[number];

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    only: { type: 'string', default: MEASUREMENTS.join(',') },
    seconds: { type: 'string', default: '40' },
    flags: { type: 'string', default: '' },
  },
});
const flags = values.flags.split(' ').filter((flag) => flag !== '');

/** Milliseconds from the accepting answer until the change was in force on the last daemon. */
async function changeOnce(
  fleet: ControlFleet,
  daemon: ControlDaemon,
  index: number,
): Promise<number> {
  const { revision } = await daemon.connection.configuration.pull.query();
  const reaching = Promise.all(fleet.daemons
    .map((other) => other.inForce(revision + 1, IN_FORCE_DEADLINE_MS)));
  const publication = await daemon.connection.configuration.put.mutate({
    file: '50-change.toml', text: `[models.m${index}]\nversion = "${index}"\n`, who: 'bench',
  });
  const acceptedAt = performance.now();
  if (publication.kind !== 'accepted') throw new Error(JSON.stringify(publication));
  return Math.max(0, Math.max(...await reaching) - acceptedAt);
}

async function changes(fleet: ControlFleet, cut: boolean): Promise<Row> {
  const random = Random.of(SEED);
  fleet.cutStore(cut);
  // A change is made through a daemon that reaches the store.
  const daemons = fleet.daemons.filter((_, index) => !cut || index % 3 !== 2);
  const indexes = Array.from({ length: CHANGES }, (_, index) => index);
  const durations = await inTurn(indexes, async (index) => {
    const took = await changeOnce(fleet, daemons[index % daemons.length]!, index);
    await sleep(random.jitter(CHANGE_PAUSE_MS, 0.9));
    return took;
  });
  fleet.cutStore(false);
  return { ...percentiles(durations), unit: 'ms' };
}

async function rolling(fleet: ControlFleet): Promise<void> {
  await inTurn(fleet.daemons, async (daemon) => {
    await daemon.end('SIGTERM');
    daemon.start();
    await sleep(400);
  });
}

async function allAtOnce(fleet: ControlFleet): Promise<void> {
  await sleep(700);
  await Promise.all(fleet.daemons.map((daemon) => daemon.end('SIGKILL')));
  fleet.daemons.forEach((daemon) => daemon.start());
}

async function edits(fleet: ControlFleet, restart: typeof rolling): Promise<Row> {
  const racing = race(fleet, OPERATORS, EDITS, Random.of(SEED));
  await restart(fleet);
  const records = await racing;
  await sleep(2_000);
  return { ...await judge(fleet, records) };
}

async function holderOf(fleet: ControlFleet): Promise<ControlDaemon> {
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- one look after the other
    const views = await Promise.all(fleet.daemons
      .map(({ connection }) => connection.lease.query().catch(() => undefined)));
    const index = views.findIndex((lease) => lease?.heldHere);
    if (index >= 0) return fleet.daemons[index]!;
    // eslint-disable-next-line no-await-in-loop -- a pause between two looks
    await sleep(200);
  }
}

/** Milliseconds from the signal to the holder until another holds the lease. */
async function handOver(fleet: ControlFleet, signal: 'SIGTERM' | 'SIGKILL'): Promise<number> {
  const holder = await holderOf(fleet);
  const taken = Promise.any(fleet.daemons.filter((daemon) => daemon !== holder)
    .map((daemon) => daemon.next(({ event }) => event === 'lease_taken', LEASE_DEADLINE_MS)));
  const from = performance.now();
  const ending = holder.end(signal);
  const { at } = await taken;
  await ending;
  holder.start();
  await sleep(4_000);
  return at - from;
}

async function leases(
  fleet: ControlFleet,
  signal: 'SIGTERM' | 'SIGKILL',
  latencyMs: number,
): Promise<Row> {
  await fleet.store({ latencyMs });
  const rounds = Array.from({ length: LEASE_ROUNDS }, (_, index) => index);
  const took = await inTurn(rounds, () => handOver(fleet, signal));
  await fleet.store({ latencyMs: 0 });
  return { ...percentiles(took), unit: 'ms' };
}

function median(numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)]!;
}

async function rest(fleet: ControlFleet): Promise<Row> {
  await sleep(SETTLE_MS);
  const seconds = Number(values.seconds);
  const usages = () => fleet.daemons.map(({ pid }) => usageOf(pid!));
  const [callsBefore, before] = [await fleet.store(), usages()];
  await sleep(seconds * 1_000);
  const [callsAfter, after] = [await fleet.store(), usages()];
  const rates = (read: (usage: Usage) => number) => (
    after.map((usage, index) => (read(usage) - read(before[index]!)) / seconds));
  const perDaemon = (read: (counts: typeof callsAfter) => number) => (
    Number(((read(callsAfter) - read(callsBefore)) / seconds / DAEMONS).toFixed(3)));
  const cpu = rates(({ cpuSeconds }) => 100 * cpuSeconds);
  const resident = after.map(({ residentBytes }) => residentBytes / MEBIBYTE);
  return {
    calls_per_s: perDaemon(({ reads, writes, watches }) => reads + writes + watches),
    reads: perDaemon(({ reads }) => reads),
    writes: perDaemon(({ writes }) => writes),
    watches: perDaemon(({ watches }) => watches),
    configuration: perDaemon(({ byClass }) => byClass.configuration),
    claims: perDaemon(({ byClass }) => byClass.claims),
    lease: perDaemon(({ byClass }) => byClass.lease),
    cpu_percent: median(cpu),
    cpu_max: Math.max(...cpu),
    rss_mib: median(resident),
    rss_max: Math.max(...resident),
    read_bytes_s: Math.round(median(rates(({ readBytes }) => readBytes))),
    written_bytes_s: Math.round(median(rates(({ writtenBytes }) => writtenBytes))),
  };
}

async function measure(measurement: Measurement): Promise<readonly Row[]> {
  const engines = measurement === 'rest_engines' ? ENGINES : 0;
  const fleet = await ControlFleet.start({ daemons: DAEMONS, engines, flags });
  const named = (name: string, row: Row): Row => ({ measurement: name, ...row });
  try {
    switch (measurement) {
      case 'change': return [named('change', await changes(fleet, false))];
      case 'change_cut': return [named('change_cut', await changes(fleet, true))];
      case 'rolling': return [named('rolling', await edits(fleet, rolling))];
      case 'restart': return [named('restart', await edits(fleet, allAtOnce))];
      case 'rest':
      case 'rest_engines': return [named(measurement, await rest(fleet))];
      case 'lease': return [
        named('lease_killed', await leases(fleet, 'SIGKILL', 0)),
        named('lease_left', await leases(fleet, 'SIGTERM', 0)),
        named('lease_killed_slow_store', await leases(fleet, 'SIGKILL', SLOW_STORE_MS)),
      ];
    }
  } finally {
    await fleet.stop();
  }
}

await buildPrograms();
const wanted = values.only.split(',')
  .filter((name): name is Measurement => MEASUREMENTS.some((known) => known === name));
const results: Row[] = [];
await inTurn(wanted, async (measurement) => {
  const rows = await measure(measurement);
  results.push(...rows);
  if (!values.json) process.stdout.write(`${table(rows)}\n\n`);
});
if (values.json) process.stdout.write(`${JSON.stringify(results, null, 2)}\n`);
process.exit(0);
