/**
 * The retry budget of one pool: how many requests may be begun again at position 0 on another
 * server. First attempts earn a fraction of a retry each, and a small rate is always granted, so
 * that retries can't multiply the load of a pool that fails. Resumes of answers in progress don't
 * draw on it: they wait ahead of new work for the places that are free.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Granted whatever the pool's traffic is. */
const MIN_RETRIES_PER_SECOND = 1;
const MAX_BALANCE = 50;
const FIRST_BALANCE = 5;

export interface RetryBudget {
  /** Retries that may be made now; whole ones are spent. */
  readonly balance: number;
  readonly updatedAt: number;
}

export function retryBudget(now: number): RetryBudget {
  return { balance: FIRST_BALANCE, updatedAt: now };
}

function refilled({ balance, updatedAt }: RetryBudget, now: number): RetryBudget {
  const granted = ((now - updatedAt) / MILLISECONDS_PER_SECOND) * MIN_RETRIES_PER_SECOND;
  return { balance: Math.min(MAX_BALANCE, balance + granted), updatedAt: now };
}

/** Earns `ratio` of a retry for a first attempt. */
export function earn(budget: RetryBudget, ratio: number, now: number): RetryBudget {
  const { balance } = refilled(budget, now);
  return { balance: Math.min(MAX_BALANCE, balance + ratio), updatedAt: now };
}

/** Whether a retry may be made now. */
export function mayRetry(budget: RetryBudget, now: number): boolean {
  return refilled(budget, now).balance >= 1;
}

/** The budget after one retry; those that waited for a server together may overdraw it. */
export function spend(budget: RetryBudget, now: number): RetryBudget {
  const { balance } = refilled(budget, now);
  return { balance: balance - 1, updatedAt: now };
}

/** The retry budgets of all pools. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  private constructor() {
    // Budgets begin when their pool is first used.
  }

  static of(): RetryBudgets {
    return new RetryBudgets();
  }

  earn(pool: string, ratio: number, now: number): void {
    this.#budgets.set(pool, earn(this.#budget(pool, now), ratio, now));
  }

  spend(pool: string, now: number): void {
    this.#budgets.set(pool, spend(this.#budget(pool, now), now));
  }

  mayRetry(pool: string, now: number): boolean {
    return mayRetry(this.#budget(pool, now), now);
  }

  #budget(pool: string, now: number): RetryBudget {
    return this.#budgets.get(pool) ?? retryBudget(now);
  }
}
