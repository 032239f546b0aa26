/**
 * This instance's view of one backend server: its entry in the store, whether it can be reached,
 * and the load assigned to it. The state is immutable; each function returns the next state.
 */
import type { LogFields } from '../common/log.js';
import { isUnknownSoftware } from './release.js';
import type { ServerEntry } from './serverentry.js';

/** Half-life of the failure rate, so that a partly failing server is retried within seconds. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Weight of the newest outcome in the moving averages of failure rate and duration. */
const OUTCOME_WEIGHT = 0.3;
/** Duration assumed for a server that has not answered yet. */
const INITIAL_DURATION_MS = 20;

/** `suspect` servers get no new requests until they accept a connection again. */
export type Health =
  | { readonly kind: 'up' }
  | { readonly kind: 'suspect'; readonly since: number; readonly reason: string };

/** Load on an engine, in runs and tokens. */
export interface Load {
  readonly running: number;
  /** Prompt tokens not prefilled yet. */
  readonly prefillTokens: number;
  /** Memory that the running requests take when complete, in tokens. */
  readonly memoryTokens: number;
  /** Memory for standby copies of other engines' runs, in tokens. */
  readonly standby: number;
}

export const NO_LOAD: Load = {
  running: 0, prefillTokens: 0, memoryTokens: 0, standby: 0,
};

export function addLoad(left: Load, right: Load): Load {
  return {
    running: left.running + right.running,
    prefillTokens: left.prefillTokens + right.prefillTokens,
    memoryTokens: left.memoryTokens + right.memoryTokens,
    standby: left.standby + right.standby,
  };
}

export function negateLoad(load: Load): Load {
  return {
    running: -load.running,
    prefillTokens: -load.prefillTokens,
    memoryTokens: -load.memoryTokens,
    standby: -load.standby,
  };
}

export interface ServerState {
  readonly entry: ServerEntry;
  /** Where the entry came from (the store, a health check or another instance), and when. */
  readonly listed: { readonly from: string; readonly at: number };
  /** Tells restarts apart: load assigned to an earlier incarnation doesn't count for a later. */
  readonly incarnation: symbol;
  readonly health: Health;
  /** When the server was last found unreachable; undefined if it never was. */
  readonly lostAt: number | undefined;
  /** When a server whose entry is missing counts as gone; undefined while the entry exists. */
  readonly expiresAt: number | undefined;
  /** Load that this instance has assigned to the server. */
  readonly ownLoad: Load;
  /** Share of recent requests that failed, as of `outcomeAt`. */
  readonly failureRate: number;
  readonly outcomeAt: number;
  /** Mean duration of complete responses. */
  readonly meanDurationMs: number;
}

export function serverState(entry: ServerEntry, listed = { from: 'store', at: 0 }): ServerState {
  return {
    entry,
    listed,
    incarnation: Symbol(entry.id),
    health: { kind: 'up' },
    lostAt: undefined,
    expiresAt: undefined,
    ownLoad: NO_LOAD,
    failureRate: 0,
    outcomeAt: 0,
    meanDurationMs: INITIAL_DURATION_MS,
  };
}

/** Log fields of a server whose entry was read. */
export function listedFields({ entry, listed }: ServerState): LogFields {
  const {
    id, service, address, zone, software, state, startedAt,
  } = entry;
  return {
    server: id,
    service,
    address,
    zone,
    software,
    state,
    started_at: startedAt,
    from: listed.from,
  };
}

/** Whether two entries describe the same process of a server, whose software may be unknown. */
export function sameProcess(left: ServerEntry, right: ServerEntry): boolean {
  return left.startedAt === right.startedAt && left.address === right.address
    && (left.software === right.software || [left, right].some(isUnknownSoftware));
}

/** Applies a newer entry; a restarted server begins with a fresh state. */
export function withEntry(
  state: ServerState,
  entry: ServerEntry,
  listed = state.listed,
): ServerState {
  if (entry.startedAt < state.entry.startedAt) return state;
  if (!sameProcess(state.entry, entry)) return serverState(entry, listed);
  // A leaving server never becomes ready again without a restart.
  const entryState = state.entry.state === 'leaving' ? 'leaving' : entry.state;
  return {
    ...state, entry: { ...entry, state: entryState }, listed, expiresAt: undefined,
  };
}

export function failureRate(state: ServerState, now: number): number {
  const age = Math.max(0, now - state.outcomeAt);
  return state.failureRate * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
}

/** Updates the moving averages with the outcome of one request. */
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
  return { ...state, health: { kind: 'suspect', since: now, reason }, lostAt: now };
}

export function markReached(state: ServerState): ServerState {
  return state.health.kind === 'up' ? state : { ...state, health: { kind: 'up' } };
}

/** Whether the server may be assigned new requests. */
export function isUsable(state: ServerState, now: number): boolean {
  return state.entry.state === 'ready' && state.health.kind === 'up'
    && (state.expiresAt === undefined || now < state.expiresAt);
}
