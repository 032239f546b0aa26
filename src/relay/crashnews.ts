/**
 * Selects which crashes a message tells other instances: the newest changes for a while, and others
 * in turn for instances that have just started.
 */
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import {
  EVIDENCE_MS, isSameCrash, isSameState, subjectsOf,
} from '../limits/crashevidence.js';
import type { Crash, CrashEvidence } from '../limits/crashevidence.js';

/** How long a change is in every message, so that it reaches all instances within a second. */
const NEWS_MS = 2_000;
/** New changes in a message, besides a crash of a quarantine and another one. */
const MAX_NEWS = 3;
/** Crashes are no longer passed on this long before they are forgotten, so that none comes back. */
const EXPIRY_MARGIN_MS = 10_000;

/** A prompt part or a request, with the age of its last answer if one is known. */
export interface AnswerReport {
  readonly subject: string;
  readonly answerAgeMs: number | undefined;
}

/** A crash in a message between instances; times are ages. */
export interface CrashReport {
  readonly server: string;
  readonly ageMs: number;
  /** Since the server was last seen to run before the crash; undefined if that isn't known. */
  readonly aliveAgeMs: number | undefined;
  readonly started: boolean;
  readonly previous: readonly string[];
  readonly parts: readonly AnswerReport[];
  readonly requests: readonly AnswerReport[];
}

function reportOf({
  server, at, aliveAt, started, parts, requests, previous,
}: Crash, { answers }: CrashEvidence, now: number): CrashReport {
  const answerOf = (subject: string): AnswerReport => {
    const answeredAt = answers.get(subject);
    return { subject, answerAgeMs: answeredAt && Math.round(now - answeredAt) };
  };
  return {
    server,
    // Rounded down, so that the time doesn't become earlier with each message.
    ageMs: Math.floor(now - at),
    aliveAgeMs: Number.isFinite(aliveAt) ? Math.ceil(now - aliveAt) : undefined,
    started,
    parts: parts.map(answerOf),
    requests: requests.map(answerOf),
    previous,
  };
}

export class CrashNews {
  readonly #scheduler: SchedulerLike;

  readonly #random: Random;

  /** When something new was learnt about a crash, by its server. */
  readonly #changedAt = new Map<string, number>();

  private constructor(scheduler: SchedulerLike, random: Random) {
    this.#scheduler = scheduler;
    this.#random = random;
  }

  static of(scheduler: SchedulerLike, random: Random): CrashNews {
    return new CrashNews(scheduler, random);
  }

  /**
   * Notes which crashes, or answers to their requests, are new; returns whether a crash is. What is
   * learnt of known ones can wait for the next message: each victim changes it at every instance.
   */
  update(previous: CrashEvidence, { crashes, answers }: CrashEvidence): boolean {
    const now = this.#scheduler.now();
    const servers = new Set(crashes.map(({ server }) => server));
    [...this.#changedAt.keys()].filter((server) => !servers.has(server))
      .forEach((server) => this.#changedAt.delete(server));
    let isNew = false;
    const changed = crashes.filter((crash) => {
      const known = previous.crashes.find((other) => isSameCrash(other, crash));
      isNew ||= !known;
      return !known || !isSameState(known, crash) || subjectsOf(crash).some((subject) => (
        answers.get(subject) !== previous.answers.get(subject)));
    });
    changed.forEach(({ server }) => this.#changedAt.set(server, now));
    return isNew;
  }

  /** What a message tells. */
  reports(
    evidence: CrashEvidence,
    isQuarantined: (crash: Crash) => boolean,
  ): readonly CrashReport[] {
    const now = this.#scheduler.now();
    const lasting = evidence.crashes
      .filter(({ at }) => at > now - EVIDENCE_MS + EXPIRY_MARGIN_MS);
    const changedAt = ({ server }: Crash) => this.#changedAt.get(server) ?? -Infinity;
    const news = lasting.filter((crash) => changedAt(crash) > now - NEWS_MS)
      .sort((left, right) => changedAt(right) - changedAt(left)).slice(0, MAX_NEWS);
    // Repeated, one by one, for instances that have just started.
    const known = this.#random.shuffled(lasting.filter((crash) => !news.includes(crash)));
    const quarantined = known.find(isQuarantined);
    const repeated = [...new Set([known[0], quarantined])].filter((crash) => crash !== undefined);
    return [...repeated, ...news].map((crash) => reportOf(crash, evidence, now));
  }
}
