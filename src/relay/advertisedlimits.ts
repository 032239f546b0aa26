/** The rate limits that backend servers name in their responses. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { ResponseClass } from './responseclass.js';
import type { ServerEntry } from './serverentry.js';
import { sameProcess } from './serverstate.js';
import type { ServerState } from './serverstate.js';
import type { AdvertisedLimit, ResponseFields } from './dialect.js';

/** Maximum length of a server's text in a log line. */
const MAX_LOGGED_LENGTH = 40;

export interface AdvertisedLimitsContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly server: (id: string) => ServerState | undefined;
}

/** What a process of a server last said, and when. */
interface Observation {
  readonly entry: ServerEntry;
  readonly at: number;
  readonly perSecond: number | undefined;
  /** What it named instead of a number. */
  readonly unreadable: string | undefined;
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

  /** Requests per second of each limited server, by its id. */
  get limited(): ReadonlyMap<string, number> {
    this.#removeEnded();
    return new Map([...this.#observations].flatMap(([id, { perSecond }]) => (
      perSecond === undefined ? [] : [[id, perSecond] as const])));
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
    const before = known?.perSecond;
    const perSecond = perSecondOf(limit, before);
    const unreadable = limit.kind === 'unreadable' ? limit.text : undefined;
    this.#observations.set(entry.id, {
      entry, at: this.#context.scheduler.now(), perSecond, unreadable,
    });
    const { log } = this.#context;
    if (perSecond !== before) {
      log.event('info', 'server_limit', {
        server: entry.id, per_second: perSecond, before, from: 'response',
      });
    }
    if (unreadable !== undefined && unreadable !== known?.unreadable) {
      log.event('warn', 'server_limit_unreadable', {
        server: entry.id, text: unreadable.slice(0, MAX_LOGGED_LENGTH), in_force: perSecond,
      });
    }
  }

  #known(entry: ServerEntry): Observation | undefined {
    const known = this.#observations.get(entry.id);
    return known && sameProcess(known.entry, entry) ? known : undefined;
  }

  #removeEnded(): void {
    this.#observations.forEach(({ entry }, id) => {
      const state = this.#context.server(id);
      if (!state || !sameProcess(state.entry, entry)) this.#observations.delete(id);
    });
  }
}
