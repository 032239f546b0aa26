/** The state of a relayed stream before its first attempt. */
import type { Refusal } from '../common/refusal.js';
import { generationState } from '../generation/state.js';
import type { GenerationState } from '../generation/state.js';
import type { Call } from './call.js';
import { FIRST_EVENT_ID } from './serverrequest.js';

/** Limit on consecutive attempts without an event, most of which reach no engine at all. */
const MAX_ATTEMPTS_WITHOUT_EVENT = 12;

export function streamState({ route, fields: { lastEvent } }: Call): GenerationState {
  return generationState({
    repeatable: route.repeat === 'safe',
    // The relay enforces the route's own limit, which doesn't count attempts that reach no engine.
    maxAttempts: MAX_ATTEMPTS_WITHOUT_EVENT,
    hedges: false,
    maxTokens: Infinity,
    from: lastEvent === undefined ? 0 : lastEvent + 1 - FIRST_EVENT_ID,
  });
}

/** The last event that was written to the caller; undefined if none was. */
export function lastWritten({ accepted, from = 0 }: GenerationState): number | undefined {
  return accepted.tokens > from ? accepted.tokens - 1 + FIRST_EVENT_ID : undefined;
}

/** The refusal of a stream; it has not run if its last attempt, too, has reached no server. */
export function withArrival(
  refusal: Refusal,
  { mayHaveBeenReceived }: Pick<GenerationState, 'mayHaveBeenReceived'>,
  lastAttempt: { readonly arrived: boolean } | undefined,
): Refusal {
  const isUnreceived = refusal.ran === 'unknown' && !mayHaveBeenReceived && !lastAttempt?.arrived;
  return isUnreceived ? { ...refusal, ran: 'no' } : refusal;
}
