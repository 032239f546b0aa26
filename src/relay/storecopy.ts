/**
 * This instance's copy of one kind of objects in the store: the objects with their versions,
 * whether the store answers, and how current the copy is. A watch can stay silent without an error,
 * so the copy asks for a read of the store when nothing has confirmed it for too long.
 */
import { Subject } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { FollowEvent } from '../store/follow.js';
import type { Listing } from '../store/objects.js';
import { SeenVersions } from '../store/versions.js';
import type { StoreChange } from '../store/versions.js';
import {
  isBehind, MISSING_MS, NEVER_CONFIRMED, withConfirmation, withReport,
} from './freshness.js';
import type { CopyReport } from './freshness.js';

/** Age at which the store is read, as a share of the bound; the rest is for the read. */
const READ_AGE_SHARE = 0.5;
/** Spreads the reads, since the first one confirms the copies of all instances. */
const READ_AGE_SPREAD = 0.3;

export interface StoreCopyContext {
  readonly kind: string;
  /** Changes have to be in the copy within this time. */
  readonly maxAgeMs: number;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

export class StoreCopy {
  readonly #context: StoreCopyContext;

  readonly #reads = new Subject<void>();

  readonly versions = SeenVersions.of();

  #freshness = NEVER_CONFIRMED;

  /** When the store last answered. */
  #heardAt: number;

  /** When the store's outage began; undefined while it answers. */
  #lostAt: number | undefined;

  /** When the last outage ended. */
  #regainedAt = -Infinity;

  /** When a call to the store last ended or was requested. */
  #triedAt: number;

  #readAgeMs: number;

  private constructor(context: StoreCopyContext) {
    this.#context = context;
    this.#heardAt = this.#now();
    this.#triedAt = this.#heardAt;
    this.#readAgeMs = this.#nextReadAgeMs();
  }

  static of(context: StoreCopyContext): StoreCopy {
    return new StoreCopy(context);
  }

  /** Emits when the store has to be read. */
  get reads(): Observable<void> {
    return this.#reads;
  }

  /** Time since the store last answered. */
  get silentMs(): number {
    return this.#now() - this.#heardAt;
  }

  /** Time since the copy was last confirmed; infinite if it never was. */
  get ageMs(): number {
    return this.#now() - this.#freshness.confirmedAt;
  }

  /** Time since the end of the last outage; 0 during one. */
  get steadyMs(): number {
    return this.#lostAt === undefined ? this.#now() - this.#regainedAt : 0;
  }

  /** What other instances are told; undefined until the copy has been confirmed. */
  get report(): CopyReport | undefined {
    const { ageMs, versions: { newestChange } } = this;
    return Number.isFinite(ageMs) ? { newestChange, ageMs: Math.ceil(ageMs) } : undefined;
  }

  /** Records another instance's report; returns whether this copy is behind that instance's. */
  compare(report: CopyReport): boolean {
    const { position } = this.versions;
    const now = this.#now();
    this.#freshness = withReport(this.#freshness, report, position, now);
    return isBehind(this.#freshness, position, now, this.#missingMs);
  }

  /** How long a change may be missing before another instance is asked for it. */
  get #missingMs(): number {
    const isAnswering = this.#lostAt === undefined && Number.isFinite(this.ageMs);
    // A late instance would ask for each change, while its own watch brings it a moment later.
    return isAnswering ? this.#context.maxAgeMs * READ_AGE_SHARE : MISSING_MS;
  }

  /** Admits another instance's copy and returns the changes in it. */
  adopt(listing: Listing): readonly StoreChange[] {
    return this.versions.admitListing(listing);
  }

  /**
   * Records whether the store answers.
   * @returns how long neither the store nor another instance had confirmed the copy, if the event
   * ends an outage, otherwise undefined
   */
  recordEvent(event: FollowEvent): number | undefined {
    const { kind, log } = this.#context;
    const now = this.#now();
    if (event.kind === 'lost') {
      this.#triedAt = now;
      if (this.#lostAt !== undefined) return undefined;
      this.#lostAt = now;
      const { code, message } = event.error;
      log.event('warn', 'store_lost', { kind, code, reason: message });
    }
    if (event.kind !== 'heard') return undefined;
    const { ageMs } = this;
    const lostAt = this.#lostAt;
    this.#triedAt = now;
    this.#heardAt = now;
    this.#lostAt = undefined;
    this.#freshness = withConfirmation(this.#freshness, event.at);
    if (lostAt === undefined) return undefined;
    this.#regainedAt = now;
    log.event('info', 'store_regained', { kind, after_ms: Math.round(now - lostAt) });
    return Math.min(ageMs, now - lostAt);
  }

  /** Requests a read of the store if nothing has confirmed the copy for too long. */
  checkAge(): void {
    const { kind, log } = this.#context;
    const now = this.#now();
    const since = Math.max(this.#freshness.confirmedAt, this.#triedAt);
    if (now - since < this.#readAgeMs) return;
    this.#triedAt = now;
    this.#readAgeMs = this.#nextReadAgeMs();
    const { ageMs } = this;
    log.event('info', 'store_read', {
      kind,
      version: this.versions.position,
      age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
    this.#reads.next();
  }

  #nextReadAgeMs(): number {
    const { maxAgeMs, random } = this.#context;
    return maxAgeMs * READ_AGE_SHARE * (1 + READ_AGE_SPREAD * random.fraction());
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
