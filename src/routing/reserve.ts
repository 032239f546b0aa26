/**
 * Places that lower classes leave free at each server of a pool, so that an interactive request
 * finds one. They follow the interactive requests that are in flight: their mean at a server, and
 * three times its deviation, since arrivals are random and reports lag.
 */
import type { BackendServer } from '../configuration/configuration.js';
import type { Priority } from '../common/priority.js';

/** How fast the mean follows. */
const AVERAGING_MS = 5_000;
/** Requests in flight per server that are assumed at first. */
const FIRST_MEAN = 0.5;
const DEVIATIONS = 3;
/** Places left whatever the traffic is. */
const MIN_RESERVED = 1;
const MAX_RESERVED_FRACTION = 0.5;

/** Interactive requests that this daemon has in flight in a pool, averaged over time. */
export interface InteractiveLoad {
  readonly inFlight: number;
  readonly mean: number;
  readonly updatedAt: number;
}

/** What is assumed of a pool of `servers` until its traffic is known. */
export function interactiveLoad(daemons: number, servers: number, now: number): InteractiveLoad {
  return { inFlight: 0, mean: (FIRST_MEAN * servers) / daemons, updatedAt: now };
}

/** Brings the mean up to now, then adds `change` to what is in flight. */
export function interactiveChanged(
  { inFlight, mean, updatedAt }: InteractiveLoad,
  change: number,
  now: number,
): InteractiveLoad {
  const kept = Math.exp((updatedAt - now) / AVERAGING_MS);
  return {
    inFlight: Math.max(0, inFlight + change),
    mean: inFlight + (mean - inFlight) * kept,
    updatedAt: now,
  };
}

/** The mean number of interactive requests in flight at one server, by this daemon's part. */
export function perServer(
  load: InteractiveLoad,
  daemons: number,
  servers: number,
  now: number,
): number {
  const { mean } = interactiveChanged(load, 0, now);
  return (mean * daemons) / Math.max(1, servers);
}

/** Requests that a class may have in flight at a server. */
export function capacityFor(
  priority: Priority,
  slots: number,
  interactivePerServer: number,
): number {
  if (priority === 'interactive') return slots;
  const wanted = MIN_RESERVED + interactivePerServer + DEVIATIONS * Math.sqrt(interactivePerServer);
  const reserved = Math.min(Math.ceil(wanted), Math.floor(slots * MAX_RESERVED_FRACTION));
  return slots - (priority === 'batch' ? reserved : Math.ceil(reserved / 2));
}

/** The interactive loads of all pools. */
export class InteractiveLoads {
  readonly #loads = new Map<string, InteractiveLoad>();

  readonly #sizes = new Map<string, number>();

  private constructor() {
    // Pools are known once a configuration is.
  }

  static of(): InteractiveLoads {
    return new InteractiveLoads();
  }

  /** Counts the servers of each pool. */
  configured(servers: readonly BackendServer[]): void {
    this.#sizes.clear();
    servers.filter(({ drained }) => !drained).forEach(({ pool }) => {
      this.#sizes.set(pool, this.#size(pool, 0) + 1);
    });
  }

  /** Notes that an interactive request began or ended in a pool. */
  changed(pool: string, change: 1 | -1, daemons: number, now: number): void {
    this.#loads.set(pool, interactiveChanged(this.#load(pool, daemons, now), change, now));
  }

  /** The requests per server by pool, worked out once for each pool that is asked for. */
  perServer(daemons: number, now: number): (pool: string) => number {
    const known = new Map<string, number>();
    return (pool) => {
      const value = known.get(pool)
        ?? perServer(this.#load(pool, daemons, now), daemons, this.#size(pool), now);
      known.set(pool, value);
      return value;
    };
  }

  #size(pool: string, otherwise = 1): number {
    return this.#sizes.get(pool) ?? otherwise;
  }

  #load(pool: string, daemons: number, now: number): InteractiveLoad {
    const known = this.#loads.get(pool);
    if (known) return known;
    const load = interactiveLoad(daemons, this.#size(pool), now);
    this.#loads.set(pool, load);
    return load;
  }
}
