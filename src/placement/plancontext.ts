/** What a plan is made from, and the questions that its parts ask of it. */
import type { Configuration } from '../configuration/configuration.js';
import type { LoadedModel } from '../engines/engine.js';
import type { EngineState, Inventory } from './inventory.js';
import type { DeploymentDemand, Target } from './targets.js';

export interface PlanInput {
  readonly configuration: Configuration;
  /** The engines that answer; others count for nothing. */
  readonly engines: readonly EngineState[];
  readonly demand: ReadonlyMap<string, DeploymentDemand>;
  /**
   * Streams on one version of a model on one server, by all daemons' counts; undefined when not
   * all of them have told, or some may still start streams on it.
   */
  readonly streams: (server: string, model: string, version: string) => number | undefined;
  /** Loads that the weight store's rate has room for now. */
  readonly loads: number;
}

/** Something that is wanted and can't be ordered now. */
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

/** Whether no stream runs on this copy. */
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
