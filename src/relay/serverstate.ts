/**
 * What this instance believes of one backend server: its entry in the store, whether it is
 * reached, and the work given to it. The state is immutable; each function gives the next one.
 */
import type { ServerEntry } from './serverentry.js';

/** A failure counts half as much after so long; a grey server is tried again within seconds. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Weight of the newest outcome in the failure rate and in the mean duration. */
const OUTCOME_WEIGHT = 0.3;
/** Duration assumed of a server that has not answered yet. */
const INITIAL_DURATION_MS = 20;

/** `suspect` servers get nothing new until they accept a connection again. */
export type Health =
  | { readonly kind: 'up' }
  | { readonly kind: 'suspect'; readonly since: number; readonly reason: string };

/** Work on an engine, in runs and in tokens of its memory. */
export interface Load {
  readonly running: number;
  /** Tokens of prompts that are not read yet. */
  readonly prefillTokens: number;
  /** Tokens that running requests take at the end. */
  readonly memoryTokens: number;
  /** Tokens of standby copies of runs elsewhere. */
  readonly standbyTokens: number;
}

export const NO_LOAD: Load = {
  running: 0, prefillTokens: 0, memoryTokens: 0, standbyTokens: 0,
};

export function addLoad(left: Load, right: Load): Load {
  return {
    running: left.running + right.running,
    prefillTokens: left.prefillTokens + right.prefillTokens,
    memoryTokens: left.memoryTokens + right.memoryTokens,
    standbyTokens: left.standbyTokens + right.standbyTokens,
  };
}

export function negateLoad(load: Load): Load {
  return {
    running: -load.running,
    prefillTokens: -load.prefillTokens,
    memoryTokens: -load.memoryTokens,
    standbyTokens: -load.standbyTokens,
  };
}

export interface ServerState {
  readonly entry: ServerEntry;
  /** Tells lives of one server apart; work given to an earlier one doesn't count for a later. */
  readonly incarnation: symbol;
  readonly health: Health;
  /** When an entry that went missing is to be taken as gone; undefined while it is listed. */
  readonly expiresAt: number | undefined;
  /** What this instance has given to the server. */
  readonly ownLoad: Load;
  /** Share of recent requests that failed, as of `outcomeAt`. */
  readonly failureRate: number;
  readonly outcomeAt: number;
  /** Mean duration of whole answers. */
  readonly meanDurationMs: number;
}

export function serverState(entry: ServerEntry): ServerState {
  return {
    entry,
    incarnation: Symbol(entry.id),
    health: { kind: 'up' },
    expiresAt: undefined,
    ownLoad: NO_LOAD,
    failureRate: 0,
    outcomeAt: 0,
    meanDurationMs: INITIAL_DURATION_MS,
  };
}

/** Whether two entries are of the same life of a process. */
export function sameProcess(left: ServerEntry, right: ServerEntry): boolean {
  return left.startedAt === right.startedAt && left.address === right.address;
}

/** Takes a newer entry; a server that has started again knows nothing of before. */
export function withEntry(state: ServerState, entry: ServerEntry): ServerState {
  if (entry.startedAt < state.entry.startedAt) return state;
  if (!sameProcess(state.entry, entry)) return serverState(entry);
  // A server that leaves doesn't come back in the same life.
  const kept = state.entry.state === 'leaving' ? 'leaving' : entry.state;
  return { ...state, entry: { ...entry, state: kept }, expiresAt: undefined };
}

export function failureRate(state: ServerState, now: number): number {
  const age = Math.max(0, now - state.outcomeAt);
  return state.failureRate * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
}

/** Takes the outcome of one request. */
export function withOutcome(
  state: ServerState,
  failed: boolean,
  durationMs: number | undefined,
  now: number,
): ServerState {
  const rate = failureRate(state, now);
  return {
    ...state,
    failureRate: rate + OUTCOME_WEIGHT * ((failed ? 1 : 0) - rate),
    outcomeAt: now,
    meanDurationMs: durationMs === undefined ? state.meanDurationMs
      : state.meanDurationMs + OUTCOME_WEIGHT * (durationMs - state.meanDurationMs),
  };
}

export function markSuspect(state: ServerState, reason: string, now: number): ServerState {
  if (state.health.kind === 'suspect') return state;
  return { ...state, health: { kind: 'suspect', since: now, reason } };
}

export function markReached(state: ServerState): ServerState {
  return state.health.kind === 'up' ? state : { ...state, health: { kind: 'up' } };
}

/** Whether the server may be given something new. */
export function usable(state: ServerState, now: number): boolean {
  return state.entry.state === 'ready' && state.health.kind === 'up'
    && (state.expiresAt === undefined || now < state.expiresAt);
}
