/**
 * Keeps requests that crash servers away from them. A request whose connection breaks before its
 * response, or before its stream has run for some time, is evidence against it, and against its
 * prompt's parts, once the server is found to be down or restarted. Instances pass the evidence on
 * to each other in their messages.
 */
import { interval } from 'rxjs';
import type { Observable, SchedulerLike, Subscription } from 'rxjs';
import { LRUCache } from 'lru-cache';
import { hash64 } from '../common/hash.js';
import type { Log, LogFields } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import {
  EVIDENCE_MS, NO_EVIDENCE, subjectsOf, withAnswer, withCrash, withoutExpired, withoutPrompt,
} from '../limits/crashevidence.js';
import type { Crash, CrashEvidence } from '../limits/crashevidence.js';
import { nameOf, quarantineOf } from '../limits/quarantine.js';
import type { Quarantine } from '../limits/quarantine.js';
import { QuarantineSearch } from '../limits/quarantinesearch.js';
import type { InputHorizon } from '../liveness/inputhorizon.js';
import type { AttemptStage } from './attemptplan.js';
import type { Call } from './call.js';
import type { CrashCheck } from './crashcheck.js';
import { CrashNews } from './crashnews.js';
import type { CrashReport } from './crashnews.js';
import type { RequestFields } from './dialect.js';
import { fingerprintOf } from './fingerprint.js';
import type { ServerEntry } from './serverentry.js';

const EXPIRY_INTERVAL_MS = 1_000;
/** Parts, and requests, whose last answer is remembered. */
const MAX_ANSWERED = 4_096;
/** Requests that are kept for a server whose crash is not confirmed yet. */
const MAX_UNCONFIRMED = 32;
/** Why a request must not be sent to an engine, and the inputs of that decision for the log. */
export interface Rejection { readonly refusal: Refusal; readonly inputs: LogFields }

/** An attempt that was lost with its server. */
export interface LostAttempt extends Pick<Crash, 'previous' | 'aliveAt'> {
  readonly stage: AttemptStage;
  /** Whether the request has run soundly before, and so its prompt is not the cause. */
  readonly hasRun: boolean;
}

export interface QuarantineContext {
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly crashCheck: Pick<CrashCheck, 'hasCrashed'>;
  /** How long a message that is read now may have waited. */
  readonly horizon: Pick<InputHorizon, 'delayMs'>;
  /** Called when other instances should learn of a change soon. */
  readonly onUrgentChange: () => void;
}

/** Identifies the parts that other requests may share, for the model that reads them. */
function sharedParts({ model, parts }: RequestFields): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => hash64(`${model ?? ''}\n${id}`));
}

function refusalMessage({ kind, crashes: { length } }: Quarantine): string {
  switch (kind) {
    case 'parts': return `${length} engines crashed on requests with a part of this prompt`;
    case 'request': return `${length} servers crashed on this request`;
  }
}

export class Quarantines {
  readonly #context: QuarantineContext;

  #evidence: CrashEvidence = NO_EVIDENCE;

  readonly #search: QuarantineSearch;

  /** When requests with a part were last answered by way of this instance. */
  readonly #partAnsweredAt = new LRUCache<string, number>({ max: MAX_ANSWERED });

  /** When a request was last answered by way of this instance. */
  readonly #requestAnsweredAt = new LRUCache<string, number>({ max: MAX_ANSWERED });

  readonly #news: CrashNews;

  /** Requests that were lost with a server whose crash is not confirmed yet. */
  readonly #unconfirmed = new Map<string, Omit<Crash, 'server'>[]>();

  private constructor(context: QuarantineContext) {
    this.#context = context;
    this.#news = CrashNews.of(context.scheduler, context.random);
    this.#search = QuarantineSearch.of(context, () => this.#evidence);
  }

  static of(context: QuarantineContext): Quarantines {
    return new Quarantines(context);
  }

  /** Emits when other requests than before are to be refused. */
  get changes(): Observable<void> {
    return this.#search.changes;
  }

  get found(): readonly Quarantine[] {
    return this.#search.found;
  }

  /** Forgets old evidence until the subscription ends. */
  start(): Subscription {
    return interval(EXPIRY_INTERVAL_MS, this.#context.scheduler)
      .subscribe(() => {
        this.#update(withoutExpired(this.#evidence, this.#now()));
        this.#search.run();
      });
  }

  /** Why a request may not be sent to a server, with the inputs; undefined if it may. */
  check(call: Call): Rejection | undefined {
    const { found } = this;
    if (found.length === 0) return undefined;
    const subject = { parts: sharedParts(call.fields), request: fingerprintOf(call) };
    const quarantine = quarantineOf(found, subject);
    if (!quarantine) return undefined;
    const { crashes, until } = quarantine;
    return {
      refusal: {
        code: 'query_of_death',
        message: refusalMessage(quarantine),
        ran: 'no',
        retryAfterMs: Math.max(0, Math.ceil(until - this.#now())),
      },
      inputs: {
        quarantined: nameOf(quarantine),
        crashed: crashes.map(({ server }) => server).join(','),
        last_crash_ms_ago: Math.round(this.#now() - crashes.at(-1)!.at),
      },
    };
  }

  /** Records a response, or a stream that has run for some time: its first event shows nothing. */
  markAnswered(call: Call): void {
    const now = this.#now();
    const parts = sharedParts(call.fields);
    const request = fingerprintOf(call);
    const requests = [request, withoutPrompt(request)];
    parts.forEach((part) => this.#partAnsweredAt.set(part, now));
    requests.forEach((fingerprint) => this.#requestAnsweredAt.set(fingerprint, now));
    this.#update([...parts, ...requests].reduce(
      (evidence, subject) => withAnswer(evidence, subject, now),
      this.#evidence,
    ));
  }

  /**
   * Called when the connection of a request broke before its response, or soon after its stream
   * began.
   */
  markBroken(
    server: ServerEntry,
    call: Call,
    {
      stage, previous, aliveAt, hasRun,
    }: LostAttempt,
  ): void {
    const lost = {
      at: this.#now(),
      aliveAt,
      started: stage !== 'waiting',
      parts: hasRun ? [] : sharedParts(call.fields),
      requests: [fingerprintOf(call)],
      previous,
    };
    const unconfirmed = this.#unconfirmed.get(server.id);
    if (unconfirmed) {
      if (unconfirmed.length < MAX_UNCONFIRMED) unconfirmed.push(lost);
      return;
    }
    this.#unconfirmed.set(server.id, [lost]);
    this.#context.crashCheck.hasCrashed(server).then((crashed) => {
      if (crashed) this.#recordCrash(server.id);
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
    this.#update(lost.reduce(
      (evidence, crash) => this.#withCrash(evidence, { ...crash, server }),
      this.#evidence,
    ));
  }

  /** Adds a crash, and the answers to its requests that this instance has seen. */
  #withCrash(evidence: CrashEvidence, crash: Crash): CrashEvidence {
    const now = this.#now();
    const added = withCrash(evidence, crash, now);
    if (added === evidence) return evidence;
    return [...subjectsOf(crash)].reduce((answered, subject) => {
      const at = this.#partAnsweredAt.get(subject) ?? this.#requestAnsweredAt.get(subject);
      return at === undefined || at <= now - EVIDENCE_MS
        ? answered : withAnswer(answered, subject, at);
    }, added);
  }

  /** What a message tells other instances. */
  get reports(): readonly CrashReport[] {
    const servers = new Set(this.found.flatMap(({ crashes }) => (
      crashes.map(({ server }) => server))));
    return this.#news.reports(this.#evidence, (server) => servers.has(server));
  }

  /** Adds what another instance reports. */
  adopt(reports: readonly CrashReport[]): void {
    this.#update(reports.reduce(
      (evidence, report) => this.#withReport(evidence, report),
      this.#evidence,
    ));
  }

  #withReport(
    evidence: CrashEvidence,
    {
      server, ageMs, aliveAgeMs, started, parts, requests, previous,
    }: CrashReport,
  ): CrashEvidence {
    const { horizon } = this.#context;
    const now = this.#now();
    const crash = {
      server,
      at: now - ageMs,
      // Of a message that was read late, this time would be after the crash.
      aliveAt: now - (aliveAgeMs ?? Infinity) - horizon.delayMs,
      started,
      parts: parts.map(({ subject }) => subject),
      requests: requests.map(({ subject }) => subject),
      previous,
    };
    return [...parts, ...requests].reduce((answered, { subject, answerAgeMs }) => {
      if (answerAgeMs === undefined) return answered;
      const at = now - answerAgeMs;
      return withAnswer(withAnswer(answered, subject, at), withoutPrompt(subject), at);
    }, this.#withCrash(evidence, crash));
  }

  #update(evidence: CrashEvidence): void {
    if (evidence === this.#evidence) return;
    const previous = this.#evidence;
    this.#evidence = evidence;
    const change = this.#news.update(previous, evidence);
    switch (change) {
      case 'crash':
        this.#context.onUrgentChange();
        this.#search.schedule();
        break;
      case 'detail':
        this.#search.schedule();
        break;
      // A few milliseconds can wait until expired evidence is looked for.
      case 'time': break;
    }
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
