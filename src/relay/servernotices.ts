/**
 * What servers say of themselves in their answers, beside their rate limits. A service that is
 * brittle ends servers that have to turn away too many requests in a second, so they are given no
 * more than they have slots, and one that turned a request away is left alone for a time.
 */
import { LRUCache } from 'lru-cache';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { AdvertisedLimits } from './advertisedlimits.js';
import type { ResponseFields } from './dialect.js';
import type { ResponseClass } from './responseclass.js';
import type { Admission } from './selection.js';
import type { ServerEntry } from './serverentry.js';
import type { Load } from './serverstate.js';

const MAX_SERVERS = 1_024;
/** How long a full brittle server is expected to stay full: about one short request. */
const FULL_RETRY_MS = 100;
/** Limit on the pause that a server can ask for. */
const MAX_PAUSE_MS = 300_000;
/** Share of what a server can turn away that instances may use up at once. */
const HOLD_SHARE = 0.5;

interface Hold {
  readonly until: number;
  /** Start time of the server's process; a restarted one has said nothing yet. */
  readonly startedAt: number;
}

export interface ServerNoticesContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly limits: AdvertisedLimits;
  /** Called when a server says that it leaves. */
  readonly markLeaving: (entry: ServerEntry) => void;
  /** The number of live instances, this one included. */
  readonly instances: () => number;
}

export class ServerNotices {
  readonly #context: ServerNoticesContext;

  /** By service: requests that its servers can turn away in a second. */
  readonly #brittle = new Map<string, number>();

  /** Servers that get nothing for a time. */
  readonly #holds = new LRUCache<string, Hold>({ max: MAX_SERVERS });

  private constructor(context: ServerNoticesContext) {
    this.#context = context;
  }

  static of(context: ServerNoticesContext): ServerNotices {
    return new ServerNotices(context);
  }

  /** Records what the head of a response says of the server that sent it. */
  observe(
    entry: ServerEntry,
    response: ResponseClass & { readonly response: ResponseFields },
  ): void {
    this.#context.limits.observe(entry, response);
    const isOther = response.kind === 'not_run' && response.misdirected;
    if (response.kind === 'foreign' || isOther) return;
    this.#observeBrittle(entry, response.response.brittle);
    if (response.kind === 'not_run') this.#holdTurnedAway(entry);
    const { pauseMs, leaving } = response.response;
    if (leaving) this.#context.markLeaving(entry);
    if (pauseMs !== undefined) this.#hold(entry, Math.min(pauseMs, MAX_PAUSE_MS), 'retry_after');
  }

  #observeBrittle({ service }: ServerEntry, limit: number | undefined): void {
    if (this.#brittle.get(service) === limit) return;
    if (limit === undefined) this.#brittle.delete(service);
    else this.#brittle.set(service, limit);
    this.#context.log.event('info', 'service_brittle', { service, turned_away_per_second: limit });
  }

  #holdTurnedAway(entry: ServerEntry): void {
    const limit = this.#brittle.get(entry.service);
    if (limit === undefined) return;
    const windows = this.#context.instances() / Math.max(1, limit * HOLD_SHARE);
    this.#hold(entry, Math.max(1, windows) * MILLISECONDS_PER_SECOND, 'turned_away');
  }

  #hold({ id, startedAt }: ServerEntry, ms: number, cause: string): void {
    const until = this.#context.scheduler.now() + ms;
    if ((this.#holds.get(id)?.until ?? 0) >= until) return;
    this.#holds.set(id, { until, startedAt });
    this.#context.log.event('info', 'server_held', { server: id, cause, ms: Math.round(ms) });
  }

  /** What a server admits, with a load on it and by its rate limit. */
  admission({
    id, service, slots, startedAt,
  }: ServerEntry, load: Load, byLimit: Admission): Admission {
    const hold = this.#holds.get(id);
    const heldMs = hold?.startedAt === startedAt
      ? Math.max(0, hold.until - this.#context.scheduler.now()) : 0;
    const isFull = this.#brittle.has(service) && load.running >= slots;
    const delayMs = Math.max(byLimit.delayMs, heldMs, isFull ? FULL_RETRY_MS : 0);
    return { ...byLimit, delayMs };
  }
}
