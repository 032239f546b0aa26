/**
 * Evicts models when no engine has enough free memory for a load: one engine at a time is taken out
 * of service, its models are unloaded once nothing runs on it, and it returns to service when the
 * new model is loaded or no longer needs the engine.
 */
import { poolAllows, minServingInRollout, minServingWhenLending } from './targets.js';
import type { Target } from './targets.js';
import { holdsOrLoads } from './inventory.js';
import type { EngineState } from './inventory.js';
import { isCurrent, isIdle, targetFor } from './plancontext.js';
import type { BlockedModel, PlanContext } from './plancontext.js';

/** How many engines must keep serving `other` if one of its engines is evicted for `target`. */
function minServing(other: Target, target: Target): number {
  return other.model.name === target.model.name || !target.starved
    ? minServingInRollout(other)
    : minServingWhenLending(other, target);
}

/** Whether every model on the engine can spare it, and `target` would then fit. */
function canEvict(context: PlanContext, engine: EngineState, target: Target): boolean {
  const { input, inventory } = context;
  const { model } = target;
  if (engine.server.memory < model.memory || engine.report.loading.length > 0) return false;
  if (!poolAllows(input.configuration, engine.server.pool, model.name)) return false;
  if (holdsOrLoads(engine, model.name, model.version)) return false;
  const inService = engine.report.role === 'serve' ? 1 : 0;
  return engine.report.models.every((held) => {
    const other = targetFor(context, held.model);
    return !other || inventory.serving(held.model) - inService >= minServing(other, target);
  });
}

/** Higher for engines with outdated copies, or with models that have more than the desired. */
function evictionScore(context: PlanContext, engine: EngineState): number {
  const { input, inventory } = context;
  const notServing = engine.report.role === 'serve' ? 0 : 1;
  return engine.report.models.reduce((score, held) => {
    const other = targetFor(context, held.model);
    if (!other || !isCurrent(input, held)) return score + 1;
    return inventory.current(held.model) + notServing > other.desired ? score : score - 1;
  }, 0);
}

/** Whether eviction pays: the target is starved, or the engine's copies can be spared. */
function worthEvicting(context: PlanContext, engine: EngineState, target: Target): boolean {
  return target.starved || evictionScore(context, engine) >= 0;
}

function startEviction(context: PlanContext, target: Target): void {
  const { inventory } = context;
  const [chosen] = context.groups
    .flatMap((group) => group.find((one) => inventory.canTakeOrder(one)) ?? [])
    .filter((one) => one.report.role === 'serve' && canEvict(context, one, target)
      && worthEvicting(context, one, target))
    .sort((left, right) => evictionScore(context, right) - evictionScore(context, left)
      || left.report.running - right.report.running);
  if (chosen) inventory.addOrder(chosen, { kind: 'role', role: 'idle' }, 'make_room');
}

/** Continues with an engine that is out of service: unloads, waits, or returns it to service. */
function continueEviction(
  context: PlanContext,
  engine: EngineState,
  unmet: readonly Target[],
): void {
  const { inventory } = context;
  if (!inventory.canTakeOrder(engine) || engine.pendingLoads.length > 0) return;
  if (engine.report.loading.length > 0) return;
  const target = unmet.find((one) => (
    canEvict(context, engine, one) && worthEvicting(context, engine, one)));
  const held = engine.report.models[0];
  if (!target) {
    inventory.addOrder(engine, { kind: 'role', role: 'serve' }, 'back_in_service');
  } else if (held && isIdle(engine)) {
    const { model, version } = held;
    inventory.addOrder(engine, { kind: 'unload', model, version }, 'make_room');
  }
}

/** Orders evictions for the blocked models, and returns engines that aren't needed to service. */
export function planEvictions(context: PlanContext, blocked: readonly BlockedModel[]): void {
  const { inventory, input } = context;
  const unmet = blocked.flatMap(({ model }) => targetFor(context, model) ?? []);
  const outOfService = inventory.usable.filter((engine) => engine.report.role === 'idle');
  outOfService.forEach((engine) => continueEviction(context, engine, unmet));
  const limit = Math.max(1, input.configuration.placement.concurrentLoads) - outOfService.length;
  unmet.filter((target) => blocked.some((one) => (
    one.model === target.model.name && one.reason === 'no_room')))
    .slice(0, Math.max(0, limit))
    .forEach((target) => startEviction(context, target));
}
