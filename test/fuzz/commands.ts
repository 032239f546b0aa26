/** The commands that the fuzzing draws from, and which of them are possible at a moment. */
import fc from 'fast-check';
import type { AsyncCommand } from 'fast-check';
import { MODELS } from '../fakes/configuration.js';
import { LIST, STORE } from '../fakes/links.js';
import type { World } from '../fakes/world.js';
import { play } from './steps.js';
import type { Step } from './steps.js';

/** What the commands know of the world before they run: which processes are up. */
export interface Model { readonly ended: Set<string>; readonly paused: Set<string> }

interface Change {
  readonly kind: 'ends' | 'starts' | 'pauses' | 'wakes' | 'uses';
  readonly node: string;
}

/** What a step does to a process, if it does anything. */
function changeOf(step: Step): Change | undefined {
  if (step.kind === 'crash_engine') return { kind: 'ends', node: step.engine };
  if (step.kind === 'kill_daemon') return { kind: 'ends', node: step.daemon };
  if (step.kind === 'start_engine') return { kind: 'starts', node: step.engine };
  if (step.kind === 'start_daemon') return { kind: 'starts', node: step.daemon };
  if (step.kind === 'pause' || step.kind === 'suspend') return { kind: 'pauses', node: step.node };
  if (step.kind === 'wake') return { kind: 'wakes', node: step.node };
  if (step.kind === 'ask') return { kind: 'uses', node: step.daemon };
  return undefined;
}

function possible({ ended, paused }: Model, step: Step): boolean {
  const change = changeOf(step);
  if (!change) return !('from' in step) || step.from !== step.to;
  switch (change.kind) {
    case 'ends':
    case 'uses': return !ended.has(change.node);
    case 'starts': return ended.has(change.node);
    case 'pauses': return !ended.has(change.node) && !paused.has(change.node);
    case 'wakes': return paused.has(change.node);
  }
}

/** Follows a step in the model. */
function follow({ ended, paused }: Model, step: Step): void {
  const change = changeOf(step);
  switch (change?.kind) {
    case 'ends':
      ended.add(change.node);
      paused.delete(change.node);
      break;
    case 'starts':
      ended.delete(change.node);
      break;
    case 'pauses':
      paused.add(change.node);
      break;
    case 'wakes':
      paused.delete(change.node);
      break;
    case 'uses':
    case undefined: break;
  }
}

class Command implements AsyncCommand<Model, World> {
  readonly step: Step;

  private constructor(step: Step) {
    this.step = step;
  }

  static of(step: Step): Command {
    return new Command(step);
  }

  check(model: Readonly<Model>): boolean {
    return possible(model, this.step);
  }

  async run(model: Model, world: World): Promise<void> {
    follow(model, this.step);
    await play(world, this.step);
  }

  toString(): string {
    return JSON.stringify(this.step);
  }
}

const DURATIONS_MS = [1, 7, 20, 60, 150, 400, 1_000, 2_500, 6_000];

/** Draws one step of a world with these processes. */
function stepOf(daemons: readonly string[], engines: readonly string[]): fc.Arbitrary<Step> {
  const daemon = fc.constantFrom(...daemons);
  const engine = fc.constantFrom(...engines);
  const node = fc.constantFrom(...daemons, ...engines);
  const place = fc.constantFrom(...daemons, ...engines, STORE, LIST);
  const ms = fc.constantFrom(...DURATIONS_MS);
  const how = fc.constantFrom('ended' as const, 'silent' as const);
  const fraction = fc.constantFrom(0, 0.5, 1);
  const kind = <Kind extends Step['kind']>(name: Kind) => fc.constant(name);
  return fc.oneof(
    {
      weight: 8,
      arbitrary: fc.record({
        kind: kind('ask'),
        daemon,
        model: fc.constantFrom(...MODELS),
        tokens: fc.integer({ min: 1, max: 64 }),
        priority: fc.constantFrom('interactive' as const, 'standard' as const, 'batch' as const),
      }),
    },
    { weight: 8, arbitrary: fc.record({ kind: kind('advance'), ms }) },
    fc.record({ kind: kind('hang_up'), call: fc.nat(9) }),
    { weight: 3, arbitrary: fc.record({ kind: kind('crash_engine'), engine, how }) },
    { weight: 2, arbitrary: fc.record({ kind: kind('start_engine'), engine }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('pause', 'suspend'), node }) },
    { weight: 3, arbitrary: fc.record({ kind: kind('wake'), node }) },
    fc.record({ kind: kind('kill_daemon'), daemon, how }),
    { weight: 2, arbitrary: fc.record({ kind: kind('start_daemon'), daemon }) },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: kind('cut'), both: fc.boolean(), from: daemon, to: place,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kind('cut'), both: kind('cut').map(() => false), from: place, to: daemon,
      }),
    },
    fc.record({ kind: kind('isolate'), node }),
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kind('delay'), from: place, to: daemon, ms,
      }),
    },
    { weight: 2, arbitrary: fc.record({ kind: kind('mend'), from: place, to: daemon }) },
    { weight: 2, arbitrary: fc.record({ kind: kind('mend_all') }) },
    fc.record({ kind: kind('reports_lag'), engine, ms }),
    fc.record({
      kind: kind('cache_events'), engine, cacheLoss: fraction, cacheRepeat: fraction,
    }),
  );
}

/** Sequences of commands for a world of this size. */
export function commandsOf(
  daemons: readonly string[],
  engines: readonly string[],
  maxCommands: number,
  replayPath?: string,
): fc.Arbitrary<Iterable<AsyncCommand<Model, World>>> {
  return fc.commands([stepOf(daemons, engines).map((step) => Command.of(step))], {
    maxCommands, size: 'max', ...(replayPath === undefined ? {} : { replayPath }),
  });
}
