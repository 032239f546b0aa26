/**
 * Fairness between workspaces, and between daemons. Two large workspaces offer most of twice what
 * the engines hold; the router's queue is compared with FIFO. Then how long a share of a
 * fleet-wide limit takes to move to where the demand is, and how far the shares in effect went over
 * the limit while rows were lost, late and reordered and daemons were parted.
 *
 *     npx tsx bench/fairness.ts
 */
import { Random } from '../src/common/random.js';
import { NAMES, ShareFleet } from '../test/fakes/sharefleet.js';
import { SLOTS } from './routingsite.js';
import type { Setting } from './routingsite.js';
import { RoutingWorld } from './routingworld.js';
import type { Measured, Policy } from './routingworld.js';

const LISBON: Setting = {
  name: 'lisbon',
  zones: ['lis-a', 'lis-b', 'lis-c'],
  longEngines: 13,
  shortEngines: 3,
  stepMs: 2,
  favour: 'latency',
  daemons: 6,
};

const INVENTORY_TOKENS = 320;
const SECONDS = 8;
const SEED = 7;
const LARGE = ['w0', 'w1'];
const SEEDS = 50;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function groupRow(title: string, large: boolean, { samples, offered }: Measured): string {
  const of = (name: string) => LARGE.includes(name) === large;
  const mine = samples.filter(({ kind, workspace }) => kind === 'inventory' && of(workspace));
  const sent = Object.entries(offered).filter(([name]) => of(name))
    .reduce((sum, [, count]) => sum + count, 0);
  const times = mine.map(({ firstTokenMs }) => firstTokenMs).sort((left, right) => left - right);
  const at = (part: number) => times[Math.floor(times.length * part)]?.toFixed(0) ?? '-';
  return `${title} ${large ? 'two large' : 'eight small'}: ${mine.length} of ${sent} began, `
    + `first token p50 ${at(0.5)} ms, p99 ${at(0.99)} ms`;
}

async function workspaces(): Promise<void> {
  const capacity = (LISBON.longEngines * SLOTS * 1_000) / (INVENTORY_TOKENS * LISBON.stepMs);
  const policies: Readonly<Record<string, Policy>> = {
    fifo: { kind: 'baseline', rule: 'least_in_flight' },
    router: { kind: 'router' },
  };
  await Object.entries(policies).reduce(async (before, [name, policy]) => {
    await before;
    const measured = await RoutingWorld.of(LISBON, policy, SEED).run({
      checksPerSecond: 0,
      checksModel: 'long',
      inventoriesPerSecond: 2 * capacity,
      workspaceShares: [0.45, 0.35, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025],
      seconds: SECONDS,
    });
    print(groupRow(name, true, measured));
    print(groupRow(name, false, measured));
  }, Promise.resolve());
}

/** Milliseconds until a daemon that all demand moves to holds `part` of the limit. */
function moveMs(loss: number, delayMs: number, part: number): number {
  const fleet = new ShareFleet(1);
  fleet.loss = loss;
  fleet.maxDelayMs = delayMs;
  fleet.demands.set('d0', 1);
  fleet.run(20_000);
  fleet.demands.clear();
  fleet.demands.set('d7', 1);
  let elapsed = 0;
  for (; fleet.share('d7') < part && elapsed < 60_000; elapsed += 500) fleet.run(500);
  return elapsed;
}

function worstShare(forgets: boolean): number {
  return Math.max(...Array.from({ length: SEEDS }, (_, seed) => {
    const random = Random.of(seed);
    const fleet = new ShareFleet(seed);
    fleet.dropsUnreachable = forgets;
    for (let round = 0; round < 20; round += 1) {
      NAMES.forEach((name) => fleet.demands.set(name, random.fraction() ** 4));
      if (random.fraction() < 0.3) fleet.partition(random.pick(NAMES));
      if (random.fraction() < 0.5) fleet.partition();
      if (random.fraction() < 0.2) fleet.start(random.pick(NAMES));
      if (random.fraction() < 0.2) fleet.paused.add(random.pick(NAMES));
      else fleet.paused.clear();
      fleet.run(random.integer(1, 20) * 1_000);
    }
    return fleet.peakTotal;
  }));
}

await workspaces();
print(`a share moves to 0.8 of the limit in ${moveMs(0, 500, 0.8)} ms,`
  + ` with 30% of rows lost and delays up to 2 s in ${moveMs(0.3, 2_000, 0.8)} ms`);
print(`largest sum of shares in effect over ${SEEDS} seeds: ${worstShare(false).toFixed(4)},`
  + ` where the list drops who can't be reached ${worstShare(true).toFixed(4)}`);
