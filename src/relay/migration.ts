/** Whether a stream may start another attempt, and whether it may leave a silent engine. */
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { selectEngine } from './selection.js';
import type { RunDemand } from './selection.js';

/**
 * Why a stream may not start another attempt; undefined if it may.
 * @param sent number of engines that the request was sent to
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
 * Silence alone does not end a stream: it stays on its engine unless the request may be
 * repeated and another engine has capacity for it.
 * @param sent number of engines that the request was sent to
 * @param exclude ids of the engines that the stream can't move to
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
