/**
 * Measures the at-most-once ledger against one object for each key: store writes and bytes for each
 * claim, and the time that a claim takes, over the rate of claims.
 *
 *     npx tsx bench/claims.ts [--seconds N] [--json]
 */
import { parseArgs } from 'node:util';
import { Subscription, timer } from 'rxjs';
import { CLAIM_DEADLINE_MS } from '../src/claims/claims.js';
import type { ClaimRequest } from '../src/claims/claims.js';
import { ClaimLedger } from '../src/claims/ledger.js';
import type { Operation } from '../src/claims/shard.js';
import { sha256 } from '../src/common/hash.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler as scheduler } from '../src/common/time.js';
import { MemoryObjects } from '../src/standin/objects.js';
import { backoffMs, pause } from '../src/store/backoff.js';
import type { Precondition, ObjectApi } from '../src/store/objects.js';
import { percentiles, table } from './statistics.js';
import type { Row } from './statistics.js';

const INSTANCES = 9;
const RATES = [5, 50, 200, 500, 1_000];
/** The platform's store: some milliseconds for a call, several hundred writes a second. */
const STORE = { latencyMs: 5, writesPerSecond: 400, readsPerSecond: 2_000 };

const { values } = parseArgs({
  options: { seconds: { type: 'string', default: '5' }, json: { type: 'boolean', default: false } },
});

/** The store, with the bytes of its writes counted. */
function countedStore() {
  const objects = MemoryObjects.of(scheduler, Random.of(1));
  objects.setFaults(STORE);
  let bytes = 0;
  const api: ObjectApi = {
    get: (name, use) => objects.get(name, use),
    list: (prefix, use) => objects.list(prefix, use),
    put: (name, value, expected: Precondition, use) => {
      bytes += Buffer.byteLength(value);
      return objects.put(name, value, expected, use);
    },
    remove: (name, version, use) => objects.remove(name, version, use),
    watch: (prefix, version, use) => objects.watch(prefix, version, use),
  };
  return { api, objects, bytes: () => bytes };
}

/** Resolves to whether the claim was granted. */
type Claim = (request: ClaimRequest) => Promise<boolean>;

function shardedClaims(api: ObjectApi): Claim {
  const names = Array.from({ length: INSTANCES }, (_, index) => `instance-${index}`);
  const ledgers = new Map<string, ClaimLedger>();
  const peers = {
    forward: (home: string, operation: Operation) => ledgers.get(home)!.commitForwarded(operation),
    disown: (owner: string, request: string) => ledgers.get(owner)!.disown(request),
  };
  names.forEach((name, index) => ledgers.set(name, ClaimLedger.of({
    name,
    api,
    peers,
    members: () => names,
    scheduler,
    random: Random.of(index),
    wallClock: Date.now,
  })));
  const random = Random.of(99);
  return async (request) => {
    const outcome = await ledgers.get(random.pick(names))!.claim(request);
    return outcome.kind === 'granted';
  };
}

/** The way weighed against: each claim is the creation of an object of its own. */
function objectForEachKey(api: ObjectApi): Claim {
  const random = Random.of(99);
  return async ({ workspace, key, request }) => {
    const until = scheduler.now() + CLAIM_DEADLINE_MS;
    const name = `claim/${sha256(`${workspace}\n${key}`)}`;
    /* eslint-disable no-await-in-loop -- each try follows the one before */
    for (let tries = 0; scheduler.now() < until; tries += 1) {
      const put = await api.put(name, JSON.stringify({ request }), { kind: 'absent' }, 'claims');
      if (put.isOk()) return true;
      if (put.error.code === 'conflict') return false;
      await pause(backoffMs(tries, random), scheduler);
    }
    /* eslint-enable no-await-in-loop */
    return false;
  };
}

async function measure(way: string, make: (api: ObjectApi) => Claim, rate: number): Promise<Row> {
  const { api, objects, bytes } = countedStore();
  const claim = make(api);
  const durationMs = Number(values.seconds) * 1_000;
  const results: Promise<{ ms: number; granted: boolean }>[] = [];
  const cpuBefore = process.cpuUsage();
  const startedAt = scheduler.now();
  const running = new Subscription();
  await new Promise<void>((resolve) => {
    running.add(timer(0, 1, scheduler).subscribe(() => {
      const elapsed = scheduler.now() - startedAt;
      const due = Math.floor((elapsed * rate) / 1_000);
      while (results.length < due && elapsed < durationMs) {
        const id = String(results.length);
        const sentAt = scheduler.now();
        results.push(claim({
          workspace: 'w', key: id, bodyHash: id, request: sha256(id).slice(0, 31),
        }).then((granted) => ({ ms: scheduler.now() - sentAt, granted })));
      }
      if (elapsed >= durationMs) resolve();
    }));
  });
  running.unsubscribe();
  const ended = await Promise.all(results);
  const cpu = process.cpuUsage(cpuBefore);
  const granted = ended.filter((result) => result.granted);
  const { p50, p99, max } = percentiles(ended.map(({ ms }) => ms));
  const { writes, reads } = objects.counts();
  return {
    way,
    'claims/s': rate,
    claims: ended.length,
    refused: ended.length - granted.length,
    'writes/claim': writes / ended.length,
    'reads/claim': reads / ended.length,
    'KB/claim': bytes() / 1_000 / ended.length,
    'CPU ms/claim': (cpu.user + cpu.system) / 1_000 / ended.length,
    'p50 ms': p50,
    'p99 ms': p99,
    'max ms': max,
  };
}

const rows: Row[] = [];
// eslint-disable-next-line no-restricted-syntax -- one measurement at a time
for (const rate of RATES) {
  // eslint-disable-next-line no-await-in-loop
  rows.push(await measure('shards', shardedClaims, rate));
  // eslint-disable-next-line no-await-in-loop
  rows.push(await measure('object for each key', objectForEachKey, rate));
}
process.stdout.write(`${values.json ? JSON.stringify(rows) : table(rows)}\n`);
