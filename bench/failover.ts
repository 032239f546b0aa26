/**
 * Resume latency and extra resource use: engines that run generations are killed, or paused, while
 * callers read, for the system's own policy and the baselines on the same requests.
 */
import { Random } from '../src/common/random.js';
import type { Baseline } from './baseline.js';
import { Deployed, sleep } from './deployed.js';
import { offer } from './load.js';
import type { Asked } from './load.js';
import type { Site } from './site.js';
import { percentiles } from './statistics.js';
import type { Percentiles, Row } from './statistics.js';

const FAULT_PERIOD_MS = 1_500;
const SHORT_SHARE = 0.5;
const MAX_SHORT_MS = 400;
const IDLE_MS = 20;
const DOWN_MS = 1_000;
/** Callers that had an answer open on a lost engine see a pause that begins about then. */
const PAUSE_SLACK_MS = 50;

export type Fault = 'none' | 'kill' | 'pause';

export interface FailoverOptions {
  readonly site: Site;
  readonly baseline: Baseline;
  readonly fault: Fault;
  readonly seed: number;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly pauseMs: number;
  readonly timeoutMs?: number;
}

export interface FailoverResult {
  readonly options: FailoverOptions;
  readonly asked: readonly Asked[];
  readonly resumes: Percentiles;
  readonly firstToken: Percentiles;
  readonly streamSteps: number;
  readonly prefillTokens: number;
  readonly tokens: number;
}

type Work = 'streamSteps' | 'prefillTokens';

/** Generations that ran on an engine when it was lost, and when that was. */
type Losses = ReadonlyMap<string, number>;

async function busiest(deployed: Deployed) {
  const counted = await Promise.all(deployed.engines.map(async (engine) => ({
    engine,
    running: await Deployed.work(engine).then((work) => work.running, () => []),
  })));
  return counted.sort((left, right) => right.running.length - left.running.length)[0]!;
}

async function disturb(
  deployed: Deployed,
  {
    fault, durationMs, pauseMs, seed,
  }: FailoverOptions,
): Promise<Losses> {
  const random = Random.of(seed + 1);
  const losses = new Map<string, number>();
  const until = performance.now() + durationMs - FAULT_PERIOD_MS;
  let rest = FAULT_PERIOD_MS;
  while (fault !== 'none' && performance.now() < until) {
    // eslint-disable-next-line no-await-in-loop -- one fault after the other
    await sleep(rest);
    rest = FAULT_PERIOD_MS;
    // eslint-disable-next-line no-await-in-loop -- the choice follows the load
    const { engine, running } = await busiest(deployed);
    let lost = running;
    if (running.length === 0) {
      rest = IDLE_MS;
    } else if (fault === 'kill') {
      // eslint-disable-next-line no-await-in-loop -- its last count is needed
      lost = await deployed.crash(engine, DOWN_MS);
    } else {
      const { program } = engine;
      // Most pauses are short, and are over before a resume would be worth its work.
      const ms = random.fraction() < SHORT_SHARE ? random.integer(50, MAX_SHORT_MS) : pauseMs;
      program.pause();
      setTimeout(() => program.wake(), ms);
    }
    const at = performance.now();
    lost.forEach((generation) => losses.set(generation, at));
  }
  return losses;
}

function pauses(asked: readonly Asked[], losses: Losses): readonly number[] {
  return asked.flatMap(({ outcome }) => {
    const lostAt = losses.get(outcome.generation);
    const { from, ms } = outcome.longest;
    const seen = lostAt !== undefined && from + ms >= lostAt - PAUSE_SLACK_MS;
    return seen ? [ms] : [];
  });
}

export async function failover(options: FailoverOptions): Promise<FailoverResult> {
  const deployed = await Deployed.start(options.site, options.baseline, options.timeoutMs);
  try {
    const random = Random.of(options.seed);
    const [asked, losses] = await Promise.all([
      offer(deployed, random, options.perSecond, options.durationMs),
      disturb(deployed, options),
    ]);
    await sleep(DOWN_MS);
    const work = await deployed.totalWork();
    return {
      options,
      asked,
      resumes: percentiles(pauses(asked, losses)),
      firstToken: percentiles(asked.map(({ outcome }) => outcome.firstTokenMs)),
      tokens: asked.reduce((sum, { outcome }) => sum + outcome.tokens, 0),
      ...work,
    };
  } finally {
    await deployed.stop();
  }
}

/** @param clean the same requests without a fault, which extra use is counted against */
export function failoverRow(result: FailoverResult, clean: FailoverResult): Row {
  const { options, asked, resumes } = result;
  const count = (kind: string) => asked.filter(({ outcome }) => outcome.kind === kind).length;
  // Work for each delivered token, since refused answers need none.
  const cost = (run: FailoverResult, work: Work) => run[work] / run.tokens;
  const extra = (work: Work) => (
    (cost(result, work) / cost(clean, work) - 1) * 100);
  return {
    site: options.site.name,
    policy: options.baseline,
    fault: options.fault,
    requests: asked.length,
    answered: count('answered'),
    refused: count('refused'),
    cut: count('cut'),
    wrong: count('wrong'),
    resumes: resumes.count,
    'resume p50 ms': resumes.p50,
    'p99 ms': resumes.p99,
    'max ms': resumes.max,
    'first token p50 ms': result.firstToken.p50,
    'extra steps %': extra('streamSteps'),
    'extra prefill %': extra('prefillTokens'),
  };
}
