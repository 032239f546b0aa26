/**
 * The retry budget of a pool, which limits how many requests may be restarted at position 0 on
 * another server. Each first attempt earns a fraction of a retry, and a low rate is always granted,
 * so that retries can't multiply the load of a failing pool. Resumes of partly delivered answers
 * aren't charged: they wait for free slots, ahead of new requests.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Rate granted regardless of the pool's traffic. */
const MIN_RETRIES_PER_SECOND = 1;
const MAX_BALANCE = 50;
const INITIAL_BALANCE = 5;

export interface RetryBudget {
  /** Number of retries available; a retry costs 1. */
  readonly balance: number;
  readonly updatedAt: number;
}

export function retryBudget(now: number): RetryBudget {
  return { balance: INITIAL_BALANCE, updatedAt: now };
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

/** Charges a retry; retries that were queued at the same time may overdraw the budget. */
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
