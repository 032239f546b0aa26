/** Whether a stream may start another attempt, and whether it may leave a silent engine. */
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import type { AttemptDemand } from './enginechoice.js';
import { runsRelease } from './release.js';
import { selectEngine } from './selection.js';

/** The attempts of a stream so far. */
export interface AttemptCounts {
  /** Attempts that the engine chosen may have received. */
  readonly sent: number;
  /** Attempts that any server may have received, such as one that took over an engine's address. */
  readonly arrived: number;
}

export function countAttempts(
  attempts: readonly { readonly sent: boolean; readonly arrived: boolean }[],
): AttemptCounts {
  return {
    sent: attempts.filter(({ sent }) => sent).length,
    arrived: attempts.filter(({ arrived }) => arrived).length,
  };
}

/** Why a stream may not start another attempt; undefined if it may. */
export function attemptDenialReason(
  { route, service }: Call,
  { sent, arrived }: AttemptCounts,
  { retries, scheduler }: RelayContext,
): string | undefined {
  if (arrived > 0 && retries.left(service.name, scheduler.now()) < 1) {
    return 'the retry budget is used up';
  }
  return sent >= route.maxAttempts ? 'no attempt is left' : undefined;
}

/**
 * Silence alone does not end a stream: it stays on its engine unless the request may be
 * repeated and another engine has capacity for it. While the instance stops, it stays as long as
 * the engine is reached: both engines may be silent, and no time is left to come back.
 */
export function mayMigrate(
  call: Call,
  counts: AttemptCounts,
  isLost: boolean,
  { run, exclude, release }: Omit<AttemptDemand, 'copyHolder' | 'isNew'>,
  context: RelayContext,
): boolean {
  const { engine, name } = call.service;
  if (!engine || call.route.repeat === 'never') return false;
  if (context.stopping.isStopping && !isLost) return false;
  if (attemptDenialReason(call, counts, context) !== undefined) return false;
  const { fleet, scheduler, rollouts } = context;
  const candidates = fleet.candidates(name, exclude)
    .filter(({ server }) => runsRelease(server.entry, release));
  const offers = rollouts.offers(call, candidates, release ? 'bound' : 'again');
  return offers.some((offer) => selectEngine(offer, run, engine, scheduler.now()) !== undefined);
}
