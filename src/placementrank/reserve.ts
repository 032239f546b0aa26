/**
 * How much room is left free for requests of other ranks before one of a given rank is placed.
 *
 * For more urgent ranks this is trunk reservation. While requests are refused, each run that ends
 * refills the reserve first, and each urgent request takes a place of it. With the urgent offered
 * load `a` (arrivals a second times the time in the engine) and room for `c` of these requests,
 * runs end `c/a` times as fast as urgent ones arrive, so `k` places are all taken a share `(a/c)^k`
 * of the time. The reserve is the smallest `k` that brings this under the share of urgent requests
 * that may find no place. It is far smaller than the offered load: what urgent ranks use already
 * needs no reserve.
 *
 * For less urgent ranks with demand it is what they lack of a small fixed share of the room, so
 * that no rank is starved.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { sumOf } from './demand.js';
import type { RankDemand } from './demand.js';
import { totalPlaces } from './room.js';
import type { EngineRoom, KeptPlaces } from './room.js';

/** Share of the room that every rank with demand gets, whatever the others want. */
export const LEAST_SHARE = 0.05;
/** Share of urgent requests that may find no place; a retry finds one. */
const UNPLACED_SHARE = 0.02;
/** Above this the places that the formula gives grow without bound. */
const MAX_LOAD_SHARE = 0.8;
/** The reserve is never more of the room than this. */
const MAX_RESERVE_SHARE = 0.5;
/**
 * Age of what an instance knows of the others' assignments: half of the interval of messages and
 * their way. What the others place in this time takes places that this instance sees as free.
 */
const LOAD_AGE_MS = 100;
/** One in so many of the places kept is for the largest request: long prompts fail first. */
const LARGE_EVERY = 2;

export interface ReserveInput {
  readonly rank: number;
  /** Of all instances together, one entry for each rank. */
  readonly demands: readonly RankDemand[];
  /** Engines as if nothing ran on them. */
  readonly empty: readonly EngineRoom[];
  /** New runs a second of this and less urgent ranks at the other instances. */
  readonly othersPerSecond: number;
  /** Places that a run takes: two where engines keep standby copies. */
  readonly placesPerRun: number;
}

/** Requests of the rank that are in engines at once if all are served. */
function offered({ perSecond, heldMs }: RankDemand): number {
  return (perSecond * heldMs) / MILLISECONDS_PER_SECOND;
}

/** How many places a rank lacks of its least share. */
function lacking(demand: RankDemand, empty: readonly EngineRoom[]): number {
  if (demand.perSecond === 0) return 0;
  const least = Math.max(1, LEAST_SHARE * totalPlaces(empty, demand.meanTokens));
  const used = demand.usedTokens / Math.max(1, demand.meanTokens);
  return Math.max(0, Math.ceil(Math.min(least, Math.max(1, offered(demand))) - used));
}

/** Places for more urgent ranks. */
function urgentPlaces(
  {
    rank, demands, empty, othersPerSecond, placesPerRun,
  }: ReserveInput,
): readonly KeptPlaces[] {
  const urgent = sumOf(rank, demands.filter((demand) => demand.rank < rank));
  if (urgent.perSecond === 0) return [];
  const room = totalPlaces(empty, urgent.meanTokens);
  if (room === 0) return [];
  const loadShare = Math.min(MAX_LOAD_SHARE, (offered(urgent) * placesPerRun) / room);
  const places = (placesPerRun * Math.log(UNPLACED_SHARE)) / Math.log(loadShare);
  // Another instance's run counts as one place: its size is seldom that of an urgent one.
  const unseen = (othersPerSecond * LOAD_AGE_MS) / MILLISECONDS_PER_SECOND;
  // An engine alone may have room for one request only.
  const most = Math.max(room > 1 ? 1 : 0, Math.floor(room * MAX_RESERVE_SHARE));
  const count = Math.min(most, Math.ceil(places + unseen));
  const large = Math.min(
    Math.ceil(count / LARGE_EVERY),
    Math.floor(totalPlaces(empty, urgent.largeTokens) * MAX_RESERVE_SHARE),
  );
  return [
    { count, tokens: urgent.meanTokens },
    { count: large, tokens: urgent.largeTokens },
  ];
}

/** The places that a request of the rank has to leave free. */
export function reserveFor(input: ReserveInput): readonly KeptPlaces[] {
  const { rank, demands, empty } = input;
  const own = demands.find((demand) => demand.rank === rank);
  const isStarved = own !== undefined && lacking(own, empty) > 0;
  const urgent = isStarved ? [] : urgentPlaces(input);
  const starved = demands.filter((demand) => demand.rank > rank)
    .map((demand) => ({ count: lacking(demand, empty), tokens: demand.meanTokens }))
    .filter(({ count }) => count > 0);
  // What is free for one is not free for another at the same time.
  const [first] = urgent;
  return starved.length === 0 || !first ? [...urgent, ...starved] : [...urgent, {
    count: first.count + starved.reduce((sum, { count }) => sum + count, 0),
    tokens: Math.max(first.tokens, ...starved.map(({ tokens }) => tokens)),
  }];
}
