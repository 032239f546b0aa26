/**
 * Reserves slots at each server of a pool for interactive requests: lower classes leave them free.
 * The reserve is the mean number of interactive requests in flight at a server plus three standard
 * deviations (Poisson), since arrivals are random and load reports lag.
 */
import type { BackendServer } from '../configuration/configuration.js';
import type { Priority } from '../common/priority.js';

/** Time constant of the moving average. */
const AVERAGING_MS = 5_000;
/** Interactive requests in flight per server, assumed before any traffic is seen. */
const INITIAL_MEAN = 0.5;
const DEVIATIONS = 3;
/** Slots reserved regardless of traffic. */
const MIN_RESERVED = 1;
/** Largest fraction of a server's slots that is reserved. */
const MAX_RESERVED_FRACTION = 0.5;

/** The interactive requests that this daemon has in flight in a pool, and their moving average. */
export interface InteractiveLoad {
  readonly inFlight: number;
  readonly mean: number;
  readonly updatedAt: number;
}

/** The load assumed for a pool of `servers` servers before any traffic is seen. */
export function interactiveLoad(daemons: number, servers: number, now: number): InteractiveLoad {
  return { inFlight: 0, mean: (INITIAL_MEAN * servers) / daemons, updatedAt: now };
}

/** Updates the mean to `now`, then adds `change` to the requests in flight. */
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

/** Mean interactive requests in flight per server, extrapolated from this daemon to all. */
export function perServer(
  load: InteractiveLoad,
  daemons: number,
  servers: number,
  now: number,
): number {
  const { mean } = interactiveChanged(load, 0, now);
  return (mean * daemons) / Math.max(1, servers);
}

/** The number of requests in flight at a server up to which a class may add more. */
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

  /** Counts the servers of each pool that aren't drained. */
  configured(servers: readonly BackendServer[]): void {
    this.#sizes.clear();
    servers.filter(({ drained }) => !drained).forEach(({ pool }) => {
      this.#sizes.set(pool, this.#size(pool, 0) + 1);
    });
  }

  /** Records that an interactive request started (1) or ended (-1) in a pool. */
  changed(pool: string, change: 1 | -1, daemons: number, now: number): void {
    this.#loads.set(pool, interactiveChanged(this.#load(pool, daemons, now), change, now));
  }

  /** A lookup of the mean interactive requests per server by pool, memoized per pool. */
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
