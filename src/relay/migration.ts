/** Whether a stream may be given to one more engine, and be taken from one that is silent. */
import type { Call } from './call.js';
import { selectEngine } from './selection.js';
import type { RunDemand } from './selection.js';
import type { RelayContext } from './context.js';

/**
 * Why a stream may not be given to one more engine; undefined where it may.
 * @param sent engines that have had the request
 */
export function attemptDenialReason(
  { route, service }: Call,
  sent: number,
  { retries, scheduler }: RelayContext,
): string | undefined {
  if (sent > 0 && retries.left(service.name, scheduler.now()) < 1) {
    return 'the retry budget is used up';
  }
  return sent >= route.maxAttempts ? 'no attempt is left' : undefined;
}

/**
 * Silence alone is no reason to end an answer: it is left where it is unless it may be repeated and
 * another engine can take it.
 * @param sent engines that have had the request
 * @param exclude engines that it can't go to
 */
export function mayMigrate(
  call: Call,
  sent: number,
  exclude: readonly string[],
  demand: RunDemand,
  context: RelayContext,
): boolean {
  const { engine, name } = call.service;
  if (!engine || call.route.repeat === 'never') return false;
  if (attemptDenialReason(call, sent, context) !== undefined) return false;
  const { fleet, scheduler } = context;
  return selectEngine(fleet.candidates(name, exclude), demand, engine, scheduler.now())
    !== undefined;
}
