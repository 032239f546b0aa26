/**
 * Ways to place models, compared on the same changes: greedy by demand from scratch, the fewest
 * moves looking at every engine, and the same looking at the states that engines are in. Engines
 * obey in steps; nothing else of a deployment runs.
 *
 * Usage: tsx bench/placement.ts [sizes, comma-separated]
 */
import { Random } from '../src/common/random.js';
import type { Model } from '../src/configuration/configuration.js';
import { holdsOrLoads } from '../src/placement/inventory.js';
import type { Decision, EngineState } from '../src/placement/inventory.js';
import { planOf } from '../src/placement/plan.js';
import type { Grouping, Plan } from '../src/placement/plan.js';
import { isIdle } from '../src/placement/plancontext.js';
import type { PlanInput } from '../src/placement/plancontext.js';
import { targetOf } from '../src/placement/targets.js';
import {
  configurationOf, Fleet, modelOf, serverOf, SLOTS,
} from '../test/fakes/fleet.js';
import { quantile } from './fit.js';

interface Size { readonly engines: number; readonly models: number }

const SIZES: Readonly<Record<string, Size>> = {
  lisbon: { engines: 16, models: 4 },
  moravia: { engines: 28, models: 5 },
  target: { engines: 780, models: 13 },
};
const MAX_STEPS = 600;
const QUIET_STEPS = 8;
const ZONES = 4;
const MEMORY = 2;
const SEED = 5;
/** The last of the rounds is printed, when the code has been compiled. */
const ROUNDS = 3;
/** Fraction of the replicas that the demand needs. */
const USE = 0.6;

type Planner = (input: PlanInput) => Plan;

/** Assigns engines to models in the order of their demand, whatever they hold now. */
function assign({ configuration, engines, demand }: PlanInput): ReadonlyMap<string, Model[]> {
  const assigned = new Map(engines.map(({ server }) => [server.name, [] as Model[]]));
  const room = new Map(engines.map(({ server }) => [server.name, server.memory]));
  const load = (model: Model) => {
    const { running, waiting } = demand.get(model.name) ?? { running: 0, waiting: 0 };
    return running + waiting;
  };
  Object.values(configuration.models)
    .sort((left, right) => load(right) - load(left))
    .forEach((model) => {
      const { desired: wanted } = targetOf(model, { running: load(model), waiting: 0 }, SLOTS, 1);
      engines.filter(({ server }) => room.get(server.name)! >= model.memory)
        .slice(0, wanted)
        .forEach(({ server }) => {
          room.set(server.name, room.get(server.name)! - model.memory);
          assigned.get(server.name)!.push(model);
        });
    });
  return assigned;
}

/** The next order that brings the engine to what is assigned to it. */
function nextOrder(
  {
    input, engine, models, mayLoad,
  }: {
    readonly input: PlanInput;
    readonly engine: EngineState;
    readonly models: readonly Model[];
    readonly mayLoad: boolean;
  },
): Decision | undefined {
  const server = engine.server.name;
  const unwanted = engine.report.models.find((held) => !models
    .some((model) => model.name === held.model && model.version === held.version));
  const absent = models.find((model) => !holdsOrLoads(engine, model.name, model.version));
  if (unwanted && !isIdle(engine) && engine.report.role === 'serve') {
    return { server, order: { kind: 'role', role: 'idle' }, reason: 'make_room' };
  }
  if (unwanted && isIdle(engine)) {
    const { model, version } = unwanted;
    return { server, order: { kind: 'unload', model, version }, reason: 'make_room' };
  }
  if (unwanted) return undefined;
  if (absent && mayLoad && input.loads > 0) {
    const { name: model, version } = absent;
    return { server, order: { kind: 'load', model, version }, reason: 'replica_missing' };
  }
  return !absent && engine.report.role === 'idle' && engine.report.loading.length === 0
    ? { server, order: { kind: 'role', role: 'serve' }, reason: 'back_in_service' }
    : undefined;
}

function greedy(input: PlanInput): Plan {
  const assigned = assign(input);
  let { loads } = input;
  const decisions = input.engines.flatMap((engine) => {
    const models = assigned.get(engine.server.name)!;
    const decision = nextOrder({
      input, engine, models, mayLoad: loads > 0,
    });
    if (decision?.order.kind === 'load') loads -= 1;
    return decision ?? [];
  });
  return { decisions, blocked: [] };
}

/** Groups engines by all that a plan looks at. */
const byState: Grouping = ({
  server, report, pendingLoads: ordered, orderPending: busy,
}) => JSON.stringify([
  server.pool, server.zone, server.memory, report.role, busy, report.running + report.waiting === 0,
  report.models.map((held) => [held.model, held.version]), report.loading, ordered,
]);

const PLANNERS: Readonly<Record<string, Planner>> = {
  greedy,
  engines: (input) => planOf(input),
  states: (input) => planOf(input, byState),
};

function fleetOf({ engines, models }: Size): Fleet {
  const random = Random.of(SEED);
  // Copies of size 1 on engines of size 2, with a tenth of the room left free.
  const replicas = Math.floor((engines * MEMORY * 0.9) / models);
  const servers = Array.from({ length: engines }, (_, index) => serverOf(`e${index}`, {
    zone: `z${index % ZONES}`, memory: MEMORY,
  }));
  const list = Array.from({ length: models }, (_, index) => modelOf(`m${index}`, { replicas }));
  const fleet = Fleet.of(configurationOf(list, servers));
  list.forEach(({ name }) => {
    const free = servers.filter((server) => fleet.engines.get(server.name)!.models.length < MEMORY
      && !fleet.engines.get(server.name)!.models.some((held) => held.model === name));
    const chosen = free.sort(() => random.fraction() - 0.5).slice(0, replicas);
    fleet.preload(name, chosen.map((server) => server.name));
    fleet.demand.set(name, { running: Math.floor(replicas * SLOTS * 0.7 * USE), waiting: 0 });
  });
  return fleet;
}

const CHANGES: Readonly<Record<string, (fleet: Fleet, size: Size) => void>> = {
  new_version: (fleet) => fleet.update('m0', { version: '2' }),
  lost_engines: (fleet, { engines }) => {
    const count = Math.max(1, Math.floor(engines / 20));
    [...fleet.engines.values()].slice(0, count)
      .forEach((engine) => Object.assign(engine, { up: false }));
  },
  demand_doubles: (fleet) => {
    const { running } = fleet.demand.get('m1')!;
    fleet.demand.set('m1', { running, waiting: running });
  },
};

/** The least fraction that any model has of the engines that its demand needs. */
function capacity(fleet: Fleet): number {
  return Math.min(...Object.values(fleet.configuration.models).map((model) => {
    const { needed } = targetOf(model, fleet.demand.get(model.name)!, SLOTS, 1);
    return Math.min(1, fleet.serving(model.name) / needed);
  }));
}

/** Makes the change and steps until nothing is left to do; gives the line to print. */
function run(what: string, size: Size, change: string, planner: Planner): string {
  const fleet = fleetOf(size);
  const loads = Math.max(2, Math.floor(size.engines / 20));
  const times: number[] = [];
  const timed: Planner = (input) => {
    const from = performance.now();
    const plan = planner(input);
    times.push(performance.now() - from);
    return plan;
  };
  CHANGES[change]!(fleet, size);
  const before = capacity(fleet);
  let least = 1;
  let quiet = 0;
  let steps = 0;
  let moves = 0;
  while (steps < MAX_STEPS && quiet < QUIET_STEPS) {
    const { decisions } = fleet.step(timed, loads);
    moves += decisions.length;
    least = Math.min(least, capacity(fleet));
    const loading = [...fleet.engines.values()].some((engine) => engine.up && engine.loading.size);
    quiet = decisions.length === 0 && !loading ? quiet + 1 : 0;
    steps += 1;
  }
  return [
    what,
    `settled=${quiet >= QUIET_STEPS} steps=${steps - quiet} orders=${moves}`,
    `loads=${fleet.loads} unloads=${fleet.unloads}`,
    `capacity_before=${before.toFixed(2)} least=${least.toFixed(2)}`,
    `faults=${fleet.violations.length}`,
    `decide_p50_ms=${quantile(times, 0.5).toFixed(2)} max_ms=${Math.max(...times).toFixed(1)}`,
  ].join(' ').concat('\n');
}

const [sizesText] = process.argv.slice(2);
const names = sizesText ? sizesText.split(',') : Object.keys(SIZES);
names.forEach((name) => Object.keys(CHANGES).forEach((change) => {
  Object.entries(PLANNERS).forEach(([planner, plan]) => {
    const lines = Array.from({ length: ROUNDS }, () => (
      run(`size=${name} change=${change} way=${planner}`, SIZES[name]!, change, plan)));
    process.stdout.write(lines.at(-1)!);
  });
}));
