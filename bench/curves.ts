/** The curves: silence threshold, and offered load. */
import { Random } from '../src/common/random.js';
import type { Baseline } from './baseline.js';
import { Deployed, inTurn } from './deployed.js';
import { failover } from './failover.js';
import type { FailoverResult } from './failover.js';
import { offer } from './load.js';
import type { Plot } from './plot.js';
import { SMALL } from './site.js';
import type { Site } from './site.js';
import { percentiles } from './statistics.js';
import type { Row } from './statistics.js';

const THRESHOLDS_MS = [60, 125, 250, 500, 1_000, 2_000];
const LOADS_PER_SECOND = [4, 8, 12, 16, 20];

export interface Measured { readonly rows: readonly Row[]; readonly plots: readonly Plot[] }

export interface CurveOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly perSecond: number;
  readonly pauseMs: number;
}

function extraPercent(result: FailoverResult, clean: FailoverResult): number {
  const cost = (run: FailoverResult) => run.streamSteps / run.tokens;
  return (cost(result) / cost(clean) - 1) * 100;
}

/** Pause that callers see and work done twice, when engines pause, against the silence allowed. */
export async function thresholdCurve(site: Site, options: CurveOptions): Promise<Measured> {
  const run = (baseline: Baseline, fault: 'none' | 'pause', timeoutMs?: number) => failover({
    ...options, site, baseline, fault, ...(timeoutMs === undefined ? {} : { timeoutMs }),
  });
  const clean = await run('ours', 'none');
  const fixed = await inTurn(THRESHOLDS_MS, async (timeoutMs) => ({
    timeoutMs, result: await run('fixed_timeout', 'pause', timeoutMs),
  }));
  const ours = await run('ours', 'pause');
  const row = (silence: string | number, result: FailoverResult): Row => ({
    site: site.name,
    'silence ms': silence,
    pauses: result.resumes.count,
    'pause seen p50 ms': result.resumes.p50,
    'p99 ms': result.resumes.p99,
    'extra steps %': extraPercent(result, clean),
  });
  const curve = (name: string, y: (result: FailoverResult) => number): Plot => ({
    title: `${site.name}: ${name} against the silence that counts as a loss`,
    xLabel: 'silence, ms',
    yLabel: name,
    curves: [
      {
        name: 'fixed',
        points: fixed.map(({ timeoutMs, result }) => ({ x: timeoutMs, y: y(result) })),
      },
      { name: 'ours (at 0)', points: [{ x: 0, y: y(ours) }] },
    ],
  });
  return {
    rows: [...fixed.map(({ timeoutMs, result }) => row(timeoutMs, result)), row('ours', ours)],
    plots: [
      curve('pause seen p99, ms', ({ resumes }) => resumes.p99),
      curve('extra steps, %', (result) => extraPercent(result, clean)),
    ],
  };
}

interface LoadResult {
  readonly perSecond: number;
  readonly baseline: Baseline;
  readonly row: Row;
  readonly p99: number;
  readonly refused: number;
}

async function loadAt(
  baseline: Baseline,
  perSecond: number,
  { seed, durationMs }: CurveOptions,
): Promise<LoadResult> {
  const deployed = await Deployed.start(SMALL, baseline);
  try {
    const asked = await offer(deployed, Random.of(seed), perSecond, durationMs);
    const counter = asked.filter(({ group }) => group.priority === 'interactive');
    const first = percentiles(counter.map(({ outcome }) => outcome.firstTokenMs));
    const batch = asked.filter(({ group }) => group.priority !== 'interactive');
    const answered = asked.filter(({ outcome }) => outcome.kind === 'answered');
    const refused = (asked.length - answered.length) / asked.length;
    return {
      perSecond,
      baseline,
      p99: first.p99,
      refused: refused * 100,
      row: {
        policy: baseline,
        'requests/s': perSecond,
        'price check first token p50 ms': first.p50,
        'p99 ms': first.p99,
        'inventory first token p50 ms':
          percentiles(batch.map(({ outcome }) => outcome.firstTokenMs)).p50,
        'refused %': refused * 100,
        'tokens/s': answered.reduce((sum, { outcome }) => sum + outcome.tokens, 0)
          / (durationMs / 1_000),
      },
    };
  } finally {
    await deployed.stop();
  }
}

/** First-token time and refusals against the load offered to a small site. */
export async function loadCurve(options: CurveOptions): Promise<Measured> {
  const runs = (['ours', 'random', 'round_robin'] as const).flatMap((baseline) => (
    LOADS_PER_SECOND.map((perSecond) => ({ baseline, perSecond }))));
  const results = await inTurn(runs, ({ baseline, perSecond }) => (
    loadAt(baseline, perSecond, options)));
  const curve = (name: string, y: (result: LoadResult) => number): Plot => ({
    title: `small site: ${name} against load`,
    xLabel: 'requests a second',
    yLabel: name,
    curves: (['ours', 'random', 'round_robin'] as const).map((baseline) => ({
      name: baseline,
      points: results.filter((result) => result.baseline === baseline)
        .map((result) => ({ x: result.perSecond, y: y(result) })),
    })),
  });
  return {
    rows: results.map(({ row }) => row),
    plots: [
      curve('price check first token p99, ms', ({ p99 }) => p99),
      curve('refused, %', ({ refused }) => refused),
    ],
  };
}
