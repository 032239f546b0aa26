/**
 * Transactions for the loss of an attempt: the generation resumes on another engine, restarts where
 * that can't run the request twice, or is refused.
 */
import type { AttemptFailure, CancelOutcome } from '../engines/engine.js';
import type { Refusal } from '../common/refusal.js';
import type { AssignReason, DropCause, GenerationEffect } from './event.js';
import type { Attempt, GenerationState, Phase } from './state.js';

const RETRY_AFTER_MS = 1_000;

export interface Transaction {
  readonly state: GenerationState;
  readonly effects: readonly GenerationEffect[];
}

export const ENDED: Phase = { kind: 'ended' };

export function unchanged(state: GenerationState): Transaction {
  return { state, effects: [] };
}

export function drop(state: GenerationState, cause: DropCause): Transaction {
  return { state, effects: [{ kind: 'drop', cause }] };
}

export function liveAttempts({ phase }: GenerationState): readonly Attempt[] {
  return phase.kind === 'running' ? phase.live : [];
}

/** Effects that stop all live attempts and the request for another server. */
export function stopAll(state: GenerationState, except?: Attempt): readonly GenerationEffect[] {
  const { phase } = state;
  const cancels = liveAttempts(state).filter((attempt) => attempt !== except)
    .map((attempt): GenerationEffect => ({ kind: 'cancel', attempt, outcome: 'cancelled' }));
  const assigning = phase.kind === 'waiting' || (phase.kind === 'running' && phase.hedging);
  return assigning ? [...cancels, { kind: 'withdraw' }] : cancels;
}

export function refuse(state: GenerationState, refusal: Refusal): Transaction {
  return {
    state: { ...state, phase: ENDED },
    effects: [...stopAll(state), { kind: 'refuse', refusal }],
  };
}

/** Sets `ran` by what was delivered and what a backend server may have received. */
export function withRan(state: GenerationState, refusal: Refusal): Refusal {
  // Tokens that a returning caller already had were not produced by this request.
  if (state.accepted.tokens > (state.from ?? 0)) return { ...refusal, ran: 'partly' };
  const mayHaveBeenReceived = state.mayHaveBeenReceived || liveAttempts(state).length > 0;
  return { ...refusal, ran: mayHaveBeenReceived ? 'unknown' : refusal.ran };
}

export function lossRefusal(state: GenerationState, message: string): Refusal {
  return withRan(state, {
    code: state.accepted.tokens > 0 ? 'interrupted' : 'backend_failed',
    message: `the backend server failed: ${message}`,
    ran: 'no',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

export function assign(state: GenerationState, exclude: readonly string[]): Transaction {
  let reason: AssignReason = state.attempts > 0 ? 'again' : 'begin';
  if (state.accepted.tokens > 0) reason = 'resume';
  return {
    state: { ...state, phase: { kind: 'waiting' } },
    effects: [{ kind: 'assign', reason, exclude }],
  };
}

/** Resumes, restarts or ends the generation after the last live attempt was lost. */
function afterLoss(state: GenerationState, message: string): Transaction {
  const { accepted } = state;
  if (accepted.tokens >= state.maxTokens) {
    return {
      state: { ...state, phase: ENDED },
      effects: [{ kind: 'finish', reason: 'length', tokens: accepted.tokens }],
    };
  }
  if (state.attemptsWithoutToken >= state.maxAttempts || !state.textKnown) {
    return refuse(state, lossRefusal(state, message));
  }
  // While nothing was delivered, the answer may come from another version.
  const version = accepted.tokens === 0 ? undefined : state.version;
  return assign({ ...state, version }, state.excluded);
}

export function failed(
  state: GenerationState,
  attempt: Attempt,
  failure: AttemptFailure,
): Transaction {
  const { phase } = state;
  if (phase.kind !== 'running') return unchanged(state);
  const live = phase.live.filter((other) => other !== attempt);
  const mayHaveRun = state.mayHaveRun || failure.ran !== 'no';
  const mayHaveBeenReceived = state.mayHaveBeenReceived || mayHaveRun;
  // An engine that no longer has a joined stream may still be the best one to resume on.
  const excluded = attempt.kind === 'join' && failure.ran === 'no'
    ? state.excluded
    : [...new Set([...state.excluded, attempt.server])];
  const next: GenerationState = {
    ...state, mayHaveRun, mayHaveBeenReceived, excluded, phase: { ...phase, live },
  };
  const stop: GenerationEffect = failure.ran === 'no'
    ? { kind: 'close', attempt, outcome: 'refused' }
    : { kind: 'cancel', attempt, outcome: 'failed' };
  if (live.length > 0) return { state: next, effects: [stop] };
  if (phase.hedging) return { state: { ...next, phase: { kind: 'waiting' } }, effects: [stop] };
  if (mayHaveRun && state.accepted.tokens === 0 && !state.repeatable) {
    return {
      state: { ...next, phase: { kind: 'settling', attempt, message: failure.message } },
      effects: [{ kind: 'settle', attempt }],
    };
  }
  const tr = afterLoss(
    { ...next, phase: { kind: 'running', live, hedging: false } },
    failure.message,
  );
  return { ...tr, effects: [stop, ...tr.effects] };
}

export function protocolFailure(
  state: GenerationState,
  attempt: Attempt,
  message: string,
): Transaction {
  return failed(state, attempt, {
    kind: 'failed', cause: 'protocol', ran: 'unknown', message,
  });
}

/** Restarts only after a confirmed cancel that produced no tokens. */
export function settled(
  state: GenerationState,
  number: number,
  outcome: CancelOutcome,
): Transaction {
  const { phase } = state;
  if (phase.kind !== 'settling' || phase.attempt.number !== number) return unchanged(state);
  if (outcome.kind === 'cancelled' && outcome.made === 0) {
    return afterLoss({ ...state, mayHaveRun: false }, phase.message);
  }
  return refuse(state, lossRefusal(state, phase.message));
}
