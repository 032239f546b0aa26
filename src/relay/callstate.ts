/**
 * State machine of a call whose response is buffered before it is passed on. A repeatable call is
 * retried when an attempt fails and hedged when one is slow. Any other call goes to another server
 * only when the previous one can't have run it.
 */
import type { Refusal } from '../common/refusal.js';
import type { BufferedResponse } from './call.js';

/**
 * Where a failed attempt may have arrived: at the server chosen, at another one that has taken over
 * its address and refused the request, or nowhere.
 */
export type Arrival = 'server' | 'other_server' | 'nowhere';

export interface CallAttempt {
  readonly number: number;
  readonly server: string;
  /** Whether any of the request may have been sent. */
  readonly isSent?: boolean;
}

/** `waiting`: a server is being chosen. */
export type CallPhase =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'running'; readonly live: readonly CallAttempt[] }
  | { readonly kind: 'ended' };

export interface CallState {
  readonly repeatable: boolean;
  readonly maxAttempts: number;
  readonly attempts: number;
  /** Attempts that did not reach the server chosen; they don't count towards `maxAttempts`. */
  readonly unreached: number;
  /** Failed attempts that arrived at any server. */
  readonly arrivals: number;
  readonly phase: CallPhase;
  readonly tried: readonly string[];
  /** Whether a server may have run the call. */
  readonly mayHaveRun: boolean;
  /** A server's error response, passed on if no attempt succeeds. */
  readonly errorResponse: BufferedResponse | undefined;
  /** Why the last attempt or assignment failed. */
  readonly message: string;
}

export type CallEvent =
  | { readonly kind: 'begin' }
  | { readonly kind: 'assigned'; readonly server: string }
  /** No server can take the call now. */
  | { readonly kind: 'unassignable'; readonly message: string; readonly retryAfterMs: number }
  /** The attempt's request is being sent. */
  | { readonly kind: 'sent'; readonly attempt: number }
  | { readonly kind: 'answered'; readonly attempt: number; readonly response: BufferedResponse }
  | {
    readonly kind: 'failed';
    readonly attempt: number;
    readonly ran: 'no' | 'unknown';
    readonly message: string;
    readonly arrival: Arrival;
    /** The server's response, if it sent one. */
    readonly response?: BufferedResponse | undefined;
  }
  /** The call is known to crash servers. */
  | { readonly kind: 'rejected'; readonly refusal: Refusal }
  /** The live attempt has taken long enough to be hedged. */
  | { readonly kind: 'slow' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller_gone' };

export type CallEffect =
  /** `isRetry` is set when any server has already received the call. */
  | { readonly kind: 'assign'; readonly isRetry: boolean; readonly exclude: readonly string[] }
  | { readonly kind: 'dispatch'; readonly attempt: CallAttempt }
  | { readonly kind: 'cancel'; readonly attempt: CallAttempt }
  | { readonly kind: 'answer'; readonly response: BufferedResponse }
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
    arrivals: 0,
    phase: { kind: 'waiting' },
    tried: [],
    mayHaveRun: false,
    errorResponse: undefined,
    message: '',
  };
}

function withoutEffects(state: CallState): CallTransition {
  return { state, effects: [] };
}

function liveAttempts({ phase }: CallState): readonly CallAttempt[] {
  return phase.kind === 'running' ? phase.live : [];
}

/** Whether a server may have run the call, or be about to: one that got it may still do so. */
function ranOf(state: CallState): 'no' | 'unknown' {
  return state.mayHaveRun || liveAttempts(state).some(({ isSent }) => isSent) ? 'unknown' : 'no';
}

/** Ends a call and cancels its live attempts, except the one numbered `except`. */
function end(
  state: CallState,
  finalEffects: readonly CallEffect[],
  except?: number,
): CallTransition {
  const cancels = liveAttempts(state).filter(({ number }) => number !== except)
    .map((attempt): CallEffect => ({ kind: 'cancel', attempt }));
  return { state: { ...state, phase: { kind: 'ended' } }, effects: [...cancels, ...finalEffects] };
}

function refuse(state: CallState, refusal: Refusal): CallTransition {
  return end(state, [{ kind: 'refuse', refusal }]);
}

/** Ends a call for which no attempt succeeded. */
function giveUp(state: CallState, retryAfterMs: number): CallTransition {
  const { errorResponse, mayHaveRun, message } = state;
  if (errorResponse) return end(state, [{ kind: 'answer', response: errorResponse }]);
  return refuse(state, mayHaveRun
    ? {
      code: 'backend_failed', message: `the backend server failed: ${message}`, ran: 'unknown',
    }
    : {
      code: 'unavailable', message, ran: 'no', retryAfterMs,
    });
}

function assigned(state: CallState, server: string): CallTransition {
  if (state.phase.kind === 'ended') return withoutEffects(state);
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

/** Limit on servers that a call may fail to reach, for when most of the fleet is down. */
const MAX_UNREACHED = 8;

function mayAttempt({ attempts, unreached, maxAttempts }: CallState): boolean {
  return attempts - unreached < maxAttempts && unreached < MAX_UNREACHED;
}

/** Asks for a server that has not been tried yet. */
function retry(state: CallState): CallTransition {
  const isRetry = state.arrivals + liveAttempts(state).length > 0;
  return { state, effects: [{ kind: 'assign', isRetry, exclude: state.tried }] };
}

/** `Retry-After` of a call that has not run: about as long as a server stays busy. */
const BUSY_RETRY_AFTER_MS = 100;

function failed(
  state: CallState,
  event: Extract<CallEvent, { kind: 'failed' }>,
): CallTransition {
  const live = liveAttempts(state);
  if (!live.some(({ number }) => number === event.attempt)) return withoutEffects(state);
  const remaining = live.filter(({ number }) => number !== event.attempt);
  const next: CallState = {
    ...state,
    mayHaveRun: state.mayHaveRun || event.ran === 'unknown',
    errorResponse: event.response ?? state.errorResponse,
    message: event.message,
    unreached: state.unreached + (event.arrival === 'server' ? 0 : 1),
    arrivals: state.arrivals + (event.arrival === 'nowhere' ? 0 : 1),
    phase: remaining.length > 0 ? { kind: 'running', live: remaining } : { kind: 'waiting' },
  };
  if (remaining.length > 0) return withoutEffects(next);
  const allowed = (next.repeatable || !next.mayHaveRun) && mayAttempt(next);
  return allowed ? retry(next) : giveUp(next, BUSY_RETRY_AFTER_MS);
}

export function callTransition(state: CallState, event: CallEvent): CallTransition {
  if (state.phase.kind === 'ended') return withoutEffects(state);
  switch (event.kind) {
    case 'begin': return { state, effects: [{ kind: 'assign', isRetry: false, exclude: [] }] };
    case 'assigned': return assigned(state, event.server);
    case 'unassignable': {
      if (state.phase.kind === 'running') return withoutEffects(state);
      const message = state.message === '' ? event.message : state.message;
      return giveUp({ ...state, message }, event.retryAfterMs);
    }
    case 'sent': {
      if (state.phase.kind !== 'running') return withoutEffects(state);
      const live = state.phase.live.map((attempt) => (
        attempt.number === event.attempt ? { ...attempt, isSent: true } : attempt));
      return withoutEffects({ ...state, phase: { kind: 'running', live } });
    }
    case 'answered':
      return liveAttempts(state).some(({ number }) => number === event.attempt)
        ? end(state, [{ kind: 'answer', response: event.response }], event.attempt)
        : withoutEffects(state);
    case 'failed': return failed(state, event);
    case 'slow':
      return state.repeatable && liveAttempts(state).length === 1 && mayAttempt(state)
        ? retry(state)
        : withoutEffects(state);
    case 'rejected': return refuse(state, { ...event.refusal, ran: ranOf(state) });
    case 'expired': {
      const ran = ranOf(state);
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
