/** What other instances told of the pace of one service's servers. It loses weight with age. */
import { bandOf, decay } from './bands.js';
import type { Point } from './bands.js';
import type { PaceKind } from './observation.js';
import type { PaceReport } from './report.js';

/** Enough for 100 instances that each see 20 servers at two kinds and concurrencies. */
const MAX_REPORTS = 4_096;
/** A report with less weight changes no estimate. */
const MIN_WEIGHT = 0.05;
/** What one instance can have observed within some half-lives; more is not believed. */
const MAX_WEIGHT = 10_000;

interface Told {
  readonly report: PaceReport;
  /** Server, kind and band. */
  readonly cell: string;
  readonly at: number;
}

/** Weighted sums of reports. */
interface Cell {
  readonly server: string;
  readonly kind: PaceKind;
  weight: number;
  concurrency: number;
  level: number;
}

export class ToldPaces {
  readonly #told = new Map<string, Told>();

  static of(): ToldPaces {
    return new ToldPaces();
  }

  /** Replaces what the same instance told before, as its reports are totals. */
  adopt(report: PaceReport, from: string, now: number): void {
    const cell = `${report.server} ${report.kind} ${bandOf(report.concurrency)}`;
    const key = `${from} ${cell}`;
    this.#told.delete(key);
    this.#told.set(key, {
      report: { ...report, weight: Math.min(MAX_WEIGHT, report.weight) }, cell, at: now,
    });
    const [oldest] = this.#told.keys();
    if (this.#told.size > MAX_REPORTS && oldest !== undefined) this.#told.delete(oldest);
  }

  /**
   * By server, with the weight that age leaves; what has lost its weight is forgotten. Those at a
   * band are merged: there are thousands of reports where there are many instances.
   */
  points(
    startedAt: (server: string) => number | undefined,
    now: number,
  ): ReadonlyMap<string, readonly Point[]> {
    const cells = new Map<string, Cell>();
    let decayedAt = now;
    let left = 1;
    this.#told.forEach(({ report, cell: name, at }, key) => {
      const { server, kind } = report;
      // The reports of a message came at the same time.
      if (at !== decayedAt) left = decay(now - at);
      decayedAt = at;
      const weight = report.weight * left;
      if (weight < MIN_WEIGHT) this.#told.delete(key);
      if (weight < MIN_WEIGHT || startedAt(server) !== report.startedAt) return;
      const cell = cells.get(name) ?? {
        server, kind, weight: 0, concurrency: 0, level: 0,
      };
      cell.weight += weight;
      cell.concurrency += weight * report.concurrency;
      cell.level += weight * report.level;
      cells.set(name, cell);
    });
    const points = new Map<string, Point[]>();
    cells.forEach(({
      server, kind, weight, concurrency, level,
    }) => {
      const point = {
        kind, weight, concurrency: concurrency / weight, level: level / weight,
      };
      points.set(server, [...points.get(server) ?? [], point]);
    });
    return points;
  }
}
