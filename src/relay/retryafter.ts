/**
 * When callers that found no engine with room are told to come back: as room comes free, one after
 * the other. Runs that ended lately tell how fast that is. It answers bursts: told to come back
 * together and soon, most callers would find the room taken by the first of them, or none.
 */
import { since } from '../limits/retrywindow.js';

/** Runs that ended within this time tell how fast room comes free: about as long as a run takes. */
const WINDOW_MS = 8_000;
/** No caller is told to come back sooner: about the time that a prompt takes to be read. */
const LEAST_MS = 1_000;
/** Nor later: a third of the time that generations have, past which callers don't wait. */
const MOST_MS = 8_000;

export interface Returns {
  /** When runs of this instance ended, oldest first. */
  readonly ends: readonly number[];
  /** When the caller that was told last may come back. */
  readonly promisedAt: number;
}

export const NO_RETURNS: Returns = { ends: [], promisedAt: 0 };

/** Notes that a run has ended. */
export function runEnded({ ends, promisedAt }: Returns, now: number): Returns {
  return { ends: [...since(ends, now - WINDOW_MS), now], promisedAt };
}

/** The time in which room for one more run comes free. */
function intervalMs({ ends }: Returns, now: number): number {
  const count = since(ends, now - WINDOW_MS).length;
  return count === 0 ? LEAST_MS : WINDOW_MS / count;
}

/** Promises the next caller a time to come back. */
export function nextReturn(
  returns: Returns,
  now: number,
): { readonly returns: Returns; readonly retryAfterMs: number } {
  const inTurn = Math.max(now + LEAST_MS, returns.promisedAt + intervalMs(returns, now));
  const promisedAt = Math.min(inTurn, now + MOST_MS);
  return { returns: { ...returns, promisedAt }, retryAfterMs: Math.ceil(promisedAt - now) };
}

/** The times of all services, of which an instance tells its own callers. */
export class ReturnTimes {
  readonly #services = new Map<string, Returns>();

  static of(): ReturnTimes {
    return new ReturnTimes();
  }

  ended(service: string, now: number): void {
    this.#services.set(service, runEnded(this.#of(service), now));
  }

  /** How soon the next caller of a service may come back. */
  next(service: string, now: number): number {
    const { returns, retryAfterMs } = nextReturn(this.#of(service), now);
    this.#services.set(service, returns);
    return retryAfterMs;
  }

  #of(service: string): Returns {
    return this.#services.get(service) ?? NO_RETURNS;
  }
}
