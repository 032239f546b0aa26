/** The refusals of requests whose claim on their idempotency key was not granted. */
import type { ClaimOutcome } from '../claims/claims.js';
import type { Refusal } from '../common/refusal.js';

const RETRY_AFTER_MS = 1_000;

export function claimRefusal(outcome: Exclude<ClaimOutcome, { kind: 'granted' }>): Refusal {
  switch (outcome.kind) {
    case 'running': return {
      code: 'already_ran',
      message: `request ${outcome.request} with this key was started by instance ${outcome.owner}`,
      ran: 'unknown',
    };
    case 'done': return {
      code: 'already_ran',
      message: `request ${outcome.request} with this key ended with status ${outcome.status}`,
      ran: 'unknown',
    };
    case 'reused_key': return {
      code: 'key_reused', message: 'the key was used with another body', ran: 'no',
    };
    case 'unavailable': return {
      code: 'store_unavailable',
      message: outcome.message,
      ran: 'no',
      retryAfterMs: RETRY_AFTER_MS,
    };
  }
}
