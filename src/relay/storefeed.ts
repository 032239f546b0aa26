/** Follows the configuration and the servers' entries in the platform's store. */
import { merge, tap } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import { parseJson } from '../store/calls.js';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { follow } from '../store/follow.js';
import type { FollowEvent } from '../store/follow.js';
import type { Fleet } from './fleet.js';
import type { Platform } from './platform.js';
import type { RelayConfiguration } from './routes.js';

/** Interval of full reads beside the watches, in case a watch answers but misses changes. */
const POLL_MS = 10_000;
/** Short enough that changes made in an outage apply in time after the store has recovered. */
const MAX_BACKOFF_MS = 400;
/** Entries expire after three heartbeats, so an outage of two may already have lost one. */
const LAPSE_HEARTBEATS = 2;

export interface StoreFeedContext {
  readonly platform: Platform;
  readonly fleet: Fleet;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly heartbeatMs: number;
  readonly adopt: (configuration: RelayConfiguration, from: string) => void;
}

export class StoreFeed {
  readonly #context: StoreFeedContext;

  /** When the store last answered for each kind. */
  readonly #heardAt = new Map<string, number>();

  /** When the outage began for each kind; absent while the store answers. */
  readonly #lostAt = new Map<string, number>();

  readonly #startedAt: number;

  private constructor(context: StoreFeedContext) {
    this.#context = context;
    this.#startedAt = context.scheduler.now();
  }

  static of(context: StoreFeedContext): StoreFeed {
    return new StoreFeed(context);
  }

  /** Follows both kinds while subscribed. */
  get run(): Observable<FollowEvent> {
    const { configurationKind, serverKind } = this.#context.platform;
    return merge(
      this.#follow(configurationKind).pipe(tap((event) => this.#onConfigurationEvent(event))),
      this.#follow(serverKind).pipe(tap((event) => this.#onServerEvent(event))),
    );
  }

  /** Time since the store last answered, for the kind for which that is longest ago. */
  get silentMs(): number {
    const { platform, scheduler } = this.#context;
    const oldest = Math.min(...[platform.configurationKind, platform.serverKind]
      .map((kind) => this.#heardAt.get(kind) ?? this.#startedAt));
    return scheduler.now() - oldest;
  }

  #follow(kind: string): Observable<FollowEvent> {
    const { platform, scheduler, random } = this.#context;
    return follow(kind, {
      api: platform.objects,
      scheduler,
      random,
      callClass: 'configuration',
      pollMs: POLL_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
    }).pipe(tap((event) => this.#trackAvailability(kind, event)));
  }

  #trackAvailability(kind: string, event: FollowEvent): void {
    const {
      log, scheduler, heartbeatMs, fleet, platform,
    } = this.#context;
    const now = scheduler.now();
    if (event.kind === 'lost' && !this.#lostAt.has(kind)) {
      this.#lostAt.set(kind, now);
      const { code, message } = event.error;
      log.event('warn', 'store_lost', { kind, code, reason: message });
    }
    if (event.kind !== 'heard') return;
    this.#heardAt.set(kind, now);
    if (kind === platform.serverKind) fleet.markLoaded();
    const lostAt = this.#lostAt.get(kind);
    if (lostAt === undefined) return;
    this.#lostAt.delete(kind);
    log.event('info', 'store_regained', { kind, after_ms: Math.round(now - lostAt) });
    if (kind === platform.serverKind && now - lostAt > heartbeatMs * LAPSE_HEARTBEATS) {
      fleet.storeRecovered();
    }
  }

  #onConfigurationEvent(event: FollowEvent): void {
    const { platform, log, adopt } = this.#context;
    if (event.kind !== 'put' || event.object.name !== platform.configurationName) return;
    platform.readConfiguration(parseJson(event.object.value)).match(
      (configuration) => adopt(configuration, 'store'),
      (reason) => log.event('error', 'configuration_unreadable', {
        store_version: event.object.version, reason,
      }),
    );
  }

  #onServerEvent(event: FollowEvent): void {
    const { platform, log, fleet } = this.#context;
    if (event.kind === 'delete') fleet.remove(event.name);
    if (event.kind !== 'put') return;
    const { name, value, version } = event.object;
    const entry = platform.readServer(name, parseJson(value));
    if (entry) fleet.upsert(entry, 'store');
    else {
      log.event('warn', 'server_entry_unreadable', { server: name, store_version: version });
      fleet.remove(name);
    }
  }
}
