/** The fuzzing's property: after any sequence of commands, every promise holds. */
import fc from 'fast-check';
import type { AsyncCommand, RunDetails } from 'fast-check';
import type { Favour } from '../../src/configuration/configuration.js';
import { World } from '../fakes/world.js';
import { commandsOf } from './commands.js';

const DAEMONS = 3;
const ENGINES = 4;
const MAX_COMMANDS = 60;
const FINISH_MS = 60_000;
const FAVOURS: readonly Favour[] = ['latency', 'resources'];

type Commands = Iterable<AsyncCommand<World, World>>;

export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  /** fast-check's path to one counterexample. */
  readonly path?: string;
  readonly replayPath?: string;
  /** Stops at the first failure instead of looking for a smaller one. */
  readonly quick?: boolean;
}

/** Counts of the cases in the sequences so far, which show what the fuzzing covers. */
export const coverage = new Map<string, number>();

function countCase(what: string): void {
  coverage.set(what, (coverage.get(what) ?? 0) + 1);
}

function countOrders({ engines }: World): void {
  const orders = [...engines.values()].flatMap(({ engine }) => engine.models.orders);
  orders.forEach(({ order, outcome }) => countCase(`order to ${order.kind}, ${outcome}`));
  if (new Set(orders.map(({ fence }) => fence)).size > 1) countCase('orders of two lease holders');
}

function countWorld(world: World): void {
  const { oracle, engines } = world;
  countOrders(world);
  oracle.calls.forEach(({ name, outcome, request }) => {
    if (name.endsWith('again')) countCase(`came back, then ${outcome.kind}`);
    if (request.idempotencyKey !== undefined) countCase(`keyed ${request.repeat}, ${outcome.kind}`);
    countCase(outcome.kind === 'refused' ? `refused, ran ${outcome.ran}` : outcome.kind);
    const attempts = [...engines.values()].flatMap(({ engine }) => engine.started)
      .filter((begun) => begun.request.generation === request.id);
    if (attempts.length > 1) countCase('more than one attempt');
    if (attempts.some((begun) => begun.request.accepted.tokens > 0)) {
      countCase(`resumed, then ${outcome.kind}`);
    }
  });
}

async function run(seed: number, favour: Favour, commands: Commands): Promise<void> {
  const world = World.of({
    seed, favour, daemons: DAEMONS, engines: ENGINES,
  });
  // Wait for the first load reports and heartbeats.
  await world.advance(1_000);
  await fc.asyncModelRun(() => ({ model: world, real: world }), commands);
  await world.finish(FINISH_MS);
  countWorld(world);
  if (world.oracle.violations.length > 0) throw new Error(world.oracle.violations.join('; '));
}

export function fuzz({
  seed, runs, path, replayPath, quick = false,
}: FuzzOptions): Promise<RunDetails<[number, Favour, Commands]>> {
  const names = (kind: string, count: number) => (
    Array.from({ length: count }, (_, index) => `${kind}-${index}`));
  const commands = commandsOf(
    names('daemon', DAEMONS),
    names('engine', ENGINES),
    MAX_COMMANDS,
    replayPath,
  );
  return fc.check(
    fc.asyncProperty(fc.nat(0xffff), fc.constantFrom(...FAVOURS), commands, run),
    {
      seed, numRuns: runs, endOnFailure: quick, ...(path === undefined ? {} : { path }),
    },
  ) as Promise<RunDetails<[number, Favour, Commands]>>;
}

/** Describes a failed run: the arguments to replay it, and the shrunk commands one per line. */
export function describeFailure(details: RunDetails<[number, Favour, Commands]>): string {
  const [seed, favour, commands] = details.counterexample ?? [];
  return [
    `seed=${details.seed} path=${details.counterexamplePath} runs=${details.numRuns}`,
    `shrinks=${details.numShrinks} world=${seed} favour=${favour}`,
    String(commands),
    String(details.errorInstance ?? ''),
  ].join('\n');
}
