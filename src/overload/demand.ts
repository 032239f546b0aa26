/** The work that callers ask for, by priority rank and workspace, and the work that was done. */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Long enough to smooth arrivals one by one, short enough to notice the end of a wave. */
const DECAY_MS = 1_500;
/** Ranks times workspaces that are kept; those with the least demand are dropped. */
const MAX_CLASSES = 512;
/** Demand below this is forgotten, in units a second. */
const NEGLIGIBLE = 0.005;

/** A sum that decays, whose value is a rate per second. */
export interface DecayedRate { readonly perSecond: number; readonly at: number }

export const NO_RATE: DecayedRate = { perSecond: 0, at: 0 };

export function rateAt({ perSecond, at }: DecayedRate, now: number): number {
  return perSecond * Math.exp(-Math.max(0, now - at) / DECAY_MS);
}

export function withUnits(rate: DecayedRate, units: number, now: number): DecayedRate {
  const added = (units * MILLISECONDS_PER_SECOND) / DECAY_MS;
  return { perSecond: rateAt(rate, now) + added, at: now };
}

/** Requests of one workspace with one rank are admitted or refused together. */
export interface DemandClass {
  readonly rank: number;
  readonly workspace: string;
  /** Units of work a second. */
  readonly perSecond: number;
}

interface StoredClass extends DemandClass, DecayedRate {}

/** Collects the demand of the last seconds. */
export class Demand {
  readonly #classes = new Map<string, StoredClass>();

  static of(): Demand {
    return new Demand();
  }

  add(rank: number, workspace: string, units: number, now: number): void {
    const key = `${rank} ${workspace}`;
    const known = this.#classes.get(key) ?? NO_RATE;
    this.#classes.set(key, { rank, workspace, ...withUnits(known, units, now) });
    if (this.#classes.size > MAX_CLASSES) this.#dropLeast(now);
  }

  /** The classes with demand, in no order. */
  classes(now: number): readonly DemandClass[] {
    return [...this.#classes].flatMap(([key, stored]) => {
      const perSecond = rateAt(stored, now);
      if (perSecond < NEGLIGIBLE) {
        this.#classes.delete(key);
        return [];
      }
      return [{ rank: stored.rank, workspace: stored.workspace, perSecond }];
    });
  }

  #dropLeast(now: number): void {
    let least: string | undefined;
    let lowest = Infinity;
    this.#classes.forEach((stored, key) => {
      const rate = rateAt(stored, now);
      if (rate >= lowest) return;
      lowest = rate;
      least = key;
    });
    if (least !== undefined) this.#classes.delete(least);
  }
}
