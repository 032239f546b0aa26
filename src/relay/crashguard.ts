/** What the relays of streams and of plain calls do about requests that crash servers. */
import type { Refusal } from '../common/refusal.js';
import type { AttemptStage } from './attemptplan.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { rejectionFields } from './routefields.js';

/** An attempt whose connection broke before its response, or soon after its stream began. */
export interface BrokenAttempt {
  readonly server: string;
  readonly stage: AttemptStage;
  /** Servers that had failed the request before. */
  readonly previous: readonly string[];
  /** Whether an earlier attempt of the request has run soundly. */
  readonly hasRun: boolean;
}

/** The refusal of a call that is known to crash servers, logged; undefined if it is not. */
export function quarantineRefusal(call: Call, context: RelayContext): Refusal | undefined {
  const rejection = context.quarantines.check(call);
  if (!rejection) return undefined;
  context.log.event('info', 'unplaced', rejectionFields(call, rejection, context));
  return rejection.refusal;
}

/** Tells the quarantines of a broken connection, unless the server was leaving. */
export function recordBroken(
  call: Call,
  {
    server, stage, previous, hasRun,
  }: BrokenAttempt,
  { fleet, quarantines }: RelayContext,
): void {
  const state = fleet.server(server);
  // Servers that leave close the connections of requests that they no longer run.
  if (state?.entry.state !== 'ready' || state.expiresAt !== undefined) return;
  const aliveAt = fleet.successors.seenAt(server);
  quarantines.markBroken(state.entry, call, {
    stage, previous, aliveAt, hasRun,
  });
}
