/**
 * Remembers at which software version streams began, by the id of the request that brought the
 * first event. Instances tell each other what they began, since the caller may take a stream up at
 * any of them; one that was not told asks the others.
 */
import { LRUCache } from 'lru-cache';
import {
  firstValueFrom, interval, merge, of, Subject, timer,
} from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import {
  filter, map, take, takeUntil, tap,
} from 'rxjs/operators';
import type { Log } from '../common/log.js';
import { releaseOf } from './release.js';
import type { ServerEntry } from './serverentry.js';
import { sameProcess } from './serverstate.js';
import type { ServerState } from './serverstate.js';
import { soleVersion, withGap, withVersions } from './versionhistory.js';
import type { VersionHistory } from './versionhistory.js';

/** Streams remembered: those that a large deployment begins in the time that callers wait. */
const MAX_STREAMS = 32_768;
/** Servers whose entries were read after they had been found. */
const MAX_VERSIONS = 4_096;
/** How long a report is repeated: datagrams are lost, and one interval doesn't reach all peers. */
const REPORT_MS = 2_000;
/** Maximum number of streams in a message. */
const MAX_REPORTED = 16;
/** How long the other instances are asked: less than the engines' lists of prompts take. */
const SEEK_TIMEOUT_MS = 100;
const SEEK_INTERVAL_MS = 30;
const SAMPLE_INTERVAL_MS = 500;
/** Streams that are saved: what fits into an object of the store many times over. */
const MAX_SAVED = 4_096;
/** With an older copy of the servers' entries, a version may have been missed. */
const MAX_COPY_AGE_MS = 5_000;
/** How late the entry of a restarted server is, if its restart was not noticed. */
const RESTART_NOTICE_MS = 5_000;

/** `ambiguous`: the server may have been restarted at another version before the stream began. */
export type Origin =
  | { readonly kind: 'version'; readonly software: string }
  | { readonly kind: 'ambiguous' };

export interface OriginReport { readonly stream: string; readonly origin: Origin }

interface Beginning {
  readonly origin: Origin;
  readonly at: number;
  /** The server that began the stream; undefined for a stream of another instance. */
  readonly server: string | undefined;
}

export interface StreamOriginsContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly onUrgentChange: () => void;
  /** Called for each stream that begins; `onUrgentChange` by default. */
  readonly onRoutineChange?: (() => void) | undefined;
  readonly servers: () => readonly ServerState[];
  /** Age of this instance's copy of the servers' entries. */
  readonly copyAgeMs: () => number;
  readonly hasPeers: () => boolean;
}

function isSameOrigin(left: Origin, right: Origin): boolean {
  return left.kind === 'version' && right.kind === 'version' && left.software === right.software;
}

export class StreamOrigins {
  readonly #context: StreamOriginsContext;

  readonly #beginnings = new LRUCache<string, Beginning>({ max: MAX_STREAMS });

  /** Streams that messages name, with the time until which they do. */
  readonly #reported = new Map<string, number>();

  /** Versions that stood for those of servers without an entry, with what their entries told. */
  readonly #versions = new LRUCache<string, string>({ max: MAX_VERSIONS });

  readonly #sought = new Set<string>();

  readonly #found = new Subject<string>();

  readonly #histories = new Map<string, VersionHistory>();

  private constructor(context: StreamOriginsContext) {
    this.#context = context;
  }

  static of(context: StreamOriginsContext): StreamOrigins {
    return new StreamOrigins(context);
  }

  #now(): number {
    return this.#context.scheduler.now();
  }

  /** Samples the versions that run until the subscription ends. */
  start(): Subscription {
    return interval(SAMPLE_INTERVAL_MS, this.#context.scheduler).subscribe(() => this.#sample());
  }

  #sample(): void {
    const now = this.#now();
    const versions = new Map<string, Set<string>>();
    this.#context.servers().forEach(({ entry }) => {
      const ofService = versions.get(entry.service) ?? new Set();
      versions.set(entry.service, ofService.add(releaseOf(entry).software));
    });
    const isOutdated = this.#context.copyAgeMs() > MAX_COPY_AGE_MS;
    new Set([...versions.keys(), ...this.#histories.keys()]).forEach((service) => {
      const history = withVersions(this.#histories.get(service), versions.get(service) ?? [], now);
      this.#histories.set(service, isOutdated ? withGap(history, now) : history);
    });
    this.#reported.forEach((until, stream) => {
      if (now >= until) this.#reported.delete(stream);
    });
  }

  /** The only version that a service's engines have run, if they were observed for long enough. */
  soleVersion(service: string, observedMs: number): string | undefined {
    this.#sample();
    const history = this.#histories.get(service);
    return history && soleVersion(history, observedMs, this.#now());
  }

  /** The versions that a service's engines have run lately. */
  seenVersions(service: string): readonly string[] {
    this.#sample();
    return [...this.#histories.get(service)?.seenAt.keys() ?? []];
  }

  /** The same for each service that has run several. */
  get severalVersions(): Readonly<Record<string, string[]>> {
    return Object.fromEntries([...this.#histories].flatMap(([service, { seenAt }]) => (
      seenAt.size > 1 ? [[service, [...seenAt.keys()].sort()]] : [])));
  }

  /** The newest streams that were learnt of within a time. */
  recent(ageMs: number): readonly OriginReport[] {
    const since = this.#now() - ageMs;
    const reports: OriginReport[] = [];
    // eslint-disable-next-line no-restricted-syntax -- ends at the first ones
    for (const [stream, { origin, at }] of this.#beginnings.entries()) {
      if (reports.length >= MAX_SAVED) break;
      if (at >= since) reports.push({ stream, origin: this.#resolved(origin) });
    }
    return reports;
  }

  origin(stream: string): Origin | undefined {
    const origin = this.#beginnings.get(stream)?.origin;
    return origin && this.#resolved(origin);
  }

  /** The version for which another one stood, once it is known. */
  version(software: string): string {
    return this.#versions.get(software) ?? software;
  }

  #resolved(origin: Origin): Origin {
    return origin.kind === 'version'
      ? { kind: 'version', software: this.version(origin.software) } : origin;
  }

  /** Records the first event of a stream, or at which version one was found to have begun. */
  record(stream: string, software: string, server?: string): void {
    this.#add(stream, { origin: { kind: 'version', software }, at: this.#now(), server });
    this.#report(stream);
  }

  #add(stream: string, beginning: Beginning): void {
    const known = this.#beginnings.get(stream);
    if (known && isSameOrigin(this.#resolved(known.origin), this.#resolved(beginning.origin))) {
      return;
    }
    // Instances that contradict each other don't know the version.
    this.#beginnings.set(stream, known ? { ...known, origin: { kind: 'ambiguous' } } : beginning);
    if (known?.origin.kind === 'version') {
      this.#context.log.event('warn', 'stream_origin_ambiguous', { request: stream });
    }
  }

  #report(stream: string): void {
    this.#reported.delete(stream);
    this.#reported.set(stream, this.#now() + REPORT_MS);
    const { onUrgentChange, onRoutineChange = onUrgentChange } = this.#context;
    onRoutineChange();
  }

  /**
   * Called when a server runs another process than before, or its software has become known:
   * streams that began after the previous process was lost may have begun at either version.
   */
  markRestarted({ entry, lostAt }: ServerState, restarted: ServerEntry): void {
    if (sameProcess(entry, restarted)) {
      this.#versions.set(releaseOf(entry).software, releaseOf(restarted).software);
      return;
    }
    if (releaseOf(entry).software === releaseOf(restarted).software) return;
    const since = lostAt ?? this.#now() - RESTART_NOTICE_MS;
    this.#beginnings.forEach((beginning, stream) => {
      if (beginning.server !== entry.id || beginning.at < since) return;
      this.#add(stream, { ...beginning, origin: { kind: 'ambiguous' } });
      this.#report(stream);
    });
  }

  /** Adopts what another instance reports. */
  adopt(reports: readonly OriginReport[]): void {
    const at = this.#now();
    reports.forEach(({ stream, origin }) => {
      this.#add(stream, { origin, at, server: undefined });
      this.#found.next(stream);
    });
  }

  /** The newest streams to tell the other instances. */
  get reports(): readonly OriginReport[] {
    return this.reportsOf([...this.#reported.keys()].slice(-MAX_REPORTED));
  }

  reportsOf(streams: readonly string[]): readonly OriginReport[] {
    return streams.flatMap((stream) => {
      const origin = this.origin(stream);
      return origin ? [{ stream, origin }] : [];
    });
  }

  /** Streams to ask the other instances for. */
  get sought(): readonly string[] {
    return [...this.#sought].slice(-MAX_REPORTED);
  }

  /** Asks the other instances where a stream began; undefined if none of them tells in time. */
  seek(stream: string): Promise<Origin | undefined> {
    const { scheduler, hasPeers, onUrgentChange } = this.#context;
    if (!hasPeers()) return Promise.resolve(undefined);
    this.#sought.add(stream);
    const asking = merge(of(0), interval(SEEK_INTERVAL_MS, scheduler))
      .pipe(tap(onUrgentChange), filter(() => false), takeUntil(timer(SEEK_TIMEOUT_MS, scheduler)));
    const answered = this.#found.pipe(filter((found) => found === stream));
    return firstValueFrom(merge(asking, answered).pipe(
      takeUntil(timer(SEEK_TIMEOUT_MS, scheduler)),
      take(1),
      map(() => this.origin(stream)),
    ), { defaultValue: undefined }).finally(() => this.#sought.delete(stream));
  }
}
