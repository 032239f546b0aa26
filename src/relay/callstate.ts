/**
 * The decisions of a call whose answer is passed on whole. A call that may be repeated is tried
 * again where an attempt failed, and beside one that is slow; one that may not is given to another
 * server only when the one before can't have run it.
 */
import type { Refusal } from '../common/refusal.js';
import type { WholeAnswer } from './call.js';

export interface CallAttempt { readonly number: number; readonly server: string }

/** `waiting`: a server is being chosen. */
export type CallPhase =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'running'; readonly live: readonly CallAttempt[] }
  | { readonly kind: 'ended' };

export interface CallState {
  readonly repeatable: boolean;
  readonly maxAttempts: number;
  readonly attempts: number;
  /** Attempts that reached no server, which the bound on attempts leaves out. */
  readonly unreached: number;
  readonly phase: CallPhase;
  readonly tried: readonly string[];
  /** Whether a server may have run the call. */
  readonly mayHaveRun: boolean;
  /** A server's own failure, for a caller that gets nothing better. */
  readonly failure: WholeAnswer | undefined;
  readonly message: string;
}

export type CallEvent =
  | { readonly kind: 'begin' }
  | { readonly kind: 'assigned'; readonly server: string }
  /** No server may be given the call now. */
  | { readonly kind: 'unassignable'; readonly message: string; readonly retryAfterMs: number }
  | { readonly kind: 'answered'; readonly attempt: number; readonly answer: WholeAnswer }
  | {
    readonly kind: 'failed';
    readonly attempt: number;
    readonly ran: 'no' | 'unknown';
    readonly message: string;
    /** Whether the server got any of the request. */
    readonly sent: boolean;
    /** The server's own answer, if it gave one. */
    readonly answer?: WholeAnswer | undefined;
  }
  /** The live attempt takes longer than such calls commonly do. */
  | { readonly kind: 'slow' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller_gone' };

export type CallEffect =
  /** `again` is set when a server has had the call. */
  | { readonly kind: 'assign'; readonly isRetry: boolean; readonly exclude: readonly string[] }
  | { readonly kind: 'dispatch'; readonly attempt: CallAttempt }
  | { readonly kind: 'cancel'; readonly attempt: CallAttempt }
  | { readonly kind: 'answer'; readonly answer: WholeAnswer }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

export interface CallTransition {
  readonly state: CallState;
  readonly effects: readonly CallEffect[];
}

export function callState(repeatable: boolean, maxAttempts: number): CallState {
  return {
    repeatable,
    maxAttempts,
    attempts: 0,
    unreached: 0,
    phase: { kind: 'waiting' },
    tried: [],
    mayHaveRun: false,
    failure: undefined,
    message: '',
  };
}

function unchanged(state: CallState): CallTransition {
  return { state, effects: [] };
}

function liveAttempts({ phase }: CallState): readonly CallAttempt[] {
  return phase.kind === 'running' ? phase.live : [];
}

function end(state: CallState, last: readonly CallEffect[], except?: number): CallTransition {
  const cancels = liveAttempts(state).filter(({ number }) => number !== except)
    .map((attempt): CallEffect => ({ kind: 'cancel', attempt }));
  return { state: { ...state, phase: { kind: 'ended' } }, effects: [...cancels, ...last] };
}

function refuse(state: CallState, refusal: Refusal): CallTransition {
  return end(state, [{ kind: 'refuse', refusal }]);
}

/** The end of a call that no server answered well. */
function giveUp(state: CallState, retryAfterMs: number): CallTransition {
  const { failure, mayHaveRun, message } = state;
  if (failure) return end(state, [{ kind: 'answer', answer: failure }]);
  return refuse(state, mayHaveRun
    ? {
      code: 'backend_failed', message: `the backend server failed: ${message}`, ran: 'unknown',
    }
    : {
      code: 'unavailable', message, ran: 'no', retryAfterMs,
    });
}

function assigned(state: CallState, server: string): CallTransition {
  if (state.phase.kind === 'ended') return unchanged(state);
  const attempt: CallAttempt = { number: state.attempts + 1, server };
  return {
    state: {
      ...state,
      attempts: attempt.number,
      tried: [...state.tried, server],
      phase: { kind: 'running', live: [...liveAttempts(state), attempt] },
    },
    effects: [{ kind: 'dispatch', attempt }],
  };
}

/** Servers that a call may fail to reach, for a fleet of which most is down. */
const MAX_UNREACHED = 8;

function mayAttempt({ attempts, unreached, maxAttempts }: CallState): boolean {
  return attempts - unreached < maxAttempts && unreached < MAX_UNREACHED;
}

/** The next attempt, if one is allowed beside what has happened. */
function retry(state: CallState): CallTransition {
  const { attempts, unreached, tried } = state;
  return { state, effects: [{ kind: 'assign', isRetry: attempts > unreached, exclude: tried }] };
}

/** How soon a caller whose call has not run may come back: about the time that a server is busy. */
const BUSY_RETRY_AFTER_MS = 100;

function failed(
  state: CallState,
  event: Extract<CallEvent, { kind: 'failed' }>,
): CallTransition {
  const live = liveAttempts(state);
  if (!live.some(({ number }) => number === event.attempt)) return unchanged(state);
  const rest = live.filter(({ number }) => number !== event.attempt);
  const next: CallState = {
    ...state,
    mayHaveRun: state.mayHaveRun || event.ran === 'unknown',
    failure: event.answer ?? state.failure,
    message: event.message,
    unreached: state.unreached + (event.sent ? 0 : 1),
    phase: rest.length > 0 ? { kind: 'running', live: rest } : { kind: 'waiting' },
  };
  if (rest.length > 0) return unchanged(next);
  const allowed = (next.repeatable || !next.mayHaveRun) && mayAttempt(next);
  return allowed ? retry(next) : giveUp(next, BUSY_RETRY_AFTER_MS);
}

export function callTransition(state: CallState, event: CallEvent): CallTransition {
  if (state.phase.kind === 'ended') return unchanged(state);
  switch (event.kind) {
    case 'begin': return { state, effects: [{ kind: 'assign', isRetry: false, exclude: [] }] };
    case 'assigned': return assigned(state, event.server);
    case 'unassignable': {
      if (state.phase.kind === 'running') return unchanged(state);
      const message = state.message === '' ? event.message : state.message;
      return giveUp({ ...state, message }, event.retryAfterMs);
    }
    case 'answered':
      return liveAttempts(state).some(({ number }) => number === event.attempt)
        ? end(state, [{ kind: 'answer', answer: event.answer }], event.attempt)
        : unchanged(state);
    case 'failed': return failed(state, event);
    case 'slow':
      return state.repeatable && liveAttempts(state).length === 1 && mayAttempt(state)
        ? retry(state)
        : unchanged(state);
    case 'expired': {
      const ran = state.mayHaveRun || liveAttempts(state).length > 0 ? 'unknown' : 'no';
      return refuse(state, {
        code: ran === 'no' ? 'unavailable' : 'backend_timeout',
        message: 'no backend server answered in time',
        ran,
        retryAfterMs: ran === 'no' ? BUSY_RETRY_AFTER_MS : undefined,
      });
    }
    case 'caller_gone': return end(state, []);
  }
}
