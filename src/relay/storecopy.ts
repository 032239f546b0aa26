/**
 * This instance's copy of one kind of objects in the store: the objects with their versions,
 * whether the store answers, and how current the copy is.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { FollowEvent } from '../store/follow.js';
import type { Listing } from '../store/objects.js';
import { SeenVersions } from '../store/versions.js';
import type { StoreChange } from '../store/versions.js';
import {
  isBehind, NEVER_CONFIRMED, withConfirmation, withReport,
} from './freshness.js';
import type { CopyReport } from './freshness.js';

export interface StoreCopyContext {
  readonly kind: string;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
}

export class StoreCopy {
  readonly #context: StoreCopyContext;

  readonly versions = SeenVersions.of();

  #freshness = NEVER_CONFIRMED;

  /** When the store last answered. */
  #heardAt: number;

  /** When the store's outage began; undefined while it answers. */
  #lostAt: number | undefined;

  private constructor(context: StoreCopyContext) {
    this.#context = context;
    this.#heardAt = this.#now();
  }

  static of(context: StoreCopyContext): StoreCopy {
    return new StoreCopy(context);
  }

  /** Time since the store last answered. */
  get silentMs(): number {
    return this.#now() - this.#heardAt;
  }

  /** Time since the copy was last confirmed; infinite if it never was. */
  get ageMs(): number {
    return this.#now() - this.#freshness.confirmedAt;
  }

  /** What other instances are told; undefined until the copy has been confirmed. */
  get report(): CopyReport | undefined {
    const { ageMs, versions: { newestChange } } = this;
    return Number.isFinite(ageMs) ? { newestChange, ageMs: Math.ceil(ageMs) } : undefined;
  }

  /** Compares the copy with another instance's; returns whether it is behind that one. */
  compare(report: CopyReport): boolean {
    const { position } = this.versions;
    const now = this.#now();
    this.#freshness = withReport(this.#freshness, report, position, now);
    return isBehind(this.#freshness, position, now);
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
      if (this.#lostAt !== undefined) return undefined;
      this.#lostAt = now;
      const { code, message } = event.error;
      log.event('warn', 'store_lost', { kind, code, reason: message });
    }
    if (event.kind !== 'heard') return undefined;
    const { ageMs } = this;
    const lostAt = this.#lostAt;
    this.#heardAt = now;
    this.#lostAt = undefined;
    this.#freshness = withConfirmation(this.#freshness, event.at);
    if (lostAt === undefined) return undefined;
    log.event('info', 'store_regained', { kind, after_ms: Math.round(now - lostAt) });
    return Math.min(ageMs, now - lostAt);
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
