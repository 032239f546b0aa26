/**
 * The measurements with real processes on loopback: `npm run bench -- [--json] [--seed N]
 * [--seconds N] [--site lisbon|moravia] [--part failover|threshold|load]`. Prints tables and
 * curves, or JSON, and writes the curves to bench/out as SVG.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import type { Baseline } from './baseline.js';
import { loadCurve, thresholdCurve } from './curves.js';
import type { Measured } from './curves.js';
import { inTurn } from './deployed.js';
import { failover, failoverRow } from './failover.js';
import type { Fault } from './failover.js';
import { buildPrograms } from './fleet.js';
import { svg, text as plotText } from './plot.js';
import { LISBON, MORAVIA } from './site.js';
import type { Site } from './site.js';
import { table } from './statistics.js';

const OUT = 'bench/out';
const SITES: readonly Site[] = [LISBON, MORAVIA];
const PER_SECOND = 8;
const PAUSE_MS = 3_000;
const COMPARED: readonly (readonly [Baseline, Fault])[] = [
  ['ours', 'none'], ['ours', 'kill'], ['ours', 'pause'],
  ['restart', 'kill'], ['random', 'kill'], ['round_robin', 'kill'],
];

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '15' },
    site: { type: 'string' },
    part: { type: 'string' },
  },
});

function note(text: string): void {
  if (!values.json) process.stdout.write(`${text}\n`);
}

const OPTIONS = {
  seed: Number(values.seed),
  perSecond: PER_SECOND,
  durationMs: Number(values.seconds) * 1_000,
  pauseMs: PAUSE_MS,
};

async function compare(site: Site): Promise<Measured> {
  const results = await inTurn(COMPARED, ([baseline, fault]) => failover({
    ...OPTIONS, site, baseline, fault,
  }));
  return { rows: results.map((result) => failoverRow(result, results[0]!)), plots: [] };
}

interface Part {
  readonly name: string;
  readonly measure: () => Promise<Measured>;
}

const sites = SITES.filter(({ name }) => (values.site ?? name) === name);
const PARTS: readonly Part[] = [
  ...sites.map((site) => ({ name: 'failover', measure: () => compare(site) })),
  ...sites.map((site) => ({ name: 'threshold', measure: () => thresholdCurve(site, OPTIONS) })),
  { name: 'load', measure: () => loadCurve(OPTIONS) },
];

await buildPrograms();
mkdirSync(OUT, { recursive: true });
note(`seed ${values.seed}, runs of ${values.seconds} s`);
const parts = PARTS.filter(({ name }) => (values.part ?? name) === name);
const measured = await inTurn(parts, async ({ name, measure }) => {
  const { rows, plots } = await measure();
  note(`\n${name}\n\n${table(rows)}\n`);
  plots.forEach((plot) => {
    note(plotText(plot));
    writeFileSync(`${OUT}/${plot.title.replaceAll(/[^a-z0-9]+/gi, '-')}.svg`, svg(plot));
  });
  return { name, rows };
});
if (values.json) {
  process.stdout.write(`${JSON.stringify({ seed: OPTIONS.seed, measured })}\n`);
}
