/**
 * Keeps requests that crash servers away from them. A request whose connection breaks before its
 * response, or before its stream has run for some time, is evidence against it, and against its
 * prompt's parts, once the server is found to be down or restarted. Instances pass the evidence on
 * to each other in their messages.
 */
import { interval, Subject } from 'rxjs';
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
import { quarantineOf, quarantines } from '../limits/quarantine.js';
import type { Quarantine } from '../limits/quarantine.js';
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
  /** Called when other instances should learn of a change soon. */
  readonly onUrgentChange: () => void;
}

/** Identifies the parts that other requests may share, for the model that reads them. */
function sharedParts({ model, parts }: RequestFields): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => hash64(`${model ?? ''}\n${id}`));
}

/** What a quarantine refuses, for the log. */
function nameOf(quarantine: Quarantine): string {
  switch (quarantine.kind) {
    case 'parts': return quarantine.parts.join(',');
    case 'request': return quarantine.request;
  }
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

  #found: readonly Quarantine[] = [];

  /** When requests with a part were last answered by way of this instance. */
  readonly #partAnsweredAt = new LRUCache<string, number>({ max: MAX_ANSWERED });

  /** When a request was last answered by way of this instance. */
  readonly #requestAnsweredAt = new LRUCache<string, number>({ max: MAX_ANSWERED });

  readonly #news: CrashNews;

  /** Requests that were lost with a server whose crash is not confirmed yet. */
  readonly #unconfirmed = new Map<string, Omit<Crash, 'server'>[]>();

  readonly #changes = new Subject<void>();

  private constructor(context: QuarantineContext) {
    this.#context = context;
    this.#news = CrashNews.of(context.scheduler, context.random);
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

  /** Why a request may not be sent to a server, with the inputs; undefined if it may. */
  check(call: Call): Rejection | undefined {
    if (this.#found.length === 0) return undefined;
    const subject = { parts: sharedParts(call.fields), request: fingerprintOf(call) };
    const quarantine = quarantineOf(this.#found, subject);
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
    sharedParts(call.fields).forEach((part) => {
      this.#partAnsweredAt.set(part, now);
      this.#update(withAnswer(this.#evidence, part, now));
    });
    const request = fingerprintOf(call);
    [request, withoutPrompt(request)].forEach((fingerprint) => {
      this.#requestAnsweredAt.set(fingerprint, now);
      this.#update(withAnswer(this.#evidence, fingerprint, now));
    });
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
    lost.forEach((crash) => this.#addCrash({ ...crash, server }));
  }

  #addCrash(crash: Crash): void {
    const known = subjectsOf(crash).flatMap((subject) => {
      const at = this.#partAnsweredAt.get(subject) ?? this.#requestAnsweredAt.get(subject);
      return at === undefined || at <= this.#now() - EVIDENCE_MS ? [] : [{ subject, at }];
    });
    this.#update(known.reduce(
      (evidence, { subject, at }) => withAnswer(evidence, subject, at),
      withCrash(this.#evidence, crash, this.#now()),
    ));
  }

  /** What a message tells other instances. */
  get reports(): readonly CrashReport[] {
    return this.#news.reports(this.#evidence, (crash) => (
      this.#found.some(({ crashes }) => crashes.includes(crash))));
  }

  /** Adds what another instance reports. */
  adopt(reports: readonly CrashReport[]): void {
    const now = this.#now();
    reports.forEach(({
      server, ageMs, aliveAgeMs, started, parts, requests, previous,
    }) => {
      this.#addCrash({
        server,
        at: now - ageMs,
        aliveAt: now - (aliveAgeMs ?? Infinity),
        started,
        parts: parts.map(({ subject }) => subject),
        requests: requests.map(({ subject }) => subject),
        previous,
      });
      [...parts, ...requests].forEach(({ subject, answerAgeMs }) => {
        if (answerAgeMs === undefined) return;
        const at = now - answerAgeMs;
        this.#update(withAnswer(this.#evidence, subject, at));
        this.#update(withAnswer(this.#evidence, withoutPrompt(subject), at));
      });
    });
  }

  #update(evidence: CrashEvidence): void {
    if (evidence === this.#evidence) return;
    const previous = this.#evidence;
    this.#evidence = evidence;
    if (this.#news.update(previous, evidence)) this.#context.onUrgentChange();
    this.#setFound(quarantines(evidence));
  }

  #setFound(found: readonly Quarantine[]): void {
    const { log } = this.#context;
    const before = this.#found;
    this.#found = found;
    const isIn = (list: readonly Quarantine[], quarantine: Quarantine) => (
      list.some((other) => nameOf(other) === nameOf(quarantine)));
    const added = found.filter((quarantine) => !isIn(before, quarantine));
    const removed = before.filter((quarantine) => !isIn(found, quarantine));
    added.forEach((quarantine) => {
      const { kind, crashes, until } = quarantine;
      log.event('warn', kind === 'parts' ? 'parts_quarantined' : 'request_quarantined', {
        [kind]: nameOf(quarantine),
        crashed: crashes.map(({ server }) => server).join(','),
        for_ms: Math.round(until - this.#now()),
      });
    });
    removed.forEach((quarantine) => {
      const { kind } = quarantine;
      log.event('info', kind === 'parts' ? 'parts_released' : 'request_released', {
        [kind]: nameOf(quarantine),
      });
    });
    if (added.length + removed.length > 0) this.#changes.next();
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
