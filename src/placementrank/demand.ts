/**
 * The recent demand of one priority rank for the room of a service's engines: how often its
 * requests arrive, how much room each takes, how long, and how much the rank holds now. Pure
 * functions over immutable state; it ages out by itself.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Long enough to see a rank that sends a request every few seconds, a few runs in length. */
const WINDOW_MS = 20_000;
/** The largest requests are rare: one in some ten is near the limit of a rank's prompts. */
const LARGE_WINDOW_MS = 120_000;
/** Fewer recent arrivals than these are no demand: one request counts for 14 seconds. */
const LEAST_ARRIVALS = 0.5;
/** Weight of the newest run in the mean time in the engine. */
const HELD_WEIGHT = 0.1;
/** Time in the engine assumed before a run has ended: the prefill of a prompt and some output. */
const INITIAL_HELD_MS = 8_000;

/** What one instance, or all instances together, have seen of a rank. 0 is the most urgent. */
export interface RankDemand {
  readonly rank: number;
  readonly perSecond: number;
  /** Room of a request of the rank, in tokens of memory: the mean, and that of the largest. */
  readonly meanTokens: number;
  readonly largeTokens: number;
  /** Mean time that a run is in the engine. */
  readonly heldMs: number;
  /** Room that runs of the rank hold now, in tokens of memory. */
  readonly usedTokens: number;
}

export interface Seen {
  /** Arrivals and their tokens, each weighted by its age as of `at`. */
  readonly arrivals: number;
  readonly tokens: number;
  /** The largest request, decaying. */
  readonly largeTokens: number;
  readonly at: number;
  readonly heldMs: number | undefined;
  readonly usedTokens: number;
}

export const NOTHING_SEEN: Seen = {
  arrivals: 0, tokens: 0, largeTokens: 0, at: 0, heldMs: undefined, usedTokens: 0,
};

function aged(seen: Seen, now: number): Seen {
  const ageMs = Math.max(0, now - seen.at);
  const share = Math.exp(-ageMs / WINDOW_MS);
  return {
    ...seen,
    arrivals: seen.arrivals * share,
    tokens: seen.tokens * share,
    largeTokens: seen.largeTokens * Math.exp(-ageMs / LARGE_WINDOW_MS),
    at: Math.max(now, seen.at),
  };
}

/** Counts a request that needs room for `tokens`. */
export function withArrival(seen: Seen, tokens: number, now: number): Seen {
  const before = aged(seen, now);
  return {
    ...before,
    arrivals: before.arrivals + 1,
    tokens: before.tokens + tokens,
    largeTokens: Math.max(before.largeTokens, tokens),
  };
}

/** Counts room that a run takes, or gives back if negative. */
export function withUse(seen: Seen, tokens: number): Seen {
  return { ...seen, usedTokens: Math.max(0, seen.usedTokens + tokens) };
}

/** Counts the time that a run was in its engine. */
export function withHeld(seen: Seen, ms: number): Seen {
  const { heldMs } = seen;
  return { ...seen, heldMs: heldMs === undefined ? ms : heldMs + HELD_WEIGHT * (ms - heldMs) };
}

/** The demand as of now; undefined if there was none lately and nothing is held. */
export function demandOf(rank: number, seen: Seen, now: number): RankDemand | undefined {
  const {
    arrivals, tokens, largeTokens, heldMs, usedTokens,
  } = aged(seen, now);
  const isRecent = arrivals >= LEAST_ARRIVALS;
  if (!isRecent && usedTokens === 0) return undefined;
  const meanTokens = arrivals > 0 ? tokens / arrivals : 0;
  return {
    rank,
    perSecond: isRecent ? (arrivals * MILLISECONDS_PER_SECOND) / WINDOW_MS : 0,
    meanTokens,
    largeTokens: Math.max(largeTokens, meanTokens),
    heldMs: heldMs ?? INITIAL_HELD_MS,
    usedTokens,
  };
}

/** What several demands of the same or different ranks are together, under the given rank. */
export function sumOf(rank: number, demands: readonly RankDemand[]): RankDemand {
  const sum = (value: (demand: RankDemand) => number) => (
    demands.reduce((total, demand) => total + value(demand), 0));
  const perSecond = sum((demand) => demand.perSecond);
  const weighted = (value: (demand: RankDemand) => number) => (
    perSecond > 0 ? sum((demand) => demand.perSecond * value(demand)) / perSecond : 0);
  return {
    rank,
    perSecond,
    meanTokens: weighted(({ meanTokens }) => meanTokens),
    largeTokens: Math.max(0, ...demands.filter((demand) => demand.perSecond > 0)
      .map(({ largeTokens }) => largeTokens)),
    heldMs: weighted(({ heldMs }) => heldMs),
    usedTokens: sum(({ usedTokens }) => usedTokens),
  };
}

/** Demands of several instances, summed by rank. */
export function sumByRank(demands: readonly RankDemand[]): readonly RankDemand[] {
  const byRank = new Map<number, RankDemand[]>();
  demands.forEach((demand) => {
    byRank.set(demand.rank, [...byRank.get(demand.rank) ?? [], demand]);
  });
  return [...byRank].map(([rank, same]) => sumOf(rank, same));
}
