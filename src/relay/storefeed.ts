/**
 * Follows the configuration and the servers' entries in the platform's store. Both may also come
 * from another instance's copy; its objects are admitted by their versions like those from the
 * store, so that an older copy can't bring back what was changed or removed. A change that can't be
 * applied fails alone: the others are followed on.
 */
import { Result } from 'neverthrow';
import {
  ignoreElements, interval, merge, tap,
} from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import { parseJson } from '../store/calls.js';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { REGISTRATION_MS } from '../liveness/renewalgrace.js';
import { epochOf } from '../store/epoch.js';
import { follow } from '../store/follow.js';
import type { FollowEvent } from '../store/follow.js';
import type { StoreChange } from '../store/versions.js';
import type { Fleet } from './fleet.js';
import type { CopyReport } from './freshness.js';
import type { Snapshot } from './peersnapshot.js';
import type { Platform } from './platform.js';
import { RestoredEntries } from './restoredentries.js';
import type { RelayConfiguration } from './routes.js';
import { StoreCopy } from './storecopy.js';

/** Interval of full reads beside the watches, in case a watch answers but misses changes. */
const POLL_MS = 10_000;
/** Short enough that changes made in an outage apply in time after the store has recovered. */
const MAX_BACKOFF_MS = 400;
/** Entries expire after three heartbeats, so an outage of two may already have lost one. */
const LAPSE_HEARTBEATS = 2;
/** The store removes entries after three heartbeats without one, and may be late by another. */
const REMOVAL_HEARTBEATS = 4;
/** How often the copies' ages are checked. */
const AGE_CHECK_MS = 100;

export type CopyKind = keyof Snapshot['copies'];

/** Reports of the copies that have been confirmed. */
export type CopyReports = Readonly<Partial<Record<CopyKind, CopyReport | undefined>>>;

export interface StoreFeedContext {
  readonly platform: Omit<Platform, 'records' | 'originKind'>;
  readonly fleet: Fleet;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly heartbeatMs: number;
  /** Changes of the configuration have to apply within this time. */
  readonly configurationDelayMs: number;
  /** A server that leaves has to be known within this time. */
  readonly leavingDelayMs: number;
  readonly adopt: (configuration: RelayConfiguration, from: string) => void;
}

export class StoreFeed {
  readonly #context: StoreFeedContext;

  readonly #configuration: StoreCopy;

  readonly #servers: StoreCopy;

  readonly #restored: RestoredEntries;

  /** The store's epoch, by the servers' entries. */
  #epoch: number | undefined;

  private constructor(context: StoreFeedContext) {
    const { platform, configurationDelayMs, leavingDelayMs } = context;
    this.#context = context;
    this.#restored = RestoredEntries.of(context.heartbeatMs * REMOVAL_HEARTBEATS);
    this.#configuration = StoreCopy.of({
      ...context, kind: platform.configurationKind, maxAgeMs: configurationDelayMs,
    });
    this.#servers = StoreCopy.of({
      ...context, kind: platform.serverKind, maxAgeMs: leavingDelayMs,
    });
  }

  static of(context: StoreFeedContext): StoreFeed {
    return new StoreFeed(context);
  }

  /** Follows both kinds while subscribed; emits nothing but an error that ends it. */
  get run(): Observable<never> {
    const { platform, scheduler } = this.#context;
    const configuration = this.#follow(platform.configurationKind, this.#configuration).pipe(
      tap((event) => {
        this.#configuration.recordEvent(event);
        if (event.kind === 'put') this.#applyConfiguration(event, 'store');
      }),
    );
    const servers = this.#follow(platform.serverKind, this.#servers).pipe(
      tap((event) => this.#onServerEvent(event)),
    );
    const ages = interval(AGE_CHECK_MS, scheduler).pipe(tap(() => {
      this.#configuration.checkAge();
      this.#servers.checkAge();
      this.#removeUnlisted();
      this.#restored.release(scheduler.now())
        .forEach((change) => this.#applyServer(change, 'store'));
    }));
    return merge(configuration, servers, ages).pipe(ignoreElements());
  }

  /** Time since the store last answered, for the kind for which that is longest ago. */
  get silentMs(): number {
    return Math.max(this.#configuration.silentMs, this.#servers.silentMs);
  }

  /** Version and age of the copy of the servers' entries. */
  get serverCopy(): { readonly version: number; readonly ageMs: number } {
    const { versions: { position }, ageMs } = this.#servers;
    return { version: position, ageMs };
  }

  /** What other instances are told of the copies. */
  get reports(): CopyReports {
    return { configuration: this.#configuration.report, servers: this.#servers.report };
  }

  /** Records another instance's reports; returns whether a copy is behind that instance's. */
  compare({ configuration, servers }: CopyReports): boolean {
    const behind = [
      configuration && this.#configuration.compare(configuration),
      servers && this.#servers.compare(servers),
    ];
    return behind.includes(true);
  }

  get snapshot(): Snapshot {
    return {
      copies: {
        configuration: this.#configuration.versions.listing,
        servers: this.#servers.versions.listing,
      },
      renewalMs: this.#context.fleet.renewals.remainingMs,
    };
  }

  /** Applies what is newer in another instance's snapshot. */
  adopt({ copies, renewalMs }: Snapshot, from: string): void {
    const { fleet } = this.#context;
    fleet.renewals.extend(renewalMs);
    this.#configuration.adopt(copies.configuration)
      .forEach((change) => this.#applyConfiguration(change, from));
    const changes = this.#servers.adopt(copies.servers);
    this.#checkEpoch(from);
    changes.forEach((change) => this.#applyServer(change, from));
    if (copies.servers.version > 0) fleet.markLoaded();
  }

  #follow(kind: string, copy: StoreCopy): Observable<FollowEvent> {
    const { platform, scheduler, random } = this.#context;
    return follow(kind, {
      api: platform.objects,
      scheduler,
      random,
      callClass: 'configuration',
      pollMs: POLL_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      seen: copy.versions,
      reads: copy.reads,
    });
  }

  #applyConfiguration(change: StoreChange, from: string): void {
    this.#try(change, () => this.#onConfigurationChange(change, from));
  }

  #applyServer(change: StoreChange, from: string): void {
    this.#try(change, () => this.#onServerChange(change, from));
  }

  #try(change: StoreChange, apply: () => void): void {
    Result.fromThrowable(apply, String)().mapErr((reason) => {
      const name = change.kind === 'put' ? change.object.name : change.name;
      this.#context.log.event('error', 'store_change_failed', { object: name, reason });
      return reason;
    });
  }

  #onConfigurationChange(change: StoreChange, from: string): void {
    const { platform, log, adopt } = this.#context;
    if (change.kind !== 'put' || change.object.name !== platform.configurationName) return;
    platform.readConfiguration(parseJson(change.object.value)).match(
      (configuration) => adopt(configuration, from),
      (reason) => log.event('error', 'configuration_unreadable', {
        store_version: change.object.version, reason,
      }),
    );
  }

  /** Awaits servers that registered after the backup from which the store was restored. */
  #checkEpoch(from: string): void {
    const { fleet, log } = this.#context;
    const epoch = epochOf(this.#servers.versions.position);
    if (this.#epoch !== undefined && epoch > this.#epoch) {
      log.event('warn', 'store_restored', { epoch, before: this.#epoch, from });
      fleet.renewals.extend();
    }
    this.#epoch = Math.max(epoch, this.#epoch ?? 0);
  }

  #onServerEvent(event: FollowEvent): void {
    const { fleet, heartbeatMs } = this.#context;
    const outageMs = this.#servers.recordEvent(event);
    switch (event.kind) {
      case 'lost': break;
      case 'heard':
        fleet.markLoaded();
        this.#checkEpoch('store');
        // While other instances confirmed the copy, the store was up and entries were renewed.
        if (outageMs !== undefined && outageMs > heartbeatMs * LAPSE_HEARTBEATS) {
          fleet.renewals.extend();
        }
        break;
      case 'put':
      case 'delete':
        this.#applyServer(event, 'store');
        break;
    }
  }

  /** Removes servers that were found without the store and have not registered there since. */
  #removeUnlisted(): void {
    const { fleet, scheduler, leavingDelayMs } = this.#context;
    const { versions, ageMs, steadyMs } = this.#servers;
    if (ageMs > leavingDelayMs || steadyMs < REGISTRATION_MS) return;
    const before = scheduler.now() - REGISTRATION_MS - ageMs;
    fleet.servers.filter(({ entry, listed }) => !versions.has(entry.id) && listed.at < before)
      .forEach(({ entry }) => fleet.remove(entry.id));
  }

  #onServerChange(change: StoreChange, from: string): void {
    const {
      platform, log, fleet, scheduler,
    } = this.#context;
    const now = scheduler.now();
    if (change.kind === 'delete') {
      this.#restored.recordRemoval(change.name, change.version, now);
      fleet.remove(change.name);
      return;
    }
    if (this.#restored.holdBack(change, now)) {
      log.event('info', 'server_held_back', { server: change.object.name, from });
      return;
    }
    const { name, value, version } = change.object;
    const entry = platform.readServer(name, parseJson(value));
    if (entry) fleet.upsert(entry, from);
    else {
      log.event('warn', 'server_entry_unreadable', { server: name, store_version: version });
      fleet.remove(name);
    }
  }
}
