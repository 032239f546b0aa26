/**
 * Keeps requests that crash engines away from them. A request whose connection breaks before its
 * first event is evidence against its prompt's parts once the engine is found to be down or
 * restarted. Instances pass the evidence on to each other in their messages.
 */
import { interval, Subject } from 'rxjs';
import type { Observable, SchedulerLike, Subscription } from 'rxjs';
import { LRUCache } from 'lru-cache';
import { hash64 } from '../common/hash.js';
import type { Log, LogFields } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import {
  EVIDENCE_MS, isSameCrash, NO_EVIDENCE, quarantineOf, quarantines, withAnswer, withCrash,
  withoutExpired,
} from '../limits/crashevidence.js';
import type { Crash, CrashEvidence, Quarantine } from '../limits/crashevidence.js';
import type { RequestFields } from './dialect.js';
import { identify } from './identity.js';
import type { Identity, IdentityContext } from './identity.js';
import type { ServerEntry } from './serverentry.js';

const EXPIRY_INTERVAL_MS = 1_000;
/** Parts whose last answer is remembered. */
const MAX_ANSWERED_PARTS = 4_096;
/** How long a change is in every message, so that it reaches all instances within a second. */
const NEWS_MS = 2_000;
/** New changes in a message, besides a crash of a quarantine and another one. */
const MAX_NEWS = 3;
/** Crashes are no longer passed on this long before they are forgotten, so that none comes back. */
const EXPIRY_MARGIN_MS = 10_000;

/** A crash in a message between instances; times are ages. */
export interface CrashReport {
  readonly server: string;
  readonly ageMs: number;
  readonly started: boolean;
  readonly previous: readonly string[];
  /** The parts, each with the age of its last answer if one is known. */
  readonly parts: readonly { readonly part: string; readonly answerAgeMs: number | undefined }[];
}

/** Why a request must not be sent to an engine, and the inputs of that decision for the log. */
export interface Rejection { readonly refusal: Refusal; readonly inputs: LogFields }

export interface QuarantineContext {
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly identity: IdentityContext;
  /** Called when other instances should learn of a change soon. */
  readonly onUrgentChange: () => void;
}

/** Identifies the parts that other requests may share, for the model that reads them. */
function sharedParts({ model, parts }: RequestFields): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => hash64(`${model ?? ''}\n${id}`));
}

/** Whether a server whose connection broke is down, or another process has taken its place. */
function hasCrashed(server: ServerEntry, identity: Identity): boolean {
  switch (identity.kind) {
    case 'unreached': return true;
    case 'reached': return false;
    case 'known': return identity.id !== server.id;
  }
}

export class Quarantines {
  readonly #context: QuarantineContext;

  #evidence: CrashEvidence = NO_EVIDENCE;

  #found: readonly Quarantine[] = [];

  /** When requests with a part were last answered by way of this instance. */
  readonly #answeredAt = new LRUCache<string, number>({ max: MAX_ANSWERED_PARTS });

  /** When something new was learnt about a crash, by its server. */
  readonly #changedAt = new Map<string, number>();

  /** Requests that were lost with a server whose crash is not confirmed yet. */
  readonly #unconfirmed = new Map<string, Omit<Crash, 'server'>[]>();

  readonly #changes = new Subject<void>();

  private constructor(context: QuarantineContext) {
    this.#context = context;
  }

  static of(context: QuarantineContext): Quarantines {
    return new Quarantines(context);
  }

  /** Emits when other requests than before are to be refused. */
  get changes(): Observable<void> {
    return this.#changes;
  }

  get found(): readonly Quarantine[] {
    return this.#found;
  }

  /** Forgets old evidence until the subscription ends. */
  start(): Subscription {
    return interval(EXPIRY_INTERVAL_MS, this.#context.scheduler)
      .subscribe(() => this.#update(withoutExpired(this.#evidence, this.#now())));
  }

  /** Why a request may not be sent to an engine, with the inputs; undefined if it may. */
  check(fields: RequestFields): Rejection | undefined {
    if (this.#found.length === 0) return undefined;
    const quarantine = quarantineOf(this.#found, sharedParts(fields));
    if (!quarantine) return undefined;
    const { parts, crashes, until } = quarantine;
    return {
      refusal: {
        code: 'query_of_death',
        message: `${crashes.length} engines crashed on requests with a part of this prompt`,
        ran: 'no',
        retryAfterMs: Math.max(0, Math.ceil(until - this.#now())),
      },
      inputs: {
        quarantined: parts.join(','),
        crashed: crashes.map(({ server }) => server).join(','),
        last_crash_ms_ago: Math.round(this.#now() - crashes.at(-1)!.at),
      },
    };
  }

  /** Records the first event of a request. */
  markAnswered(fields: RequestFields): void {
    const now = this.#now();
    sharedParts(fields).forEach((part) => {
      this.#answeredAt.set(part, now);
      this.#update(withAnswer(this.#evidence, part, now));
    });
  }

  /**
   * Called when the connection of a request broke before its first event.
   */
  markBroken(
    server: ServerEntry,
    fields: RequestFields,
    { started, previous }: Pick<Crash, 'started' | 'previous'>,
  ): void {
    const parts = sharedParts(fields);
    if (!started && parts.length === 0) return;
    const lost = {
      at: this.#now(), started, parts, previous,
    };
    const unconfirmed = this.#unconfirmed.get(server.id);
    if (unconfirmed) {
      unconfirmed.push(lost);
      return;
    }
    this.#unconfirmed.set(server.id, [lost]);
    identify(server, this.#context.identity).then((identity) => {
      if (hasCrashed(server, identity)) this.#recordCrash(server.id);
    }, (error: unknown) => {
      const reason = String(error);
      this.#context.log.event('error', 'probe_failed', { server: server.id, reason });
    }).finally(() => this.#unconfirmed.delete(server.id));
  }

  #recordCrash(server: string): void {
    const lost = this.#unconfirmed.get(server) ?? [];
    this.#context.log.event('info', 'crash_recorded', {
      server, requests: lost.length, started: lost.filter(({ started }) => started).length,
    });
    lost.forEach((crash) => this.#addCrash({ ...crash, server }));
  }

  #addCrash(crash: Crash): void {
    const known = crash.parts.flatMap((part) => {
      const at = this.#answeredAt.get(part);
      return at === undefined || at <= this.#now() - EVIDENCE_MS ? [] : [{ part, at }];
    });
    this.#update(known.reduce(
      (evidence, { part, at }) => withAnswer(evidence, part, at),
      withCrash(this.#evidence, crash, this.#now()),
    ));
  }

  /** What a message tells other instances. */
  get reports(): readonly CrashReport[] {
    const { random } = this.#context;
    const now = this.#now();
    const { crashes } = this.#evidence;
    const lasting = crashes.filter(({ at }) => at > now - EVIDENCE_MS + EXPIRY_MARGIN_MS);
    const changedAt = ({ server }: Crash) => this.#changedAt.get(server) ?? -Infinity;
    const news = lasting.filter((crash) => changedAt(crash) > now - NEWS_MS)
      .sort((left, right) => changedAt(right) - changedAt(left)).slice(0, MAX_NEWS);
    // Repeated, one by one, for instances that have just started.
    const known = random.shuffled(lasting.filter((crash) => !news.includes(crash)));
    const quarantined = known.find((crash) => this.#isQuarantined(crash));
    const repeated = [...new Set([known[0], quarantined])].filter((crash) => crash !== undefined);
    return [...repeated, ...news].map((crash) => this.#reportOf(crash, now));
  }

  #isQuarantined(crash: Crash): boolean {
    return this.#found.some(({ crashes }) => crashes.includes(crash));
  }

  #reportOf({
    server, at, started, parts, previous,
  }: Crash, now: number): CrashReport {
    const { answers } = this.#evidence;
    return {
      server,
      // Rounded down, so that the time doesn't become earlier with each message.
      ageMs: Math.floor(now - at),
      started,
      parts: parts.map((part) => {
        const answeredAt = answers.get(part);
        return { part, answerAgeMs: answeredAt && Math.round(now - answeredAt) };
      }),
      previous,
    };
  }

  /** Adds what another instance reports. */
  adopt(reports: readonly CrashReport[]): void {
    const now = this.#now();
    reports.forEach(({
      server, ageMs, started, parts, previous,
    }) => {
      this.#addCrash({
        server,
        at: now - ageMs,
        started,
        parts: parts.map(({ part }) => part),
        previous,
      });
      parts.forEach(({ part, answerAgeMs }) => {
        if (answerAgeMs === undefined) return;
        this.#update(withAnswer(this.#evidence, part, now - answerAgeMs));
      });
    });
  }

  #update(evidence: CrashEvidence): void {
    if (evidence === this.#evidence) return;
    const previous = this.#evidence;
    this.#evidence = evidence;
    this.#markChanged(previous);
    this.#setFound(quarantines(evidence));
  }

  /** Notes which crashes, or answers to their parts, are new. */
  #markChanged(previous: CrashEvidence): void {
    const now = this.#now();
    const { crashes, answers } = this.#evidence;
    const servers = new Set(crashes.map(({ server }) => server));
    [...this.#changedAt.keys()].filter((server) => !servers.has(server))
      .forEach((server) => this.#changedAt.delete(server));
    const changed = crashes.filter((crash) => {
      const known = previous.crashes.find(({ server }) => server === crash.server);
      return !known || !isSameCrash(known, crash)
        || crash.parts.some((part) => answers.get(part) !== previous.answers.get(part));
    });
    changed.forEach(({ server }) => this.#changedAt.set(server, now));
    if (changed.length > 0) this.#context.onUrgentChange();
  }

  #setFound(found: readonly Quarantine[]): void {
    const { log } = this.#context;
    const names = (list: readonly Quarantine[]) => list.map(({ parts }) => parts.join(','));
    const before = names(this.#found);
    const after = names(found);
    this.#found = found;
    found.filter((_, index) => !before.includes(after[index]!))
      .forEach(({ parts, crashes, until }) => log.event('warn', 'parts_quarantined', {
        parts: parts.join(','),
        crashed: crashes.map(({ server }) => server).join(','),
        for_ms: Math.round(until - this.#now()),
      }));
    before.filter((parts) => !after.includes(parts))
      .forEach((parts) => log.event('info', 'parts_released', { parts }));
    if (before.join(';') !== after.join(';')) this.#changes.next();
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
