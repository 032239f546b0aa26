/** Generates the commands of the fuzzing, and checks which of them apply to a world's state. */
import fc from 'fast-check';
import type { AsyncCommand } from 'fast-check';
import type { ObjectFaults } from '../../src/standin/objects.js';
import { MAX_TOKENS, MODELS, VERSIONS } from '../fakes/worldconfiguration.js';
import { LIST, STORE } from '../fakes/links.js';
import { OPERATORS } from '../fakes/operators.js';
import {
  BUSIEST, HOLDER, processName, STOPPING,
} from '../fakes/processroles.js';
import type { World } from '../fakes/world.js';
import { play } from './steps.js';
import type { Step } from './steps.js';

function isUp(world: World, name: string): boolean {
  return world.network.node(name).liveness === 'up';
}

function isPaused(world: World, name: string): boolean {
  return world.network.node(name).clock.paused;
}

/** Whether the step would change anything in the world's current state. */
function isPossible(world: World, step: Step): boolean {
  switch (step.kind) {
    case 'ask': {
      const name = processName(world, step.daemon);
      return isUp(world, name) && world.inBalancer(name);
    }
    case 'kill_daemon': return isUp(world, processName(world, step.daemon));
    case 'stop_daemon': return world.isRunning(step.daemon) && world.inBalancer(step.daemon);
    case 'start_daemon': return !isUp(world, step.daemon);
    case 'crash_engine': return isUp(world, processName(world, step.engine));
    case 'start_engine': return !isUp(world, step.engine);
    case 'pause':
    case 'suspend': {
      const name = processName(world, step.node);
      return isUp(world, name) && !isPaused(world, name);
    }
    case 'wake': return isPaused(world, step.node);
    case 'cut':
    case 'delay':
    case 'mend': return step.from !== step.to;
    case 'leave_engine': return world.isRunning(processName(world, step.engine));
    case 'come_back': return world.callers.returnable.length > 0 && isUp(world, step.daemon)
      && world.inBalancer(step.daemon);
    case 'hang_up': return world.oracle.open.length > 0;
    case 'advance':
    case 'isolate':
    case 'mend_all':
    case 'engine_faults':
    case 'edit':
    case 'store':
    case 'compact':
    case 'list_lag': return true;
  }
}

class Command implements AsyncCommand<World, World> {
  readonly step: Step;

  private constructor(step: Step) {
    this.step = step;
  }

  static of(step: Step): Command {
    return new Command(step);
  }

  check(world: World): boolean {
    return isPossible(world, this.step);
  }

  async run(_: World, world: World): Promise<void> {
    await play(world, this.step);
  }

  toString(): string {
    return JSON.stringify(this.step);
  }
}

const DURATIONS_MS = [1, 7, 20, 60, 150, 400, 1_000, 2_500, 6_000];

function storeFaults(): fc.Arbitrary<Partial<ObjectFaults>> {
  return fc.oneof(
    { weight: 5, arbitrary: fc.constant({}) },
    fc.constant({ outage: true }),
    fc.record({ latencyMs: fc.constantFrom(20, 300, 1_500) }),
    fc.record({ lostAnswers: fc.constantFrom(0.3, 1), lostWrites: fc.constantFrom(0, 0.3) }),
    fc.constant({ staleReads: true }),
    fc.constant({ silentWatches: true }),
    fc.record({ readsPerSecond: fc.constant(3), writesPerSecond: fc.constant(1) }),
  );
}

/** Generates one step for a world with these processes. */
function stepOf(daemons: readonly string[], engines: readonly string[]): fc.Arbitrary<Step> {
  const daemon = fc.constantFrom(...daemons);
  const engine = fc.constantFrom(...engines);
  const node = fc.constantFrom(...daemons, ...engines, ...OPERATORS);
  const target = fc.constantFrom(BUSIEST, BUSIEST, ...engines);
  const ended = fc.constantFrom(HOLDER, ...daemons);
  const place = fc.constantFrom(...daemons, ...engines, ...OPERATORS, STORE, LIST);
  const ms = fc.constantFrom(...DURATIONS_MS);
  const how = fc.constantFrom('ended' as const, 'silent' as const);
  const fraction = fc.constantFrom(0, 0.5, 1);
  const kind = <Kind extends Step['kind']>(name: Kind) => fc.constant(name);
  return fc.oneof(
    {
      weight: 12,
      arbitrary: fc.record({
        kind: kind('ask'),
        daemon: fc.constantFrom(...daemons, STOPPING),
        model: fc.constantFrom(...MODELS),
        tokens: fc.integer({ min: 1, max: MAX_TOKENS }),
        stop: fc.constantFrom([], ['.']),
        key: fc.constantFrom(undefined, undefined, undefined, 'key-0', 'key-1'),
        priority: fc.constantFrom('interactive' as const, 'standard' as const, 'batch' as const),
      }),
    },
    { weight: 10, arbitrary: fc.record({ kind: kind('advance'), ms }) },
    fc.record({ kind: kind('hang_up'), call: fc.nat(9) }),
    {
      weight: 6,
      arbitrary: fc.record({
        kind: kind('come_back'), call: fc.nat(9), daemon, withText: fc.boolean(),
      }),
    },
    { weight: 3, arbitrary: fc.record({ kind: kind('crash_engine'), engine: target, how }) },
    { weight: 2, arbitrary: fc.record({ kind: kind('start_engine'), engine }) },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constantFrom('pause' as const, 'suspend' as const),
        node: fc.oneof(node, target, fc.constantFrom(HOLDER, STOPPING)),
      }),
    },
    { weight: 3, arbitrary: fc.record({ kind: kind('wake'), node }) },
    { weight: 2, arbitrary: fc.record({ kind: kind('kill_daemon'), daemon: ended, how }) },
    { weight: 2, arbitrary: fc.record({ kind: kind('start_daemon'), daemon }) },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: kind('cut'),
        both: fc.boolean(),
        from: fc.oneof(daemon, fc.constantFrom(...OPERATORS)),
        to: place,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kind('cut'), both: kind('cut').map(() => false), from: place, to: daemon,
      }),
    },
    fc.record({ kind: kind('isolate'), node: fc.oneof(node, fc.constant(HOLDER)) }),
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kind('delay'), from: place, to: daemon, ms,
      }),
    },
    { weight: 2, arbitrary: fc.record({ kind: kind('mend'), from: place, to: daemon }) },
    { weight: 4, arbitrary: fc.record({ kind: kind('mend_all') }) },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: kind('engine_faults'),
        engine: target,
        faults: fc.oneof(
          fc.record({ reportLagMs: ms }),
          fc.record({ cacheLoss: fraction, cacheRepeat: fraction }),
          fc.record({
            eventLoss: fc.constantFrom(0, 0.03, 0.3), eventRepeat: fc.constantFrom(0, 0.1, 1),
          }),
        ),
      }),
    },
    fc.record({ kind: kind('leave_engine'), engine: target }),
    {
      weight: 2,
      arbitrary: fc.record({ kind: kind('stop_daemon'), daemon, paused: fc.boolean() }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: kind('edit'),
        operator: fc.constantFrom(...OPERATORS),
        edit: fc.oneof(
          fc.record({ kind: fc.constant('drain' as const), engine, drained: fc.boolean() }),
          fc.record({
            kind: fc.constant('version' as const),
            model: fc.constantFrom(...MODELS),
            version: fc.constantFrom(...VERSIONS),
          }),
        ),
      }),
    },
    { weight: 4, arbitrary: fc.record({ kind: kind('store'), faults: storeFaults() }) },
    fc.record({ kind: kind('compact') }),
    fc.record({ kind: kind('list_lag'), ms }),
  );
}

/** Generates sequences of commands for a world with these processes. */
export function commandsOf(
  daemons: readonly string[],
  engines: readonly string[],
  maxCommands: number,
  replayPath?: string,
): fc.Arbitrary<Iterable<AsyncCommand<World, World>>> {
  return fc.commands([stepOf(daemons, engines).map((step) => Command.of(step))], {
    maxCommands, size: 'max', ...(replayPath === undefined ? {} : { replayPath }),
  });
}
