/**
 * Computes the Retry-After of callers that found no engine with capacity. Their retries are
 * scheduled one after another, at the rate at which capacity is freed, which recently ended runs
 * give. This spreads out bursts: if all callers retried together and soon, most would find no
 * capacity freed yet, or all of it taken by the first of them.
 */
import { LRUCache } from 'lru-cache';
import { since } from '../limits/retrywindow.js';
import type { Call } from './call.js';

/** Window of the ended runs that give the rate: about the duration of a run. */
const WINDOW_MS = 8_000;
/** Lower limit of the delay: about the prefill time of a prompt. */
const MIN_DELAY_MS = 1_000;
/** Upper limit: a third of the time limit of generations; callers don't wait longer. */
const MAX_DELAY_MS = 8_000;

export interface RetrySchedule {
  /** When runs of this instance ended, oldest first. */
  readonly ends: readonly number[];
  /** The time at which the last refused caller may retry. */
  readonly lastRetryAt: number;
}

export const EMPTY_SCHEDULE: RetrySchedule = { ends: [], lastRetryAt: 0 };

/** Records that a run has ended. */
export function recordRunEnd(
  { ends, lastRetryAt }: RetrySchedule,
  now: number,
): RetrySchedule {
  return { ends: [...since(ends, now - WINDOW_MS), now], lastRetryAt };
}

/** Mean time between ended runs, each of which frees capacity for another. */
function intervalMs({ ends }: RetrySchedule, now: number): number {
  const count = since(ends, now - WINDOW_MS).length;
  return count === 0 ? MIN_DELAY_MS : WINDOW_MS / count;
}

/** Schedules the retry of the next caller. */
export function nextRetryAfter(
  schedule: RetrySchedule,
  now: number,
): { readonly schedule: RetrySchedule; readonly retryAfterMs: number } {
  const retryAt = Math.max(now + MIN_DELAY_MS, schedule.lastRetryAt + intervalMs(schedule, now));
  const lastRetryAt = Math.min(retryAt, now + MAX_DELAY_MS);
  return { schedule: { ...schedule, lastRetryAt }, retryAfterMs: Math.ceil(lastRetryAt - now) };
}

/** Schedules that are kept; one that has not been used for long is empty anyway. */
const MAX_SCHEDULES = 1_024;

/** When the last refused caller of the rank or a more urgent one may retry. */
function lastUpTo(retries: readonly number[], rank: number): number {
  return Math.max(0, ...retries.slice(0, rank + 1));
}

/** The schedule of the callers of one workspace, who wait for its own runs to end. */
export function scheduleOf(service: string, workspace: string): string {
  return `${service}\n${workspace}`;
}

/** When the last refused caller of each priority rank may retry, by rank. */
type RankedRetries = readonly number[];

/**
 * The retry schedules of services, and of workspaces there, for the callers of this instance. A
 * caller comes back after those of its own and more urgent ranks, whatever less urgent ones wait
 * for: ranks are refused and come back in the order in which they find room.
 */
export class RetrySchedules {
  readonly #services = new LRUCache<string, RetrySchedule>({ max: MAX_SCHEDULES });

  readonly #ranked = new LRUCache<string, RankedRetries>({ max: MAX_SCHEDULES });

  static of(): RetrySchedules {
    return new RetrySchedules();
  }

  /** Records that a run of a call has ended. */
  runEnded(
    { service: { name }, workspace }: Pick<Call, 'service' | 'workspace'>,
    now: number,
  ): void {
    const schedules = workspace ? [name, scheduleOf(name, workspace.name)] : [name];
    schedules.forEach((key) => this.#services.set(key, recordRunEnd(this.#of(key), now)));
  }

  /**
   * Delay until the next caller of a service may retry, in milliseconds.
   *
   * @param rank its priority rank; 0 is the most urgent
   */
  next(service: string, now: number, rank = 0): number {
    const retries = this.#ranked.get(service) ?? [];
    const schedule = { ...this.#of(service), lastRetryAt: lastUpTo(retries, rank) };
    const next = nextRetryAfter(schedule, now);
    const length = Math.max(retries.length, rank + 1);
    this.#ranked.set(service, Array.from({ length }, (_, index) => (
      index === rank ? next.schedule.lastRetryAt : retries[index] ?? 0)));
    return next.retryAfterMs;
  }

  #of(service: string): RetrySchedule {
    return this.#services.get(service) ?? EMPTY_SCHEDULE;
  }
}
