/**
 * The measurements with real processes on loopback: `npm run bench -- [--json] [--seed N]
 * [--seconds N] [--site lisbon|moravia]`. Prints tables, or JSON, and writes the curves to
 * bench/out as SVG.
 */
import { parseArgs } from 'node:util';
import type { Baseline } from './baseline.js';
import { inTurn } from './deployed.js';
import { failover, failoverRow } from './failover.js';
import type { Fault } from './failover.js';
import { buildPrograms } from './fleet.js';
import { LISBON, MORAVIA } from './site.js';
import type { Site } from './site.js';
import { table } from './statistics.js';
import type { Row } from './statistics.js';

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
  },
});

function note(text: string): void {
  if (!values.json) process.stdout.write(`${text}\n`);
}

async function compare(site: Site): Promise<readonly Row[]> {
  const results = await inTurn(COMPARED, ([baseline, fault]) => failover({
    site,
    baseline,
    fault,
    seed: Number(values.seed),
    perSecond: PER_SECOND,
    durationMs: Number(values.seconds) * 1_000,
    pauseMs: PAUSE_MS,
  }));
  return results.map((result) => failoverRow(result, results[0]!));
}

await buildPrograms();
note(`seed ${values.seed}, ${PER_SECOND} requests a second for ${values.seconds} s in each row`);
const sites = SITES.filter(({ name }) => (values.site ?? name) === name);
const rows = (await inTurn(sites, compare)).flat();
const report = values.json ? JSON.stringify({ seed: values.seed, rows }) : table(rows);
process.stdout.write(`${report}\n`);
