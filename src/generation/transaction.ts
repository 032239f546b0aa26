/**
 * The decisions of one generation. A token enters the answer only when it comes from the current
 * attempt at the position that equals the answer's length, so that no failure can repeat, lose or
 * mix tokens.
 */
import type { AttemptFailure } from '../engines/engine.js';
import type { Refusal } from '../common/refusal.js';
import type {
  DropCause, FinishArrival, GenerationEffect, GenerationEvent, TokenArrival,
} from './change.js';
import type { Attempt, GenerationState } from './state.js';

export interface Transaction {
  readonly state: GenerationState;
  readonly effects: readonly GenerationEffect[];
}

function unchanged(state: GenerationState): Transaction {
  return { state, effects: [] };
}

function drop(state: GenerationState, cause: DropCause): Transaction {
  return { state, effects: [{ kind: 'drop', cause }] };
}

function refuse(state: GenerationState, refusal: Refusal): Transaction {
  return {
    state: { ...state, phase: { kind: 'ended' } },
    effects: [{ kind: 'refuse', refusal }],
  };
}

/** The attempt that an event belongs to, if it is the current one. */
function currentAttempt({ phase }: GenerationState, attempt: number): Attempt | undefined {
  return phase.kind === 'running' && phase.attempt.number === attempt ? phase.attempt : undefined;
}

function assigned(state: GenerationState, server: string, version: string): Transaction {
  if (state.phase.kind !== 'waiting') return unchanged(state);
  const attempt: Attempt = {
    number: state.attempts + 1, server, version, from: state.accepted.tokens,
  };
  return {
    state: {
      ...state, attempts: attempt.number, version, phase: { kind: 'running', attempt },
    },
    effects: [{ kind: 'dispatch', attempt }],
  };
}

/** What a refusal says has run, given what the caller already has. */
function honest(state: GenerationState, refusal: Refusal): Refusal {
  if (state.accepted.tokens > 0) return { ...refusal, ran: 'partly' };
  return { ...refusal, ran: state.begun ? 'unknown' : refusal.ran };
}

function failed(state: GenerationState, attempt: Attempt, failure: AttemptFailure): Transaction {
  const begun = state.begun || failure.ran !== 'no';
  const excluded = [...state.excluded, attempt.server];
  const next: GenerationState = {
    ...state, begun, excluded, phase: { kind: 'waiting' },
  };
  const cancel: GenerationEffect = { kind: 'cancel', attempt };
  const repeats = begun && state.accepted.tokens === 0 && !state.repeatable;
  if (repeats || state.attempts >= state.maxAttempts) {
    const tr = refuse(next, honest(next, {
      code: 'backend_failed', message: `the backend server failed: ${failure.message}`, ran: 'no',
    }));
    return { ...tr, effects: [cancel, ...tr.effects] };
  }
  return { state: next, effects: [cancel, { kind: 'assign', exclude: excluded }] };
}

function tokenTaken(
  state: GenerationState,
  attempt: Attempt,
  event: TokenArrival,
): Transaction {
  const { position, text } = event;
  const { accepted } = state;
  if (position < accepted.tokens) return drop(state, 'repeated');
  if (position > accepted.tokens) {
    const tr = failed(state, attempt, {
      kind: 'failed', cause: 'protocol', ran: 'unknown', message: 'the engine skipped a token',
    });
    return { ...tr, effects: [{ kind: 'drop', cause: 'gap' }, ...tr.effects] };
  }
  return {
    state: {
      ...state,
      begun: true,
      accepted: { text: accepted.text + text, tokens: accepted.tokens + 1 },
    },
    effects: [{ kind: 'token', position, text }],
  };
}

function finished(
  state: GenerationState,
  attempt: Attempt,
  event: FinishArrival,
): Transaction {
  const { tokens } = state.accepted;
  if (event.position !== tokens) {
    return failed(state, attempt, {
      kind: 'failed', cause: 'protocol', ran: 'unknown', message: 'the engine finished at a gap',
    });
  }
  return {
    state: { ...state, phase: { kind: 'ended' } },
    effects: [{ kind: 'finish', reason: event.reason, tokens }],
  };
}

function callerGone(state: GenerationState): Transaction {
  const { phase } = state;
  const effects: GenerationEffect[] = phase.kind === 'running'
    ? [{ kind: 'cancel', attempt: phase.attempt }]
    : [];
  return { state: { ...state, phase: { kind: 'ended' } }, effects };
}

/** The first transaction: asks for a backend server. */
export function begin(state: GenerationState): Transaction {
  return { state, effects: [{ kind: 'assign', exclude: [] }] };
}

/** Applies one event. */
export function transaction(state: GenerationState, event: GenerationEvent): Transaction {
  switch (event.kind) {
    case 'assigned': return assigned(state, event.server, event.version);
    case 'unassignable':
      if (state.phase.kind !== 'waiting') return unchanged(state);
      return refuse(state, honest(state, event.refusal));
    case 'caller_gone': return callerGone(state);
    case 'token':
    case 'finish':
    case 'failed': {
      const attempt = currentAttempt(state, event.attempt);
      if (!attempt) return drop(state, 'late_attempt');
      if (event.kind === 'token') return tokenTaken(state, attempt, event);
      if (event.kind === 'finish') return finished(state, attempt, event);
      return failed(state, attempt, event.failure);
    }
  }
}
