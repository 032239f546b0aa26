/**
 * What this instance believes of one backend server: its entry in the store, whether it is
 * reached, and the work given to it. The state is immutable; each function gives the next one.
 */
import type { ListedServer } from './serverentry.js';

/** A failure counts half as much after so long; a grey server is tried again within seconds. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Weight of the newest outcome in the failure rate and in the mean duration. */
const OUTCOME_WEIGHT = 0.3;
/** Duration assumed of a server that has not answered yet. */
const FIRST_DURATION_MS = 20;

/** `suspect` servers get nothing new until they accept a connection again. */
export type Health =
  | { readonly kind: 'up' }
  | { readonly kind: 'suspect'; readonly since: number; readonly reason: string };

/** Work on an engine, in runs and in tokens of its memory. */
export interface Load {
  readonly running: number;
  /** Tokens of prompts that are not read yet. */
  readonly reading: number;
  /** Tokens that running requests take at the end. */
  readonly memory: number;
  /** Tokens of standby copies of runs elsewhere. */
  readonly standby: number;
}

export const NO_LOAD: Load = {
  running: 0, reading: 0, memory: 0, standby: 0,
};

export function addLoad(left: Load, right: Load): Load {
  return {
    running: left.running + right.running,
    reading: left.reading + right.reading,
    memory: left.memory + right.memory,
    standby: left.standby + right.standby,
  };
}

export function negative(load: Load): Load {
  return {
    running: -load.running,
    reading: -load.reading,
    memory: -load.memory,
    standby: -load.standby,
  };
}

export interface ServerState {
  readonly listed: ListedServer;
  /** Tells lives of one server apart; work given to an earlier one doesn't count for a later. */
  readonly life: symbol;
  readonly health: Health;
  /** When an entry that went missing is to be taken as gone; undefined while it is listed. */
  readonly missingUntil: number | undefined;
  /** What this instance has given to the server. */
  readonly own: Load;
  /** Share of recent requests that failed, as of `outcomeAt`. */
  readonly failureRate: number;
  readonly outcomeAt: number;
  /** Mean duration of whole answers. */
  readonly durationMs: number;
}

export function serverState(entry: ListedServer): ServerState {
  return {
    listed: entry,
    life: Symbol(entry.id),
    health: { kind: 'up' },
    missingUntil: undefined,
    own: NO_LOAD,
    failureRate: 0,
    outcomeAt: 0,
    durationMs: FIRST_DURATION_MS,
  };
}

/** Whether two entries are of the same life of a process. */
export function sameLife(left: ListedServer, right: ListedServer): boolean {
  return left.startedAt === right.startedAt && left.address === right.address;
}

/** Takes a newer entry; a server that has started again knows nothing of before. */
export function listed(state: ServerState, entry: ListedServer): ServerState {
  if (entry.startedAt < state.listed.startedAt) return state;
  if (!sameLife(state.listed, entry)) return serverState(entry);
  // A server that leaves doesn't come back in the same life.
  const kept = state.listed.state === 'leaving' ? 'leaving' : entry.state;
  return { ...state, listed: { ...entry, state: kept }, missingUntil: undefined };
}

export function failureRate(state: ServerState, now: number): number {
  const age = Math.max(0, now - state.outcomeAt);
  return state.failureRate * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
}

/** Takes the outcome of one request. */
export function outcome(
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
    durationMs: durationMs === undefined ? state.durationMs
      : state.durationMs + OUTCOME_WEIGHT * (durationMs - state.durationMs),
  };
}

export function suspected(state: ServerState, reason: string, now: number): ServerState {
  if (state.health.kind === 'suspect') return state;
  return { ...state, health: { kind: 'suspect', since: now, reason } };
}

export function reached(state: ServerState): ServerState {
  return state.health.kind === 'up' ? state : { ...state, health: { kind: 'up' } };
}

/** Whether the server may be given something new. */
export function usable(state: ServerState, now: number): boolean {
  return state.listed.state === 'ready' && state.health.kind === 'up'
    && (state.missingUntil === undefined || now < state.missingUntil);
}
