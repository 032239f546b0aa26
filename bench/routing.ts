/**
 * Compares the router with random choice, round robin and least in flight, each with a FIFO queue,
 * and with itself where one part of the score is left out, over stand-in engines under virtual
 * time. Then the processor time of a decision and the memory of the prefix index.
 *
 * SEED chooses the random numbers, and ONLY names the one policy to run.
 *
 *     npx tsx bench/routing.ts [all|lisbon|moravia|cost] [loads, such as 012]
 */
import type { Chooser } from '../src/routing/choice.js';
import { choose } from '../src/routing/choice.js';
import { measureCost } from './routingcost.js';
import { SLOTS } from './routingsite.js';
import type { Setting } from './routingsite.js';
import { RoutingWorld } from './routingworld.js';
import type {
  Measured, Policy, Sample, Traffic,
} from './routingworld.js';

const SETTINGS: Readonly<Record<'lisbon' | 'moravia', Setting>> = {
  lisbon: {
    name: 'lisbon',
    zones: ['lis-a', 'lis-b', 'lis-c'],
    longEngines: 13,
    shortEngines: 3,
    stepMs: 2,
    favour: 'latency',
    daemons: 6,
  },
  moravia: {
    name: 'moravia',
    zones: ['brno-sal-a', 'brno-sal-b', 'zlin-sal'],
    longEngines: 25,
    shortEngines: 3,
    stepMs: 3,
    favour: 'resources',
    daemons: 6,
  },
};

/** Mean tokens of an inventory in the stand-ins' language model. */
const INVENTORY_TOKENS = 320;
const SECONDS = 5;
const SEED = 7;

const withoutPrefix: Chooser = (candidates, weighing, random) => (
  choose(candidates.map((each) => ({ ...each, prefillMs: 0 })), weighing, random));

const withoutZone: Chooser = (candidates, weighing, random) => (
  choose(candidates.map((each) => ({ ...each, zone: weighing.zone })), weighing, random));

const withoutBusy: Chooser = (candidates, weighing, random) => (
  choose(candidates.map((each) => ({ ...each, busyMs: 0 })), weighing, random));

const withoutLoad: Chooser = (candidates, weighing, random) => (
  choose(candidates.map((each) => ({ ...each, occupancy: 0 })), weighing, random));

/** Always the best score, without drawing among equals. */
const best: Chooser = (candidates, weighing, random) => {
  const { weighed } = choose(candidates, weighing, random);
  return { chosen: weighed[0]!, weighed };
};

const POLICIES: Readonly<Record<string, Policy>> = {
  random: { kind: 'baseline', rule: 'random' },
  'round robin': { kind: 'baseline', rule: 'round_robin' },
  'least in flight': { kind: 'baseline', rule: 'least_in_flight' },
  router: { kind: 'router' },
  '- prefixes': { kind: 'router', choose: withoutPrefix },
  '- zones': { kind: 'router', choose: withoutZone },
  '- prefill ahead': { kind: 'router', choose: withoutBusy },
  '- load': { kind: 'router', choose: withoutLoad },
  '- random equals': { kind: 'router', choose: best },
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function percentile(samples: readonly Sample[], kind: Sample['kind'], part: number): string {
  const times = samples.filter((sample) => sample.kind === kind)
    .map(({ firstTokenMs }) => firstTokenMs).sort((left, right) => left - right);
  const value = times[Math.min(times.length - 1, Math.floor(times.length * part))];
  return value === undefined ? '-' : value.toFixed(1);
}

function row(name: string, { samples, refused, ...measured }: Measured): string {
  const served = samples.length;
  const prefills = samples.filter(({ kind }) => kind === 'check').length + measured.begun;
  return [
    name.padEnd(18),
    ...(['check', 'inventory', 'resume'] as const).flatMap((kind) => (
      [0.5, 0.99].map((part) => percentile(samples, kind, part).padStart(9)))),
    (measured.steps / SECONDS).toFixed(0).padStart(9),
    String(refused.check).padStart(9),
    String(refused.inventory).padStart(9),
    (measured.prefillTokens / Math.max(1, prefills)).toFixed(0).padStart(9),
    `${((100 * measured.crossZone) / Math.max(1, served)).toFixed(0)}%`.padStart(9),
  ].join('');
}

const HEADER = [
  ''.padEnd(18), 'check50', 'check99', 'inv50', 'inv99', 'res50', 'res99', 'steps/s', 'check-',
  'inv-', 'prefill', 'cross',
].map((title, index) => (index === 0 ? title : title.padStart(9))).join('');

async function runAll(setting: Setting, load: Traffic): Promise<void> {
  const { ONLY: wanted } = process.env;
  const policies = Object.entries(POLICIES).filter(([name]) => !wanted || wanted === name);
  await policies.reduce(async (before, [name, policy]) => {
    await before;
    const seed = Number(process.env.SEED ?? SEED);
    print(row(name, await RoutingWorld.of(setting, policy, seed).run(load)));
  }, Promise.resolve());
}

async function compare(setting: Setting, wanted: string): Promise<void> {
  const capacity = (setting.longEngines * SLOTS * 1_000) / (INVENTORY_TOKENS * setting.stepMs);
  const traffic: Traffic = {
    checksPerSecond: 150,
    checksModel: 'long',
    inventoriesPerSecond: 0,
    workspaceShares: [0.4, 0.3, 0.1, 0.05, 0.05, 0.03, 0.03, 0.02, 0.01],
    seconds: SECONDS,
  };
  const own: Traffic = { ...traffic, checksModel: 'short' };
  const loads: readonly [string, Traffic][] = [
    ['price checks alone', traffic],
    ['inventories at 0.7 of capacity', { ...traffic, inventoriesPerSecond: 0.7 * capacity }],
    ['inventories at 3 times capacity', { ...traffic, inventoriesPerSecond: 3 * capacity }],
    ['price checks alone on their own engines', own],
    ['the same, inventories at 3 times capacity',
      { ...own, inventoriesPerSecond: 3 * capacity }],
    ['60 resumes at once, inventories at 0.5 of capacity',
      { ...traffic, inventoriesPerSecond: 0.5 * capacity, resumes: 60 }],
  ];
  await loads.filter((_, index) => wanted.includes(String(index)))
    .reduce(async (before, [title, load]) => {
      await before;
      print(`\n${setting.name}, ${setting.daemons} daemons, ${title} (first token, ms)`);
      print(HEADER);
      await runAll(setting, load);
    }, Promise.resolve());
}

async function main(only = 'all', loads = '012345'): Promise<void> {
  const settings = Object.values(SETTINGS).filter(({ name }) => only === 'all' || only === name);
  await settings.reduce(async (before, setting) => {
    await before;
    await compare(setting, loads);
  }, Promise.resolve());
  if (only === 'all' || only === 'cost') print(measureCost());
}

const [, , only, loads] = process.argv;
await main(only, loads);
