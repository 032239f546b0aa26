/** The processor time of one routing decision at 780 engines, and the prefix index's memory. */
import { Random } from '../src/common/random.js';
import type { Configuration } from '../src/configuration/configuration.js';
import type { Directory, EngineView } from '../src/engines/directory.js';
import { prefixBlocks } from '../src/engines/prefix.js';
import { choose } from '../src/routing/choice.js';
import { PrefixIndex } from '../src/routing/prefixindex.js';
import { Servers } from '../src/routing/servers.js';
import type { ServerQuery } from '../src/routing/servers.js';
import { CONFIGURATION, REPORT, serverOf } from '../test/fakes/routing.js';

const ENGINES = 780;
const DECISIONS = 2_000;
const PROMPT_BLOCKS = 64;
const BLOCK = 256;
const MICROSECONDS = 1_000;

function directoryOf(count: number): Directory {
  const views = Array.from({ length: count }, (_, index): EngineView => ({
    server: serverOf({ name: `e${index}`, zone: `z${index % 4}` }),
    client: undefined as never,
    health: 'up',
    report: { ...REPORT, running: index % 7 },
    reportedAt: 1,
  }));
  const byName = new Map(views.map((view) => [view.server.name, view]));
  return { engines: () => views, engine: (name) => byName.get(name) };
}

function quantiles(times: readonly number[]): string {
  const sorted = [...times].sort((left, right) => left - right);
  const at = (part: number) => (sorted[Math.floor(sorted.length * part)]! * MICROSECONDS);
  return `p50 ${at(0.5).toFixed(0)} us, p99 ${at(0.99).toFixed(0)} us`;
}

function timed(work: (round: number) => void): string {
  const times: number[] = [];
  for (let round = 0; round < DECISIONS; round += 1) {
    const from = performance.now();
    work(round);
    times.push(performance.now() - from);
  }
  return quantiles(times.slice(DECISIONS / 4));
}

function decisionCost(count: number): string {
  const random = Random.of(1);
  const prefixes = PrefixIndex.of();
  const directory = directoryOf(count);
  const servers = Servers.of({
    directory, leaving: () => new Set(), random, daemons: () => 380,
  }, prefixes);
  const configuration: Configuration = CONFIGURATION;
  const text = 'x'.repeat(PROMPT_BLOCKS * BLOCK);
  const blocks = prefixBlocks('m', text);
  for (let holder = 0; holder < 32; holder += 1) prefixes.dispatched(`e${holder}`, blocks, 0);
  const ask: ServerQuery = {
    need: {
      kind: 'model', model: 'm', version: undefined, configured: '1', adapter: undefined,
    },
    priority: 'standard',
    resume: false,
    exclude: [],
    blocks,
    characters: text.length,
  };
  return timed((round) => {
    const survey = servers.match(ask, configuration, round);
    const weighing = { zone: 'z1', favour: 'latency' } as const;
    const { chosen } = choose(survey.candidates, weighing, random);
    servers.dispatched(ask, chosen.candidate, round);
    servers.released(chosen.candidate.server, 'answered', round);
  });
}

function indexMemory(): string {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const index = PrefixIndex.of();
  for (let prompt = 0; index.blocks < 65_536; prompt += 1) {
    const blocks = prefixBlocks('m', `${prompt}`.padEnd(PROMPT_BLOCKS * BLOCK, 'y'));
    for (let holder = 0; holder < 4; holder += 1) {
      index.dispatched(`e${(prompt + holder) % ENGINES}`, blocks, 0);
    }
  }
  global.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return `${index.blocks} blocks with 4 holders each: ${(used / 2 ** 20).toFixed(1)} MB`;
}

/** @returns a report in plain text */
export function measureCost(): string {
  const text = 'x'.repeat(PROMPT_BLOCKS * BLOCK);
  return [
    `\ndecision with 16 engines: ${decisionCost(16)}`,
    `decision with ${ENGINES} engines: ${decisionCost(ENGINES)}`,
    `naming ${PROMPT_BLOCKS} prefix blocks: ${timed(() => prefixBlocks('m', text))}`,
    `prefix index, ${indexMemory()}`,
  ].join('\n');
}
