/**
 * Admission control of an instance by its processor. Samples of the event loop's delay move the
 * level; each request is held against it when its head has been read.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { cutAt, placeOf } from './cut.js';
import type { Cut } from './cut.js';
import { decide, isTooLate, retryAfterMs } from './decision.js';
import type { ShedReason } from './decision.js';
import { Demand } from './demand.js';
import { admitsPerSecond, nextLevel, NORMAL } from './level.js';
import type { Level } from './level.js';
import {
  INTERVAL_MS, isStanding, NO_DELAY, withSample,
} from './queuedelay.js';
import type { DelaySample } from './queuedelay.js';
import {
  isWorthShedding, UNKNOWN_COST, unitMs, unitsPerSecond, withUsage,
} from './processorcost.js';
import { Work } from './work.js';
import type { RequestKind } from './work.js';

/** How many of the other live instances say that they shed, and how many that they don't. */
export interface PeerOverloads { readonly clear: number; readonly overloaded: number }

/** What the process has done since it began. */
export type Processor = Pick<DelaySample, 'idleMs' | 'processorMs'>;

export interface OverloadContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly random: Random;
  /** The longest queueing delay that the objectives of the routes allow for. */
  readonly targetMs: () => number;
  readonly peers: () => PeerOverloads;
  readonly processor: () => Processor;
  /** Requests whose answers have not ended, with the one that is held against the level. */
  readonly open: () => number;
  readonly onShed: (rank: number, reason: ShedReason) => void;
}

/** A request whose head has been read. */
export interface ReadRequest extends RequestKind {
  readonly id: string;
  readonly rank: number;
  readonly workspace: string;
  readonly receivedAt: number;
  readonly deadlineAt: number;
  readonly objectiveMs: number;
  /** Whether its caller has events of the stream; it is not shed then. */
  readonly hasBegun: boolean;
}

export interface Shed {
  readonly reason: ShedReason;
  /** Undefined if no other attempt could be in time. */
  readonly retryAfterMs: number | undefined;
  /** Whether the caller is more likely to be served over another connection. */
  readonly close: boolean;
}

const MAX_SALT = 0x7fff_ffff;
/** Other instances learn of it, and the balancer, once it is no short burst. */
const UNREADY_AFTER_MS = 1_000;

export class Overload {
  readonly #context: OverloadContext;

  readonly #demand = Demand.of();

  readonly work = Work.of();

  #queue = NO_DELAY;

  #cost = UNKNOWN_COST;

  /** Where the window of the processor's use begins. */
  #window: { readonly at: number } & Processor | undefined;

  /** Share of the last window in which the loop waited for input. */
  #idleShare = 0;

  /** Processor time that the process used in the last window, per second. */
  #usedMsPerSecond = 0;

  #level: Level = NORMAL;

  #cut: Cut | undefined;

  /** Since when requests are refused. */
  #cutSince: number | undefined;

  #credit = 0;

  #loggedAt = -Infinity;

  /** Requests since the last summary. */
  #refused = 0;

  #admitted = 0;

  private constructor(context: OverloadContext) {
    this.#context = context;
  }

  static of(context: OverloadContext): Overload {
    return new Overload(context);
  }

  /** Whether the processor is short, so that only what must be done is done. */
  get isShedding(): boolean {
    return this.#level.kind === 'shedding';
  }

  /** Whether a request that no server has can't be answered in time any more. */
  isTooLate(deadlineAt: number): boolean {
    const remainingMs = deadlineAt - this.#context.scheduler.now();
    return isTooLate(remainingMs, this.isShedding ? this.#queue.delayMs : 0);
  }

  /** What other instances are told: 0 for none, 1 if everything but rank 0 is refused. */
  get advertised(): number {
    return this.#cut ? Math.max(0.01, Math.round(this.#cut.refusedRoutine * 100) / 100) : 0;
  }

  /** Whether the balancer should send new connections elsewhere, where others have room. */
  get isUnready(): boolean {
    if (this.#cutSince === undefined) return false;
    if (this.#context.scheduler.now() - this.#cutSince < UNREADY_AFTER_MS) return false;
    const { clear, overloaded } = this.#context.peers();
    return clear > overloaded;
  }

  /** Takes one run of the periodic timer, and how late it was. */
  sample(lateMs: number): void {
    const { scheduler, processor, targetMs } = this.#context;
    const now = scheduler.now();
    const use = processor();
    this.#queue = withSample(this.#queue, { now, lateMs, ...use }, targetMs());
    this.#learn(now, use);
    if (this.#level.kind === 'normal' && !isStanding(this.#queue)) return;
    this.#adjust(now);
  }

  /** Holds a request against the level; undefined if it is admitted. */
  admit(request: ReadRequest): Shed | undefined {
    const { scheduler, random, onShed } = this.#context;
    const now = scheduler.now();
    const { rank, workspace } = request;
    this.#demand.add(rank, workspace, this.work.expected(request), now);
    const level = this.#level;
    const applicant = {
      rank,
      place: level.kind === 'shedding' ? placeOf(workspace, level.salt) : 0,
      waitedMs: now - request.receivedAt,
      remainingMs: request.deadlineAt - now,
      objectiveMs: request.objectiveMs,
    };
    const { refused, credit } = decide(applicant, {
      // The level outlasts its cause; a request that has the instance for itself overloads nothing.
      cut: request.hasBegun || this.#context.open() <= 1 ? undefined : this.#cut,
      delayMs: this.isShedding ? this.#queue.delayMs : 0,
      credit: this.#credit,
    });
    this.#credit = credit;
    if (refused === undefined) {
      this.#admitted += 1;
      return undefined;
    }
    this.#refused += 1;
    onShed(rank, refused);
    const { clear, overloaded } = this.#context.peers();
    const shed: Shed = {
      reason: refused,
      retryAfterMs: refused === 'deadline'
        ? undefined : retryAfterMs(applicant, this.#cut?.refused ?? 0, random.fraction()),
      close: clear > overloaded,
    };
    this.#log(request, shed, now);
    return shed;
  }

  /** A processor that is used up takes the same whatever is done, so that nothing is learned. */
  #learn(now: number, use: Processor): void {
    const from = this.#window ?? { at: now, ...use };
    this.#window = from;
    if (now - from.at < INTERVAL_MS) return;
    const usedMs = use.processorMs - from.processorMs;
    const scale = INTERVAL_MS / (now - from.at);
    const units = this.work.takeUnits();
    this.#usedMsPerSecond = (usedMs * MILLISECONDS_PER_SECOND) / (now - from.at);
    this.#idleShare = (use.idleMs - from.idleMs) / (now - from.at);
    this.#window = { at: now, ...use };
    if (this.isShedding || this.#queue.risen) return;
    this.#cost = withUsage(this.#cost, { processorMs: usedMs * scale, units: units * scale });
  }

  /** Units a second that were done of late or, at first, that the processor is known to bear. */
  #bearable(now: number): number {
    const done = this.work.donePerSecond(now);
    return this.isShedding
      ? done : Math.max(done, unitsPerSecond(this.#cost, this.#usedMsPerSecond));
  }

  #adjust(now: number): void {
    const { targetMs, random } = this.#context;
    const classes = this.#demand.classes(now);
    const before = this.#level;
    const delay = { delayMs: this.#queue.delayMs, targetMs: targetMs() };
    const demand = classes.reduce((sum, { perSecond }) => sum + perSecond, 0);
    this.#level = nextLevel(before, {
      now,
      worthwhile: isWorthShedding(this.#cost, demand, this.#usedMsPerSecond),
      standing: isStanding(this.#queue),
      ...delay,
      idleShare: this.#idleShare,
      done: this.#bearable(now),
      demand,
      salt: random.integer(0, MAX_SALT),
    });
    this.#cut = this.#level.kind === 'shedding'
      ? cutAt(classes, admitsPerSecond(this.#level, delay), this.#level.salt) : undefined;
    this.#cutSince = this.#cut ? this.#cutSince ?? now : undefined;
    if (this.#level.kind !== before.kind) this.#logState(now);
  }

  /** One line with its inputs for the first refusal in a second, and the sum of the others. */
  #log({ id, rank, workspace }: ReadRequest, { reason, retryAfterMs: after }: Shed, now: number) {
    if (now - this.#loggedAt < MILLISECONDS_PER_SECOND) return;
    this.#context.log.event('info', 'shed', {
      request: id, rank, workspace, reason, retry_after_ms: after, ...this.#fields(now),
    });
    this.#restartSummary(now);
  }

  #logState(now: number): void {
    const { kind } = this.#level;
    this.#context.log.event(kind === 'normal' ? 'info' : 'warn', 'overload', {
      state: kind, ...this.#fields(now),
    });
    this.#restartSummary(now);
  }

  #restartSummary(now: number): void {
    this.#loggedAt = now;
    this.#refused = 0;
    this.#admitted = 0;
  }

  #fields(now: number) {
    const level = this.#level;
    const { clear, overloaded } = this.#context.peers();
    const demand = this.#demand.classes(now).reduce((sum, { perSecond }) => sum + perSecond, 0);
    return {
      delay_ms: Math.round(this.#queue.delayMs),
      target_ms: Math.round(this.#context.targetMs()),
      used_ms_per_second: Math.round(this.#usedMsPerSecond),
      unit_ms: unitMs(this.#cost).toFixed(2),
      done: this.work.donePerSecond(now).toFixed(1),
      demand: demand.toFixed(1),
      admits: level.kind === 'shedding' ? level.perSecond.toFixed(1) : undefined,
      level_rank: this.#cut?.rank,
      level_share: this.#cut?.share.toFixed(2),
      advertised: this.advertised,
      refused_since: this.#refused,
      admitted_since: this.#admitted,
      peers_clear: clear,
      peers_overloaded: overloaded,
    };
  }
}
