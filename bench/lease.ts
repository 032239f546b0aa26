/**
 * How long placement goes without a holder: the holder is killed, or gives the lease up, with the
 * object API as usual and slow. Instances run the real state machine in virtual time.
 *
 * Usage: tsx bench/lease.ts [runs]
 */
import { LeaseSimulation, DURATION_MS } from '../test/fakes/leasesimulation.js';
import { quantile } from './fit.js';

const RUNS = 200;
const INSTANCES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];
const CANDIDATES = INSTANCES.slice(0, 3);
const STEP_MS = 50;
const LIMIT_MS = 20 * DURATION_MS;
const REST_MS = 20 * DURATION_MS;
const LATENCIES_MS = [2, 300, 900];

type Ending = 'killed' | 'released';

function settled(seed: number, latencyMs: number): LeaseSimulation {
  const contest = LeaseSimulation.of(INSTANCES, seed);
  contest.candidates = CANDIDATES;
  contest.faults = { ...contest.faults, latencyMs };
  contest.run(4 * DURATION_MS + seed * 37);
  while (contest.holders().length === 0) contest.run(STEP_MS);
  return contest;
}

function handOver(seed: number, latencyMs: number, ending: Ending): number {
  const contest = settled(seed, latencyMs);
  const [holder] = contest.holders();
  if (ending === 'killed') contest.get(holder!).dead = true;
  else contest.release(holder!);
  const from = contest.scheduler.frame;
  while (contest.holders().length === 0 && contest.scheduler.frame - from < LIMIT_MS) {
    contest.run(STEP_MS);
  }
  return contest.scheduler.frame - from;
}

const runs = Number(process.argv[2] ?? RUNS);
LATENCIES_MS.forEach((latencyMs) => {
  (['killed', 'released'] as const).forEach((ending) => {
    const times = Array.from({ length: runs }, (_, seed) => handOver(seed, latencyMs, ending));
    process.stdout.write(`holder=${ending} lease_ms=${DURATION_MS} call_ms=${2 * latencyMs} runs=${
      runs} p50_ms=${quantile(times, 0.5)} p99_ms=${quantile(times, 0.99)} max_ms=${
      Math.max(...times)}\n`);
  });
});
const contest = settled(1, LATENCIES_MS[0]!);
const before = contest.calls;
contest.run(REST_MS);
const perSecond = (contest.calls - before) / (REST_MS / 1_000);
process.stdout.write(`at rest: ${perSecond.toFixed(2)} calls/s of ${INSTANCES.length} instances, ${
  (perSecond / INSTANCES.length).toFixed(3)} for each\n`);
