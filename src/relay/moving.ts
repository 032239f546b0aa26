/** Whether a stream may be taken from an engine that is silent. */
import type { Call } from './call.js';
import { engineFor } from './choice.js';
import type { RunDemand } from './choice.js';
import type { RelayContext } from './context.js';

/**
 * Silence alone is no reason to end an answer: it is left where it is unless it may be repeated and
 * another engine can take it.
 * @param sent engines that have had the request
 * @param exclude engines that it can't go to
 */
export function mayMove(
  { route, service }: Call,
  sent: number,
  exclude: readonly string[],
  demand: RunDemand,
  { fleet, retries, scheduler }: RelayContext,
): boolean {
  const now = scheduler.now();
  const { engine } = service;
  if (!engine || route.repeat === 'never' || sent >= route.maxAttempts) return false;
  if (retries.left(service.name, now) < 1) return false;
  return engineFor(fleet.candidates(service.name, exclude), demand, engine, now) !== undefined;
}
