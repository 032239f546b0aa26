/**
 * The targets of failover: resume latency in Lisbon after a kill and after a pause, extra engine
 * work in Moravia after a kill, and whether short pauses there move anything.
 *
 *     tsx bench/resume.ts [--seconds N] [--seed N] [--rate N] [--site NAME] [--json]
 */
import { parseArgs } from 'node:util';
import type { Baseline } from './baseline.js';
import { inTurn } from './deployed.js';
import { failover, failoverRow } from './failover.js';
import type { Fault, FailoverResult } from './failover.js';
import { buildPrograms } from './fleet.js';
import { LISBON, MORAVIA } from './site.js';
import type { Site } from './site.js';
import { table } from './statistics.js';
import type { Row } from './statistics.js';

const LONG_PAUSE_MS = 3_000;
/** A pause that must not move anything where resources are favoured. */
const SHORT_PAUSE_MS = 80;

interface Case {
  readonly site: Site;
  readonly baseline: Baseline;
  readonly fault: Fault;
  readonly pauseMs: number;
}

const CLEAN: Omit<Case, 'site'> = { baseline: 'ours', fault: 'none', pauseMs: 0 };
const KILLED: Omit<Case, 'site'> = { ...CLEAN, fault: 'kill' };
const PAUSED: Omit<Case, 'site'> = { ...CLEAN, fault: 'pause', pauseMs: LONG_PAUSE_MS };

const CASES: readonly Case[] = [
  { site: LISBON, ...CLEAN },
  { site: LISBON, ...KILLED },
  { site: LISBON, ...KILLED, baseline: 'restart' },
  { site: LISBON, ...PAUSED },
  { site: MORAVIA, ...CLEAN },
  { site: MORAVIA, ...KILLED },
  { site: MORAVIA, ...KILLED, baseline: 'restart' },
  { site: MORAVIA, ...PAUSED, pauseMs: SHORT_PAUSE_MS },
];

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '12' },
    seed: { type: 'string', default: '1' },
    rate: { type: 'string', default: '8' },
    site: { type: 'string' },
    json: { type: 'boolean', default: false },
  },
});

await buildPrograms();
const cases = CASES.filter(({ site }) => (values.site ?? site.name) === site.name);
const results = await inTurn(cases, (each): Promise<FailoverResult> => failover({
  ...each,
  seed: Number(values.seed),
  perSecond: Number(values.rate),
  durationMs: Number(values.seconds) * 1_000,
}));
const rows: readonly Row[] = results.map((result) => {
  const { site, pauseMs } = result.options;
  const clean = results.find(({ options }) => options.site === site)!;
  return { ...failoverRow(result, clean), 'pause ms': pauseMs };
});
process.stdout.write(`${values.json ? JSON.stringify(rows) : table(rows)}\n`);
