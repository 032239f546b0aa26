/**
 * What this instance and the others have seen of each rank's demand for engines, by service, and
 * the places that a request has to leave free for other ranks.
 */
import { LRUCache } from 'lru-cache';
import {
  demandOf, NOTHING_SEEN, sumByRank, withArrival, withHeld, withUse,
} from './demand.js';
import type { RankDemand, Seen } from './demand.js';
import { reserveFor } from './reserve.js';
import type { EngineRoom, KeptPlaces } from './room.js';

/** What an instance tells of a rank; its `usedTokens` are those of its own runs. */
export interface RankReport extends RankDemand { readonly service: string }

/** A configuration has few services with engines, and there are ten ranks. */
const MAX_TRACKED = 1_024;

interface Entry {
  readonly service: string;
  readonly rank: number;
  readonly seen: Seen;
}

export class Ranks {
  readonly #own = new LRUCache<string, Entry>({ max: MAX_TRACKED });

  /** What the other live instances have told last. */
  readonly #others: () => readonly RankReport[];

  /** Requests that have been counted. */
  readonly #counted = new WeakSet<object>();

  private constructor(others: () => readonly RankReport[]) {
    this.#others = others;
  }

  static of(others: () => readonly RankReport[]): Ranks {
    return new Ranks(others);
  }

  #change(service: string, rank: number, change: (seen: Seen) => Seen): void {
    const key = `${service}\n${rank}`;
    const seen = change(this.#own.get(key)?.seen ?? NOTHING_SEEN);
    this.#own.set(key, { service, rank, seen });
  }

  /** Counts a request once, however often engines are sought for it. */
  arrived(request: object, service: string, rank: number, tokens: number, now: number): void {
    if (this.#counted.has(request)) return;
    this.#counted.add(request);
    this.#change(service, rank, (seen) => withArrival(seen, tokens, now));
  }

  /** Counts room as held until the returned function is called. */
  take(service: string, rank: number, tokens: number, now: number): (endedAt: number) => void {
    this.#change(service, rank, (seen) => withUse(seen, tokens));
    let isTaken = true;
    return (endedAt) => {
      if (!isTaken) return;
      isTaken = false;
      this.#change(service, rank, (seen) => withHeld(withUse(seen, -tokens), endedAt - now));
    };
  }

  /** What this instance tells the others, the most urgent ranks first. */
  reports(now: number): readonly RankReport[] {
    return [...this.#own.values()].flatMap(({ service, rank, seen }) => {
      const demand = demandOf(rank, seen, now);
      return demand ? [{ service, ...demand }] : [];
    }).sort((left, right) => left.rank - right.rank);
  }

  /** Room that comes free in a millisecond as runs of all instances end. */
  freedTokensPerMs(service: string, now: number): number {
    return sumByRank([...this.reports(now), ...this.#others()]
      .filter((report) => report.service === service))
      .reduce((sum, { usedTokens, heldMs }) => sum + usedTokens / Math.max(1, heldMs), 0);
  }

  /**
   * The places that a new request of the rank has to leave free for other ranks.
   *
   * @param empty the engines as if nothing ran on them
   * @param placesPerRun two where engines keep standby copies
   */
  reserve(
    service: string,
    rank: number,
    empty: readonly EngineRoom[],
    placesPerRun: number,
    now: number,
  ): readonly KeptPlaces[] {
    const others = this.#others().filter((report) => report.service === service);
    const own = this.reports(now).filter((report) => report.service === service);
    const othersPerSecond = others.filter((report) => report.rank >= rank)
      .reduce((sum, { perSecond }) => sum + perSecond, 0);
    return reserveFor({
      rank, demands: sumByRank([...own, ...others]), empty, othersPerSecond, placesPerRun,
    });
  }
}
