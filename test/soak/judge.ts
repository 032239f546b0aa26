/** Judges a run only by what clients and servers saw and by how the processes ended. */
import { answerBody, eventText } from '../fakes/scriptedengine.js';
import type { EngineRecord, Run } from '../fakes/enginerecord.js';
import type { RelayProcess } from '../fakes/relayprocess.js';
import type { Outcome } from './client.js';
import { GRACE_MS } from './plan.js';

/** Statuses that promise that a request has not run and won't run. */
const NOT_RUN: readonly number[] = [408, 421, 429, 503];
const OK = 200;
/** What the relay may need beyond a bound, on a machine with nothing else to do. */
const SLACK_MS = 300;
/** A stream sent later after the signal has to end in time, or not to begin. */
const LATEST_EXCUSED_MS = 3_000;
/** Work that a server is still at in the last sixth of the grace period may be cut off. */
const EXCUSED_FROM_MS = (GRACE_MS * 5) / 6;
const CUT_AT_MS = GRACE_MS - 150;

/** Time within which the end of a run and the limit of a stop may cross. */
const CROSSING_MS = 100;

export interface Span { readonly from: number; readonly to: number }

/** One process, and what was done to it. */
export interface Incarnation {
  readonly process: RelayProcess;
  /** When it was first told to stop; Infinity if it wasn't. */
  stoppedAt: number;
  /** Whether it was ready before that. */
  wasReady: boolean;
  readonly frozen: Span[];
  /** When it could not reach the servers. */
  readonly cuts: Span[];
  /** Whether it had to be killed after the grace period. */
  wasKilled: boolean;
}

export interface Finding {
  readonly what: string;
  readonly request: string | undefined;
  readonly detail: string;
}

/** Milliseconds of the spans between two times. */
export function overlap(spans: readonly Span[], from: number, to: number): number {
  return spans.reduce((sum, span) => (
    sum + Math.max(0, Math.min(to, span.to) - Math.max(from, span.from))), 0);
}

function expectedBody({ request: { id, kind, size } }: Outcome): Buffer {
  if (kind !== 'stream' && kind !== 'once') return answerBody(id, size);
  return Buffer.from(Array.from({ length: size }, (_, index) => eventText(id, index + 1)).join(''));
}

export class Judge {
  readonly #record: EngineRecord;

  readonly #incarnations: ReadonlyMap<RelayProcess, Incarnation>;

  /** How late this process itself was at most. */
  readonly #lagMs: number;

  readonly #findings: Finding[] = [];

  private constructor(
    record: EngineRecord,
    incarnations: ReadonlyMap<RelayProcess, Incarnation>,
    lagMs: number,
  ) {
    this.#record = record;
    this.#incarnations = incarnations;
    this.#lagMs = lagMs;
  }

  static findings(
    outcomes: readonly Outcome[],
    record: EngineRecord,
    incarnations: ReadonlyMap<RelayProcess, Incarnation>,
    lagMs: number,
  ): readonly Finding[] {
    const judge = new Judge(record, incarnations, lagMs);
    outcomes.forEach((outcome) => judge.#judgeOutcome(outcome));
    incarnations.forEach((incarnation) => judge.#judgeExit(incarnation, outcomes));
    return judge.#findings;
  }

  #add(what: string, outcome: Outcome): void {
    const { request, client, answer } = outcome;
    const { stoppedAt } = this.#incarnations.get(outcome.process)!;
    const after = (at: number) => (Number.isFinite(at - stoppedAt)
      ? `${Math.round(at - stoppedAt)} ms after the signal` : 'without a signal');
    const runs = this.#record.of(request.id).map(({
      server, from, startedAt, end, endedAt,
    }) => `${server} from ${from}, began ${after(startedAt)}, ${end} ${after(endedAt)}`);
    this.#findings.push({
      what,
      request: request.id,
      detail: [
        `${client.style} ${request.target} at ${outcome.process.settings.name}`,
        `sent ${after(outcome.sentAt)}, ended ${after(answer?.endedAt ?? Infinity)}`,
        `status ${answer?.status ?? 'none'}, whole ${answer?.whole ?? false}, `
        + `${answer?.body.length ?? 0} bytes, ${outcome.error ?? 'no error'}`,
        `servers: ${runs.join('; ') || 'none'}`,
      ].join('\n  '),
    });
  }

  #judgeOutcome(outcome: Outcome): void {
    const { request, answer } = outcome;
    const runs = this.#record.of(request.id);
    if ((request.kind === 'unsafe' || request.kind === 'once') && runs.length > 1) {
      this.#add('ran twice', outcome);
    }
    if (outcome.strayBytes > 0) this.#add('bytes that belong to no request', outcome);
    if (!answer) this.#add('no answer and no end', outcome);
    else if (!answer.whole) this.#judgeIncomplete(outcome, answer, runs);
    else if (answer.status === OK) {
      if (!answer.body.equals(expectedBody(outcome))) this.#add('a wrong answer', outcome);
    } else if (NOT_RUN.includes(answer.status)) this.#judgeRefusal(outcome, answer, runs);
    else if (answer.status < 500) this.#add('a proper request was rejected', outcome);
    else if (runs.some((run) => run.end === 'whole' && !this.#crossesLimit(run))) {
      this.#add('an answer was dropped', outcome);
    }
  }

  #judgeRefusal(
    outcome: Outcome,
    answer: NonNullable<Outcome['answer']>,
    runs: readonly Run[],
  ): void {
    const { process, request, pausedUntil } = outcome;
    const { stoppedAt, cuts, frozen } = this.#incarnations.get(process)!;
    if (runs.length > 0) this.#add('refused as not run, but ran', outcome);
    if (stoppedAt > outcome.sentAt) return;
    const sentAt = Math.max(outcome.sentAt, pausedUntil);
    if (!answer.headers.has('retry-after')) this.#add('a refusal without Retry-After', outcome);
    const tookMs = answer.endedAt - sentAt - overlap(frozen, sentAt, answer.endedAt);
    const wasTried = this.#record.refused.has(request.id)
      || overlap(cuts, sentAt, answer.endedAt) > 0;
    if (tookMs > SLACK_MS + this.#lagMs && !wasTried) this.#add('a late refusal', outcome);
  }

  #judgeIncomplete(
    outcome: Outcome,
    answer: NonNullable<Outcome['answer']>,
    runs: readonly Run[],
  ): void {
    const { sentAt, process } = outcome;
    const { cuts, frozen } = this.#incarnations.get(process)!;
    if (!expectedBody(outcome).subarray(0, answer.body.length).equals(answer.body)
      && answer.status === OK) this.#add('a wrong beginning of an answer', outcome);
    if (runs.length === 0) {
      // Closed without an answer, which may cross the request on its way.
      const waitedMs = answer.endedAt - sentAt - overlap(frozen, sentAt, answer.endedAt);
      if (waitedMs > SLACK_MS + this.#lagMs) this.#add('read, not run and not answered', outcome);
      return;
    }
    const isBroken = runs.some(({ end }) => end === 'broken')
      || overlap(cuts, Math.min(...runs.map((run) => run.startedAt)), answer.endedAt) > 0;
    if (isBroken || this.#isCutAtLimit(outcome, runs)) return;
    this.#add('an answer was cut off', outcome);
  }

  /** Whether a server ended a run when some instance, such as one that served it, gave up. */
  #crossesLimit({ endedAt }: Run): boolean {
    return [...this.#incarnations.values()].some(({ stoppedAt, frozen }) => {
      const limit = stoppedAt + CUT_AT_MS + overlap(frozen, stoppedAt, endedAt);
      return Math.abs(endedAt - limit) < CROSSING_MS + this.#lagMs;
    });
  }

  /** Whether the limit of the stop may have cut off the answer. */
  #isCutAtLimit({ sentAt, process, pausedUntil }: Outcome, runs: readonly Run[]): boolean {
    const { stoppedAt, frozen } = this.#incarnations.get(process)!;
    const excusedFrom = stoppedAt + EXCUSED_FROM_MS;
    const frozenMs = overlap(frozen, stoppedAt, Infinity);
    const last = runs.at(-1)!;
    const isAtWork = last.endedAt > excusedFrom - frozenMs
      && sentAt <= stoppedAt + LATEST_EXCUSED_MS + frozenMs;
    const isUnread = pausedUntil > stoppedAt + CUT_AT_MS - 1_000 - frozenMs;
    return isAtWork || isUnread;
  }

  #judgeExit(incarnation: Incarnation, outcomes: readonly Outcome[]): void {
    const {
      process, stoppedAt, frozen, wasKilled, wasReady,
    } = incarnation;
    const { exit, settings } = process;
    const add = (what: string, detail: string) => this.#findings.push({
      what, request: undefined, detail: `${settings.name}: ${detail}`,
    });
    if (!exit) return;
    const afterMs = Math.round(exit.at - stoppedAt);
    const how = `code ${exit.code}, ${exit.signal}, ${afterMs} ms after the signal`;
    if (wasKilled) add('had to be killed', how);
    // A process that has not got as far as to handle signals is ended by them.
    else if (exit.signal !== null && !wasReady) return;
    else if (stoppedAt === Infinity) add('ended without a signal to stop', how);
    else if (exit.signal !== null) add('ended by the signal itself', how);
    else if (afterMs - overlap(frozen, stoppedAt, exit.at) > GRACE_MS + SLACK_MS + this.#lagMs) {
      add('ended late', how);
    }
    const cut = outcomes.filter((outcome) => outcome.process === process
      && outcome.answer && !outcome.answer.whole
      && this.#record.of(outcome.request.id).at(-1)?.end === 'cut'
      && outcome.answer.endedAt > stoppedAt + CUT_AT_MS - SLACK_MS);
    if (exit.code === 0 && cut.length > 0) {
      add('exit code 0 though answers were cut', `${how}: ${cut[0]!.request.id}`);
    }
  }
}
