/**
 * Making room for a load where no engine has any: one engine at a time is taken out of service,
 * emptied once nothing runs on it, and put back when it is loaded or no longer needed for it.
 */
import { allowedIn, keptInRollout, keptWhenLending } from './targets.js';
import type { Target } from './targets.js';
import { holds } from './inventory.js';
import type { EngineState } from './inventory.js';
import { isCurrent, isIdle, targetFor } from './scope.js';
import type { Blocked, Scope } from './scope.js';

/** Engines that `other` must keep if one that holds it is emptied for `target`. */
function kept(other: Target, target: Target): number {
  return other.model.name === target.model.name || !target.starved
    ? keptInRollout(other)
    : keptWhenLending(other, target);
}

/** Whether every model on the engine can spare it, and emptying it makes room for `target`. */
function canEmpty(scope: Scope, engine: EngineState, target: Target): boolean {
  const { input, inventory } = scope;
  const { model } = target;
  if (engine.server.memory < model.memory || engine.report.loading.length > 0) return false;
  if (!allowedIn(input.configuration, engine.server.pool, model.name)) return false;
  if (holds(engine, model.name, model.version)) return false;
  const inService = engine.report.role === 'serve' ? 1 : 0;
  return engine.report.models.every((held) => {
    const other = targetFor(scope, held.model);
    return !other || inventory.serving(held.model) - inService >= kept(other, target);
  });
}

/** Prefers engines whose copies are out of date, or of models that have more than they want. */
function emptying(scope: Scope, engine: EngineState): number {
  const { input, inventory } = scope;
  const outside = engine.report.role === 'serve' ? 0 : 1;
  return engine.report.models.reduce((score, held) => {
    const other = targetFor(scope, held.model);
    if (!other || !isCurrent(input, held)) return score + 1;
    return inventory.current(held.model) + outside > other.wanted ? score : score - 1;
  }, 0);
}

/** Whether an engine is worth emptying: for a new version, or a model that callers wait for. */
function deserves(scope: Scope, engine: EngineState, target: Target): boolean {
  return target.starved || emptying(scope, engine) >= 0;
}

function emptyOne(scope: Scope, target: Target): void {
  const { inventory } = scope;
  const [engine] = scope.groups
    .flatMap((group) => group.find((one) => inventory.isFree(one)) ?? [])
    .filter((one) => one.report.role === 'serve' && canEmpty(scope, one, target)
      && deserves(scope, one, target))
    .sort((left, right) => emptying(scope, right) - emptying(scope, left)
      || left.report.running - right.report.running);
  if (engine) inventory.decide(engine, { kind: 'role', role: 'idle' }, 'make_room');
}

/** Goes on with an engine that is out of service: empties it, waits for its load, or returns it. */
function refill(scope: Scope, engine: EngineState, short: readonly Target[]): void {
  const { inventory } = scope;
  if (!inventory.isFree(engine) || engine.ordered.length > 0) return;
  if (engine.report.loading.length > 0) return;
  const target = short.find((one) => canEmpty(scope, engine, one) && deserves(scope, engine, one));
  const held = engine.report.models[0];
  if (!target) {
    inventory.decide(engine, { kind: 'role', role: 'serve' }, 'back_in_service');
  } else if (held && isIdle(engine)) {
    const { model, version } = held;
    inventory.decide(engine, { kind: 'unload', model, version }, 'make_room');
  }
}

/** Orders what makes room for the blocked models, and returns engines that need not be emptied. */
export function makeRoom(scope: Scope, blocked: readonly Blocked[]): void {
  const { inventory, input } = scope;
  const short = blocked.flatMap(({ model }) => targetFor(scope, model) ?? []);
  const out = inventory.usable.filter((engine) => engine.report.role === 'idle');
  out.forEach((engine) => refill(scope, engine, short));
  const limit = Math.max(1, input.configuration.placement.concurrentLoads) - out.length;
  short.filter((target) => blocked.some((one) => (
    one.model === target.model.name && one.reason === 'no_room')))
    .slice(0, Math.max(0, limit))
    .forEach((target) => emptyOne(scope, target));
}
