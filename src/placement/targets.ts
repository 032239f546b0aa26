/**
 * How many engines each model needs: what the operators ask for, and more where the demand is
 * larger. Where room is short, a model whose demand needs fewer than its replicas lends some to
 * a starved model of the same or a more urgent class.
 */
import type { Configuration, Model } from '../configuration/configuration.js';
import type { Priority } from '../common/priority.js';

/** Fraction of an engine's slots that demand is meant to fill. */
const TARGET_UTILIZATION = 0.7;

/** Generations of one model in the whole deployment. */
export interface DeploymentDemand { readonly running: number; readonly waiting: number }

export interface Target {
  readonly model: Model;
  /** Engines that the demand needs. */
  readonly needed: number;
  /** Engines that should hold the model's version. */
  readonly desired: number;
  /** Whether callers wait for the model beyond what its engines can run. */
  readonly starved: boolean;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };

/** Orders models by the urgency of their class. */
export function byPriority(left: Model, right: Model): number {
  return PRIORITY_RANK[left.priority] - PRIORITY_RANK[right.priority];
}

/**
 * @param slots streams that one engine runs at once
 * @param serving engines that serve the model now, in any version
 */
export function targetOf(
  model: Model,
  demand: DeploymentDemand,
  slots: number,
  serving: number,
): Target {
  const load = demand.running + demand.waiting;
  const needed = Math.max(1, Math.ceil(load / (slots * TARGET_UTILIZATION)));
  const starved = demand.waiting > 0 && load > serving * slots;
  return {
    model, needed, desired: Math.max(model.replicas, needed), starved,
  };
}

/**
 * Engines that must go on serving the model while an engine that holds it is emptied: what its
 * demand needs, and all but one of its replicas.
 */
export function minServingInRollout({ model, needed }: Target): number {
  return Math.max(1, needed, model.replicas - 1);
}

/** Engines that must go on serving `donor` when it gives up one for `starved`. */
export function minServingWhenLending(donor: Target, starved: Target): number {
  return byPriority(starved.model, donor.model) <= 0
    ? Math.max(1, donor.needed)
    : Math.max(donor.needed, donor.model.replicas);
}

/** The models that the pool's engines may hold. */
export function poolAllows(configuration: Configuration, pool: string, model: string): boolean {
  const models = configuration.pools[pool]?.models ?? [];
  return models.length === 0 || models.includes(model);
}
