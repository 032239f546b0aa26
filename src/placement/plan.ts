/**
 * Computes the next orders to the engines from the configuration, the demand and the engines'
 * reports. A plan keeps no state: it is recomputed from each round of reports, gives each engine at
 * most one order, and doesn't rely on earlier orders having succeeded.
 *
 * At every step each model keeps the engines that its demand needs and all but one of its
 * replicas. A new version is loaded beside the old one if the engine has enough memory; otherwise
 * one engine at a time is taken out of service, its models are unloaded once nothing runs on it,
 * and it is loaded and returned to service.
 */
import type { Model } from '../configuration/configuration.js';
import type { LoadedModel } from '../engines/engine.js';
import { holdsOrLoads, Inventory } from './inventory.js';
import type { Decision, EngineState, OrderReason } from './inventory.js';
import { planEvictions } from './eviction.js';
import {
  isCurrent, isIdle, hasNoStreams, missingReplicas, targetFor,
} from './plancontext.js';
import type { BlockedModel, PlanInput, PlanContext } from './plancontext.js';
import { poolAllows, byPriority, targetOf } from './targets.js';
import type { DeploymentDemand, Target } from './targets.js';

export interface Plan {
  readonly decisions: readonly Decision[];
  readonly blocked: readonly BlockedModel[];
}

/** Engines with the same key are interchangeable in a plan. */
export type Grouping = (engine: EngineState) => string;

const NO_DEMAND: DeploymentDemand = { running: 0, waiting: 0 };

const alone: Grouping = ({ server }) => server.name;

function groupsOf(
  engines: readonly EngineState[],
  grouping: Grouping,
): readonly (readonly EngineState[])[] {
  const groups = new Map<string, EngineState[]>();
  engines.forEach((engine) => {
    const key = grouping(engine);
    const group = groups.get(key);
    if (group) group.push(engine);
    else groups.set(key, [engine]);
  });
  return [...groups.values()];
}

function averageSlots(engines: readonly EngineState[]): number {
  const total = engines.reduce((sum, { report }) => sum + report.slots, 0);
  return engines.length === 0 ? 1 : Math.max(1, total / engines.length);
}

/** Whether an outdated copy can be unloaded without its model losing an engine that it needs. */
function canUnload(context: PlanContext, engine: EngineState, held: LoadedModel): boolean {
  const { input, inventory } = context;
  const model = input.configuration.models[held.model];
  if (!model) return true;
  const desired = targetFor(context, held.model)?.desired ?? 0;
  const hasCurrent = engine.report.models
    .some((other) => other.model === held.model && isCurrent(input, other));
  return hasCurrent || engine.report.role === 'idle' || inventory.current(model.name) >= desired;
}

function unloadUnused(context: PlanContext): void {
  const { input, inventory } = context;
  inventory.usable.forEach((engine) => {
    const held = engine.report.models.find((copy) => (
      !isCurrent(input, copy) && hasNoStreams(input, engine, copy)
      && canUnload(context, engine, copy)));
    if (!held || !inventory.canTakeOrder(engine)) return;
    const { model, version } = held;
    const reason = input.configuration.models[model] ? 'version_replaced' : 'model_removed';
    inventory.addOrder(engine, { kind: 'unload', model, version }, reason);
  });
}

function zoneCounts({ inventory }: PlanContext, model: Model): Map<string, number> {
  const counts = new Map<string, number>();
  inventory.usable.filter((engine) => holdsOrLoads(engine, model.name, model.version))
    .forEach(({ server }) => counts.set(server.zone, (counts.get(server.zone) ?? 0) + 1));
  return counts;
}

/**
 * Scores an engine for a load: engines being reloaded first, then those with an old version of the
 * model, then zones with fewer copies, then the most free memory.
 */
function loadScore(
  { inventory }: PlanContext,
  engine: EngineState,
  model: Model,
  zones: ReadonlyMap<string, number>,
): number {
  const refilled = engine.report.role === 'idle' ? 1_000_000 : 0;
  const replaces = engine.report.models.some((held) => held.model === model.name) ? 100_000 : 0;
  const spread = -1_000 * (zones.get(engine.server.zone) ?? 0);
  return refilled + replaces + spread + inventory.freeMemory(engine);
}

function bestEngine(
  context: PlanContext,
  model: Model,
  zones: ReadonlyMap<string, number>,
): EngineState | undefined {
  const { input: { configuration }, inventory, groups } = context;
  let best: EngineState | undefined;
  let highest = -Infinity;
  groups.forEach((group) => {
    const [first] = group;
    if (!first || !poolAllows(configuration, first.server.pool, model.name)) return;
    if (inventory.freeMemory(first) < model.memory) return;
    if (holdsOrLoads(first, model.name, model.version)) return;
    const score = loadScore(context, first, model, zones);
    const engine = score > highest ? group.find((one) => inventory.canTakeOrder(one)) : undefined;
    if (engine) [best, highest] = [engine, score];
  });
  return best;
}

function loadReason({ inventory }: PlanContext, target: Target): OrderReason {
  if (target.starved) return 'starved';
  const { name } = target.model;
  return inventory.serving(name) > inventory.current(name) ? 'version_rollout' : 'replica_missing';
}

interface LoadResult { readonly blocked: readonly BlockedModel[]; readonly loads: number }

/**
 * Orders the missing loads on engines with enough free memory; returns the models that are blocked
 * and the number of loads left over.
 */
function loadMissing(context: PlanContext): LoadResult {
  const { inventory, targets } = context;
  const blocked: BlockedModel[] = [];
  let { loads } = context.input;
  targets.forEach((target) => {
    const { model } = target;
    const zones = zoneCounts(context, model);
    let left = missingReplicas(context, target);
    let reason: BlockedModel['reason'] | undefined;
    while (left > 0 && !reason) {
      const engine = loads > 0 ? bestEngine(context, model, zones) : undefined;
      if (engine) {
        const order = { kind: 'load', model: model.name, version: model.version } as const;
        inventory.addOrder(engine, order, loadReason(context, target));
        const { zone } = engine.server;
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
        loads -= 1;
        left -= 1;
      } else reason = loads > 0 ? 'no_room' : 'weight_store_rate';
    }
    if (reason) blocked.push({ model: model.name, missing: left, reason });
  });
  return { blocked, loads };
}

function planAdapters({ input, inventory }: PlanContext, loads: number): void {
  let left = loads;
  inventory.usable.filter((engine) => inventory.canTakeOrder(engine)).forEach((engine) => {
    const held = engine.report.models.filter((copy) => isCurrent(input, copy));
    const missing = held.flatMap(({ model, version, adapters: loaded }) => (
      input.configuration.models[model]!.adapters.filter((adapter) => !loaded.includes(adapter))
        .map((adapter) => ({ model, version, adapter }))));
    const extra = held.flatMap(({ model, version, adapters: loaded }) => (
      loaded.filter((adapter) => !input.configuration.models[model]!.adapters.includes(adapter))
        .map((adapter) => ({ model, version, adapter }))));
    const [add] = missing;
    const [drop] = isIdle(engine) ? extra : [];
    if (add && left > 0) {
      inventory.addOrder(engine, { kind: 'load_adapter', ...add }, 'adapter_missing');
      left -= 1;
    } else if (drop) {
      inventory.addOrder(engine, { kind: 'unload_adapter', ...drop }, 'adapter_removed');
    }
  });
}

/** Makes a plan; by default every engine is a group of its own. */
export function planOf(input: PlanInput, grouping: Grouping = alone): Plan {
  const { configuration, engines, demand } = input;
  const inventory = Inventory.of(configuration, engines);
  const slots = averageSlots(inventory.usable);
  const targets = Object.values(configuration.models).sort(byPriority).map((model) => targetOf(
    model,
    demand.get(model.name) ?? NO_DEMAND,
    slots,
    inventory.serving(model.name),
  ));
  const context: PlanContext = {
    input, inventory, targets, groups: groupsOf(inventory.usable, grouping),
  };
  unloadUnused(context);
  const { blocked, loads } = loadMissing(context);
  planEvictions(context, blocked);
  planAdapters(context, loads);
  return { decisions: inventory.decisions, blocked };
}
