/**
 * When callers that found no engine with room are told to come back: as room comes free, one after
 * the other. Runs that ended lately tell how fast that is. It answers bursts: told to come back
 * together and soon, most callers would find the room taken by the first of them, or none.
 */
import { since } from '../limits/retrywindow.js';

/** Runs that ended within this time tell how fast room comes free: about as long as a run takes. */
const WINDOW_MS = 8_000;
/** No caller is told to come back sooner: about the time that a prompt takes to be read. */
const MIN_DELAY_MS = 1_000;
/** Nor later: a third of the time that generations have, past which callers don't wait. */
const MAX_DELAY_MS = 8_000;

export interface RetrySchedule {
  /** When runs of this instance ended, oldest first. */
  readonly ends: readonly number[];
  /** When the caller that was told last may come back. */
  readonly lastRetryAt: number;
}

export const EMPTY_SCHEDULE: RetrySchedule = { ends: [], lastRetryAt: 0 };

/** Notes that a run has ended. */
export function recordRunEnd(
  { ends, lastRetryAt }: RetrySchedule,
  now: number,
): RetrySchedule {
  return { ends: [...since(ends, now - WINDOW_MS), now], lastRetryAt };
}

/** The time in which room for one more run comes free. */
function intervalMs({ ends }: RetrySchedule, now: number): number {
  const count = since(ends, now - WINDOW_MS).length;
  return count === 0 ? MIN_DELAY_MS : WINDOW_MS / count;
}

/** Promises the next caller a time to come back. */
export function nextRetryAfter(
  schedule: RetrySchedule,
  now: number,
): { readonly schedule: RetrySchedule; readonly retryAfterMs: number } {
  const inTurn = Math.max(now + MIN_DELAY_MS, schedule.lastRetryAt + intervalMs(schedule, now));
  const lastRetryAt = Math.min(inTurn, now + MAX_DELAY_MS);
  return { schedule: { ...schedule, lastRetryAt }, retryAfterMs: Math.ceil(lastRetryAt - now) };
}

/** The times of all services, of which an instance tells its own callers. */
export class RetrySchedules {
  readonly #services = new Map<string, RetrySchedule>();

  static of(): RetrySchedules {
    return new RetrySchedules();
  }

  ended(service: string, now: number): void {
    this.#services.set(service, recordRunEnd(this.#of(service), now));
  }

  /** How soon the next caller of a service may come back. */
  next(service: string, now: number): number {
    const { schedule, retryAfterMs } = nextRetryAfter(this.#of(service), now);
    this.#services.set(service, schedule);
    return retryAfterMs;
  }

  #of(service: string): RetrySchedule {
    return this.#services.get(service) ?? EMPTY_SCHEDULE;
  }
}
