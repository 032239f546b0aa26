/**
 * How many engines each model should have: its replicas, or more if the demand is higher.
 * When memory is short, a model whose demand needs fewer engines than its replicas lends some to
 * a starved model of the same or a higher priority.
 */
import type { Configuration, Model } from '../configuration/configuration.js';
import type { Priority } from '../common/priority.js';

/** The fraction of an engine's slots that the demand should occupy. */
const TARGET_UTILIZATION = 0.7;

/** The generations of one model across the deployment. */
export interface DeploymentDemand { readonly running: number; readonly waiting: number }

export interface Target {
  readonly model: Model;
  /** Engines that the current demand needs. */
  readonly needed: number;
  /** Engines that should hold the configured version. */
  readonly desired: number;
  /** Whether callers are waiting and the demand exceeds the slots of the model's engines. */
  readonly starved: boolean;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };

/** Compares models by priority, the most urgent first. */
export function byPriority(left: Model, right: Model): number {
  return PRIORITY_RANK[left.priority] - PRIORITY_RANK[right.priority];
}

/**
 * @param slots streams that one engine can run at once
 * @param serving engines that currently serve any version of the model
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
 * How many engines must keep serving the model while its copy on another is evicted: as many as its
 * demand needs, and all but one of its replicas.
 */
export function minServingInRollout({ model, needed }: Target): number {
  return Math.max(1, needed, model.replicas - 1);
}

/** How many engines must keep serving `donor` when it gives up one for `starved`. */
export function minServingWhenLending(donor: Target, starved: Target): number {
  return byPriority(starved.model, donor.model) <= 0
    ? Math.max(1, donor.needed)
    : Math.max(donor.needed, donor.model.replicas);
}

/** Whether the pool's engines may hold the model; a pool without a list may hold any. */
export function poolAllows(configuration: Configuration, pool: string, model: string): boolean {
  const models = configuration.pools[pool]?.models ?? [];
  return models.length === 0 || models.includes(model);
}
