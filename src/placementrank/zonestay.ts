/**
 * Whether the requests of a service stay in this instance's availability zone, of which they leave
 * with an engine in another zone costs bytes between zones. They leave when the first event would
 * be later here by more than a margin, and come back when it would be later by less than a part of
 * it: with one threshold for both, each request that leaves would bring the next one back.
 */
import { LRUCache } from 'lru-cache';

/** Part of the margin below which requests come back. */
const RETURN_SHARE = 0.2;
/** A configuration has far fewer services; one that is forgotten stays in its zone. */
const MAX_SERVICES = 256;

export type Stay = 'here' | 'anywhere';

/** Expected times to a request's first event; infinite where no engine has room. */
export interface ZoneTimes {
  readonly hereMs: number;
  readonly bestMs: number;
}

export function nextStay(stay: Stay, { hereMs, bestMs }: ZoneTimes, marginMs: number): Stay {
  // With room nowhere nothing is known of either.
  if (!Number.isFinite(bestMs)) return stay;
  const laterMs = hereMs - bestMs;
  switch (stay) {
    case 'here': return laterMs > marginMs ? 'anywhere' : 'here';
    case 'anywhere': return laterMs < marginMs * RETURN_SHARE ? 'here' : 'anywhere';
  }
}

export class ZoneStays {
  /** Share of a route's objective that its first event may be later for staying; 0 for none. */
  readonly #marginShare: number;

  readonly #stays = new LRUCache<string, Stay>({ max: MAX_SERVICES });

  private constructor(marginShare: number) {
    this.#marginShare = marginShare;
  }

  static of(marginShare: number): ZoneStays {
    return new ZoneStays(marginShare);
  }

  get isOn(): boolean {
    return this.#marginShare > 0;
  }

  /** Where the next request goes, and whether that differs from where the last one did. */
  next(
    service: string,
    times: ZoneTimes,
    objectiveMs: number,
  ): { readonly stay: Stay; readonly changed: boolean } {
    const last = this.#stays.get(service) ?? 'here';
    const stay = nextStay(last, times, objectiveMs * this.#marginShare);
    this.#stays.set(service, stay);
    return { stay, changed: stay !== last };
  }
}
