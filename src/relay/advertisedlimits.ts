/**
 * The rate limits that backend servers name in their responses, as seen by this instance or told by
 * others. A limit holds for one process of a server, until a newer response names another or none.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { AdvertisedLimit, ResponseFields } from './dialect.js';
import type { ResponseClass } from './responseclass.js';
import type { ServerEntry } from './serverentry.js';
import { sameProcess } from './serverstate.js';
import type { ServerState } from './serverstate.js';

/** Maximum length of a server's text in a log line. */
const MAX_LOGGED_LENGTH = 40;
/** How long other instances are told that a server no longer names a limit. */
const REMOVAL_NEWS_MS = 10_000;

/**
 * A report of the same limit has to be newer by this much. Reports are older than they say by their
 * time on the network, so a limit would become newer by going back and forth.
 */
const REPEAT_MS = 1_000;

export interface AdvertisedLimitsContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly server: (id: string) => ServerState | undefined;
  /** Called when other instances should learn of a change soon. */
  readonly onUrgentChange: () => void;
}

/** A limit in a message between instances. */
export interface LimitReport {
  readonly server: string;
  /** When the server's process started. */
  readonly startedAt: number;
  /** Undefined if the server no longer names a limit. */
  readonly perSecond: number | undefined;
  readonly ageMs: number;
}

/** What a process of a server last said, and when. */
interface Observation {
  readonly entry: ServerEntry;
  readonly at: number;
  readonly perSecond: number | undefined;
  /** What it named instead of a number. */
  readonly unreadable?: string | undefined;
}

/** Whether a response comes from the server that it was requested from. */
function isFromServer(response: ResponseClass): boolean {
  switch (response.kind) {
    case 'answer':
    case 'failed': return true;
    case 'not_run': return !response.misdirected;
    case 'foreign': return false;
  }
}

/** A limit that can't be read leaves the one before in force. */
function perSecondOf(limit: AdvertisedLimit, before: number | undefined): number | undefined {
  switch (limit.kind) {
    case 'none': return undefined;
    case 'rate': return limit.perSecond;
    case 'unreadable': return before;
  }
}

export class AdvertisedLimits {
  readonly #context: AdvertisedLimitsContext;

  readonly #observations = new Map<string, Observation>();

  private constructor(context: AdvertisedLimitsContext) {
    this.#context = context;
  }

  static of(context: AdvertisedLimitsContext): AdvertisedLimits {
    return new AdvertisedLimits(context);
  }

  /** Requests per second that a server names; undefined if it names no limit. */
  perSecond(entry: ServerEntry): number | undefined {
    return this.#known(entry)?.perSecond;
  }

  /** Number of servers that name a limit. */
  get count(): number {
    return this.#current.filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** What a message tells other instances. */
  get reports(): readonly LimitReport[] {
    const now = this.#context.scheduler.now();
    return this.#current
      .filter(({ perSecond, at }) => perSecond !== undefined || now - at < REMOVAL_NEWS_MS)
      .map(({ entry, perSecond, at }) => ({
        // Rounded up, so that the limit doesn't become newer with each message.
        server: entry.id, startedAt: entry.startedAt, perSecond, ageMs: Math.ceil(now - at),
      }));
  }

  /** Records the limit in the head of a response to a request that was sent to `entry`. */
  observe(
    entry: ServerEntry,
    response: ResponseClass & { readonly response: ResponseFields },
  ): void {
    const state = this.#context.server(entry.id);
    if (!isFromServer(response) || !state || !sameProcess(state.entry, entry)) return;
    const { limit } = response.response;
    const known = this.#known(entry);
    if (limit.kind === 'none' && !known) return;
    const perSecond = perSecondOf(limit, known?.perSecond);
    const unreadable = limit.kind === 'unreadable' ? limit.text : undefined;
    this.#record({
      entry, at: this.#context.scheduler.now(), perSecond, unreadable,
    }, 'response');
    if (unreadable !== undefined && unreadable !== known?.unreadable) {
      this.#context.log.event('warn', 'server_limit_unreadable', {
        server: entry.id, text: unreadable.slice(0, MAX_LOGGED_LENGTH), in_force: perSecond,
      });
    }
  }

  /** Applies what is newer in another instance's reports. */
  adopt(reports: readonly LimitReport[], from: string): void {
    const now = this.#context.scheduler.now();
    reports.forEach(({
      server, startedAt, perSecond, ageMs,
    }) => {
      const entry = this.#context.server(server)?.entry;
      if (!entry || startedAt < entry.startedAt) return;
      const known = this.#known(entry);
      const at = now - ageMs;
      const isRepeated = known?.perSecond === perSecond;
      if (known && at <= known.at + (isRepeated ? REPEAT_MS : 0)) return;
      this.#record({ entry, at, perSecond }, from);
    });
  }

  #record(observation: Observation, from: string): void {
    const { entry, perSecond } = observation;
    const before = this.#known(entry)?.perSecond;
    this.#observations.set(entry.id, observation);
    if (perSecond === before) return;
    this.#context.log.event('info', 'server_limit', {
      server: entry.id, per_second: perSecond, before, from,
    });
    this.#context.onUrgentChange();
  }

  #known(entry: ServerEntry): Observation | undefined {
    const known = this.#observations.get(entry.id);
    return known && sameProcess(known.entry, entry) ? known : undefined;
  }

  /** The observations of servers that still run; the others are forgotten. */
  get #current(): readonly Observation[] {
    this.#observations.forEach(({ entry }, id) => {
      const state = this.#context.server(id);
      if (!state || !sameProcess(state.entry, entry)) this.#observations.delete(id);
    });
    return [...this.#observations.values()];
  }
}
