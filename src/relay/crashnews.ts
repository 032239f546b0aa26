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

/**
 * What is new in evidence: a crash, something else about one, or no more than its time, which each
 * report shows to be a little earlier.
 */
export type EvidenceChange = 'crash' | 'detail' | 'time';

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

/** Whether a subject of a crash was answered between two states of the evidence. */
function answersChanged(
  before: CrashEvidence['answers'],
  after: CrashEvidence['answers'],
): (crash: Crash) => boolean {
  if (before === after) return () => false;
  const changed = [...after].filter(([subject, at]) => before.get(subject) !== at)
    .map(([subject]) => subject);
  return (crash) => changed.some((subject) => subjectsOf(crash).has(subject));
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
   * Notes which crashes, or answers to their requests, are new. What is learnt of known ones can
   * wait for the next message: each victim changes it at every instance.
   */
  update(previous: CrashEvidence, { crashes, answers }: CrashEvidence): EvidenceChange {
    const now = this.#scheduler.now();
    const servers = new Set(crashes.map(({ server }) => server));
    [...this.#changedAt.keys()].filter((server) => !servers.has(server))
      .forEach((server) => this.#changedAt.delete(server));
    let isNew = false;
    const unchanged = new Set(previous.crashes);
    const isAnswered = answersChanged(previous.answers, answers);
    const changed = crashes.filter((crash) => {
      if (unchanged.has(crash)) return isAnswered(crash);
      const known = previous.crashes.find((other) => isSameCrash(other, crash));
      isNew ||= !known;
      return !known || !isSameState(known, crash) || isAnswered(crash);
    });
    changed.forEach(({ server }) => this.#changedAt.set(server, now));
    if (isNew) return 'crash';
    return changed.length > 0 ? 'detail' : 'time';
  }

  /** What a message tells. */
  reports(
    evidence: CrashEvidence,
    isQuarantined: (server: string) => boolean,
  ): readonly CrashReport[] {
    const now = this.#scheduler.now();
    const lasting = evidence.crashes
      .filter(({ at }) => at > now - EVIDENCE_MS + EXPIRY_MARGIN_MS);
    const changedAt = ({ server }: Crash) => this.#changedAt.get(server) ?? -Infinity;
    const news = lasting.filter((crash) => changedAt(crash) > now - NEWS_MS)
      .sort((left, right) => changedAt(right) - changedAt(left)).slice(0, MAX_NEWS);
    // Repeated, one by one, for instances that have just started.
    const known = this.#random.shuffled(lasting.filter((crash) => !news.includes(crash)));
    const quarantined = known.find(({ server }) => isQuarantined(server));
    const repeated = [...new Set([known[0], quarantined])].filter((crash) => crash !== undefined);
    return [...repeated, ...news].map((crash) => reportOf(crash, evidence, now));
  }
}
