/**
 * How much room on engines each workspace uses, at this instance and, as they tell it, at the
 * others, and whether a workspace may begin another run.
 */
import { LRUCache } from 'lru-cache';
import { shareOf } from '../limits/workspaceshare.js';
import type { Share } from '../limits/workspaceshare.js';
import { OwnPart } from '../placementrank/ownpart.js';
import { Ranks } from '../placementrank/ranks.js';
import type { RankReport } from '../placementrank/ranks.js';

/** Room that a workspace uses at the engines of a service, in tokens of memory. */
export interface UseReport {
  readonly service: string;
  readonly workspace: string;
  readonly tokens: number;
}

/** Workspaces and services of which this instance has runs at once. */
const MAX_TRACKED = 4_096;

export interface RoomDemand {
  readonly service: string;
  readonly workspace: string;
  /** Room for the run and its standby copy. */
  readonly tokens: number;
  /** Room of all engines of the service that can be used. */
  readonly capacity: number;
  /** Room in use at these engines, as far as this instance knows. */
  readonly inUse: number;
}

export class WorkspaceUses {
  readonly #own = new LRUCache<string, UseReport>({ max: MAX_TRACKED });

  /** What the other live instances have told last. */
  readonly #others: () => readonly UseReport[];

  /** Demand by priority rank, of all workspaces together. */
  readonly ranks: Ranks;

  /** What this instance may use while it hears of no other. */
  readonly ownPart = OwnPart.of();

  private constructor(
    others: () => readonly UseReport[],
    otherRanks: () => readonly RankReport[],
  ) {
    this.#others = others;
    this.ranks = Ranks.of(otherRanks);
  }

  static of(
    others: () => readonly UseReport[],
    otherRanks: () => readonly RankReport[],
  ): WorkspaceUses {
    return new WorkspaceUses(others, otherRanks);
  }

  /** Counts room as used until the returned function is called. */
  take(service: string, workspace: string, tokens: number): () => void {
    this.#add(service, workspace, tokens);
    let isTaken = true;
    return () => {
      if (isTaken) this.#add(service, workspace, -tokens);
      isTaken = false;
    };
  }

  #add(service: string, workspace: string, tokens: number): void {
    const key = `${service}\n${workspace}`;
    const sum = (this.#own.get(key)?.tokens ?? 0) + tokens;
    if (sum > 0) this.#own.set(key, { service, workspace, tokens: sum });
    else this.#own.delete(key);
  }

  /** What this instance tells the others, the largest uses first. */
  get reports(): readonly UseReport[] {
    return [...this.#own.values()].sort((left, right) => right.tokens - left.tokens);
  }

  /** The share of a workspace that wants to begin another run. */
  share({
    service, workspace, tokens, capacity, inUse,
  }: RoomDemand): Share {
    const use = new Map<string, number>();
    [...this.#own.values(), ...this.#others()].filter((report) => report.service === service)
      .forEach((report) => {
        use.set(report.workspace, (use.get(report.workspace) ?? 0) + report.tokens);
      });
    const known = [...use.values()].reduce((sum, used) => sum + used, 0);
    return shareOf(use, {
      workspace,
      tokens,
      capacity: capacity * this.ownPart.share,
      unknown: Math.max(0, inUse - known),
    });
  }
}
