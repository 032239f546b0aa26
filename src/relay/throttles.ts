/**
 * Keeps the requests of all instances together within the rate limits that servers name. Each
 * instance sends its share; instances tell each other which limited servers they use, so that those
 * that use one share what the others leave.
 */
import type { SchedulerLike } from 'rxjs';
import type { LogFields } from '../common/log.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { largest, samplesSince, withSample } from '../limits/slidingmax.js';
import type { SlidingMax } from '../limits/slidingmax.js';
import {
  emptyThrottle, permitDelayMs, shareOf, withRequest, withShare,
} from '../limits/throttle.js';
import type { Throttle, Users } from '../limits/throttle.js';
import type { AdvertisedLimits, LimitReport } from './advertisedlimits.js';
import type { Admission, Candidate } from './selection.js';
import type { ServerEntry } from './serverentry.js';
import { sameProcess } from './serverstate.js';

/** How long an instance counts as using a server after it last wanted to send a request there. */
const USE_MS = 2_000;
/**
 * Until the other instances have surely heard that this one uses a server, it takes no more than if
 * all of them did.
 */
const NOTICE_MS = 500;
/** How long instances that are no longer heard of count: longer than most partitions. */
const MEMBERSHIP_WINDOW_MS = 300_000;
/** Instances assumed by one that has seeds and has heard of none: more than usually run. */
const ASSUMED_INSTANCES = 10;
/** `Retry-After` of callers for whom this instance has no share at all. */
const NO_SHARE_RETRY_AFTER_MS = 1_000;

/** A limit as instances tell it, and whether the sender uses the server. */
export interface ThrottleReport extends LimitReport { readonly inUse: boolean }

/** Live instances, and which of them say that they don't use a server. */
export interface LimitPeers {
  readonly heard: readonly string[];
  readonly idle: (entry: ServerEntry) => readonly string[];
}

export interface ThrottlesContext {
  readonly scheduler: SchedulerLike;
  readonly limits: AdvertisedLimits;
  /** Identifies this instance to the others: its IP address. */
  readonly ip: string;
  /** Whether the settings name other instances. */
  readonly hasSeeds: boolean;
  readonly peers: () => LimitPeers;
  /** Called when other instances should learn of a change soon. */
  readonly onUrgentChange: () => void;
}

/** This instance's use of one limited server. */
interface Use {
  readonly entry: ServerEntry;
  readonly throttle: Throttle;
  /** Start of the current period of use. */
  readonly since: number;
  readonly lastAt: number;
}

function isInUse(use: Use | undefined, now: number): boolean {
  return use !== undefined && now - use.lastAt < USE_MS;
}

export class Throttles {
  readonly #context: ThrottlesContext;

  readonly #uses = new Map<string, Use>();

  /** When the last caller that was refused may come back, by service. */
  readonly #lastRetryAt = new Map<string, number>();

  /** Numbers of live instances. */
  #instances: SlidingMax = [];

  #hasHeardOthers: boolean;

  private constructor(context: ThrottlesContext) {
    this.#context = context;
    this.#hasHeardOthers = !context.hasSeeds;
  }

  static of(context: ThrottlesContext): Throttles {
    return new Throttles(context);
  }

  /** Records how many instances, this one included, this instance hears of. */
  countInstances(count: number): void {
    const now = this.#now();
    // An instance that hears of no other can't tell whether they are gone.
    const value = count === 1 ? largest(this.#instances, 1) : count;
    const recent = samplesSince(this.#instances, now - MEMBERSHIP_WINDOW_MS);
    this.#instances = withSample(recent, value, now);
  }

  /** Records how many instances another one hears of. */
  adoptCount(count: number): void {
    this.#hasHeardOthers = true;
    this.#instances = withSample(this.#instances, count, this.#now());
  }

  /** When a request may be sent to a server. An instance that asks counts as using the server. */
  admission(entry: ServerEntry): Admission {
    const perSecond = this.#context.limits.perSecond(entry);
    if (perSecond === undefined) {
      this.#uses.delete(entry.id);
      return { isLimited: false, delayMs: 0 };
    }
    const now = this.#now();
    const { throttle, since } = this.#useOf(entry, now);
    const users = this.#users(entry, now - since >= NOTICE_MS);
    const current = withShare(throttle, shareOf(perSecond, entry.id, users), now);
    this.#uses.set(entry.id, {
      entry, throttle: current, since, lastAt: now,
    });
    return { isLimited: true, delayMs: permitDelayMs(current) };
  }

  /** Counts a request that is sent to a server. */
  take(entry: ServerEntry): void {
    const use = this.#uses.get(entry.id);
    if (!use || !sameProcess(use.entry, entry)) return;
    this.#uses.set(entry.id, { ...use, throttle: withRequest(use.throttle) });
  }

  /**
   * When a caller may come back for whom every server is at its limit. Turns are given one after
   * another at this instance's share; a caller whose deadline comes first takes none.
   */
  retryAfterMs(service: string, candidates: readonly Candidate[], remainingMs: number): number {
    const now = this.#now();
    const delayMs = Math.min(...candidates.map((candidate) => candidate.delayMs));
    if (!Number.isFinite(delayMs)) return NO_SHARE_RETRY_AFTER_MS;
    const perSecond = candidates.reduce((sum, { server }) => (
      sum + (this.#uses.get(server.entry.id)?.throttle.share ?? 0)), 0);
    // Servers that are held back for another reason name no limit.
    if (perSecond === 0) return Math.ceil(delayMs);
    const next = (this.#lastRetryAt.get(service) ?? 0) + MILLISECONDS_PER_SECOND / perSecond;
    const retryAt = Math.max(now + delayMs, next);
    if (retryAt <= now + remainingMs) this.#lastRetryAt.set(service, retryAt);
    return Math.ceil(retryAt - now);
  }

  /** What a message tells other instances. */
  get reports(): readonly ThrottleReport[] {
    const now = this.#now();
    const { reports } = this.#context.limits;
    this.#forgetUnlimited(new Set(reports.map(({ server }) => server)));
    return reports.map((report) => ({
      ...report, inUse: isInUse(this.#uses.get(report.server), now),
    }));
  }

  /** What is known of a server's limit, for the log. */
  fields(entry: ServerEntry): LogFields {
    const perSecond = this.#context.limits.perSecond(entry);
    const throttle = this.#uses.get(entry.id)?.throttle;
    if (perSecond === undefined || !throttle) return {};
    return {
      limit_per_second: perSecond,
      share_per_second: throttle.share.toFixed(2),
      instances: this.#instanceCount,
    };
  }

  /** Forgets the use of servers that are gone or name no limit any more. */
  #forgetUnlimited(limited: ReadonlySet<string>): void {
    [...this.#uses.keys()].filter((id) => !limited.has(id)).forEach((id) => this.#uses.delete(id));
  }

  #useOf(entry: ServerEntry, now: number): Use {
    const known = this.#uses.get(entry.id);
    const use = known && sameProcess(known.entry, entry) ? known : undefined;
    if (use && isInUse(use, now)) return use;
    this.#context.onUrgentChange();
    return {
      entry, throttle: use?.throttle ?? emptyThrottle(now), since: now, lastAt: now,
    };
  }

  get #instanceCount(): number {
    const assumed = this.#hasHeardOthers ? 1 : ASSUMED_INSTANCES;
    return largest(this.#instances, assumed);
  }

  /** @param isNoticed whether the others know that this instance uses the server */
  #users(entry: ServerEntry, isNoticed: boolean): Users {
    const { heard, idle } = this.#context.peers();
    const idlePeers = isNoticed ? idle(entry) : [];
    return {
      self: this.#context.ip,
      others: heard.filter((peer) => !idlePeers.includes(peer)),
      unheard: Math.max(0, this.#instanceCount - 1 - heard.length),
    };
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
