/**
 * Moving averages of the time that answered requests occupied a server, per workspace and class.
 * The queue uses them as costs, so that a few long generations count as much as many short ones.
 */
import type { Priority } from '../common/priority.js';

const INITIAL_ESTIMATE_MS = 1_000;
const NEWEST_WEIGHT = 0.1;
const MIN_MS = 1;

export class HoldTimes {
  readonly #means = new Map<string, number>();

  private constructor() {
    // Nothing is known yet.
  }

  static of(): HoldTimes {
    return new HoldTimes();
  }

  /** Expected duration of the workspace's next request of the class, in milliseconds. */
  expected(workspace: string, priority: Priority): number {
    return this.#means.get(`${priority} ${workspace}`) ?? INITIAL_ESTIMATE_MS;
  }

  observe(workspace: string, priority: Priority, heldMs: number): void {
    const mean = this.expected(workspace, priority);
    const next = mean + (heldMs - mean) * NEWEST_WEIGHT;
    this.#means.set(`${priority} ${workspace}`, Math.max(MIN_MS, next));
  }
}
