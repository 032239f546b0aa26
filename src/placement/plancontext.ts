/** The inputs of a plan, and the queries on them that its steps share. */
import type { Configuration } from '../configuration/configuration.js';
import type { LoadedModel } from '../engines/engine.js';
import type { EngineState, Inventory } from './inventory.js';
import type { DeploymentDemand, Target } from './targets.js';

export interface PlanInput {
  readonly configuration: Configuration;
  /** The reachable engines; all others are ignored. */
  readonly engines: readonly EngineState[];
  readonly demand: ReadonlyMap<string, DeploymentDemand>;
  /**
   * All daemons' streams on one version of a model on one server; undefined when not all of them
   * have reported, or some may still start streams on it.
   */
  readonly streams: (server: string, model: string, version: string) => number | undefined;
  /** How many loads the weight store's rate allows now. */
  readonly loads: number;
}

/** A model with missing replicas that can't be loaded now. */
export interface BlockedModel {
  readonly model: string;
  readonly missing: number;
  readonly reason: 'no_room' | 'weight_store_rate';
}

export interface PlanContext {
  readonly input: PlanInput;
  readonly inventory: Inventory;
  readonly targets: readonly Target[];
  readonly groups: readonly (readonly EngineState[])[];
}

export function isIdle({ report }: EngineState): boolean {
  return report.running + report.waiting === 0;
}

export function missingReplicas({ inventory }: PlanContext, { model, desired }: Target): number {
  return desired - inventory.current(model.name) - inventory.pending(model.name);
}

export function isCurrent({ configuration }: PlanInput, held: LoadedModel): boolean {
  return configuration.models[held.model]?.version === held.version;
}

/** Whether the copy is known to serve no stream. */
export function hasNoStreams(
  { streams }: PlanInput,
  engine: EngineState,
  held: LoadedModel,
): boolean {
  return isIdle(engine) || streams(engine.server.name, held.model, held.version) === 0;
}

export function targetFor({ targets }: PlanContext, model: string): Target | undefined {
  return targets.find((target) => target.model.name === model);
}
