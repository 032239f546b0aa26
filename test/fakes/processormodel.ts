/**
 * A simple model of an instance: one processor that runs what is ready in turns of an event loop,
 * with a timer whose delay moves the admission control. A plain call takes processor time for its
 * head, to be sent and for its answer, with a server's time between them; a stream takes some for
 * each of its events.
 */
import type { SchedulerLike } from 'rxjs';
import { Random } from '../../src/common/random.js';
import { Overload } from '../../src/overload/overload.js';
import type { PeerOverloads } from '../../src/overload/overload.js';
import { RecordedLog } from './recordedlog.js';

const TICK_MS = 50;
const TARGET_MS = 60;
const SERVER_MS = 100;
const EVENT_GAP_MS = 100;

export interface ModelLoad {
  readonly rank: number;
  readonly workspace: string;
  /** Arrivals a second from one time to another, in milliseconds. */
  readonly perSecond: number;
  readonly from: number;
  readonly to: number;
  readonly objectiveMs: number;
  /** Events of a stream; 0 for a plain call. */
  readonly events?: number;
}

export interface ModelOptions {
  /** Processor time of a plain call, of an event and of a refusal, in milliseconds of the loop. */
  readonly callMs: number;
  readonly eventMs?: number;
  readonly refusalMs?: number;
  /** Share of the processor that control work takes, in pieces of 5 ms. */
  readonly control?: number;
  readonly loads: readonly ModelLoad[];
  /** The process does not run from one time to another. */
  readonly pause?: { readonly from: number; readonly to: number };
  readonly peers?: PeerOverloads;
  /** Whether requests are held against the level. */
  readonly isOn?: boolean;
  readonly untilMs: number;
}

export interface ModelOutcome {
  readonly load: ModelLoad;
  readonly arrivedAt: number;
  readonly end: 'served' | 'late' | 'refused';
}

interface Job { readonly at: number; readonly ms: number; readonly run: () => void }

const CONTROL_MS = 5;

export class ProcessorModel {
  readonly outcomes: ModelOutcome[] = [];

  readonly log = new RecordedLog();

  readonly overload: Overload;

  /** When requests were refused for the load; not those that came too late. */
  readonly shedAt: number[] = [];

  readonly #gaps: { readonly at: number; readonly ms: number }[] = [];

  readonly #options: ModelOptions;

  #now = 0;

  #idleMs = 0;

  #processorMs = 0;

  /** Requests whose answers have not ended. */
  #open = 0;

  #jobs: Job[] = [];

  private constructor(options: ModelOptions) {
    this.#options = options;
    const scheduler = { now: () => this.#now } as SchedulerLike;
    this.overload = Overload.of({
      scheduler,
      log: this.log,
      random: Random.of(5),
      targetMs: () => TARGET_MS,
      peers: () => options.peers ?? { clear: 0, overloaded: 0 },
      open: () => this.#open,
      processor: () => ({ idleMs: this.#idleMs, processorMs: this.#processorMs }),
      onShed: (_, reason) => {
        if (reason !== 'deadline') this.shedAt.push(this.#now);
      },
    });
  }

  static run(options: ModelOptions): ProcessorModel {
    const model = new ProcessorModel(options);
    model.#arrivals(Random.of(11));
    model.#run();
    return model;
  }

  /** Share of the requests of a rank that were served in time, of those in a span of arrivals. */
  share(rank: number, from: number, to: number): number {
    const of = this.outcomes.filter(({ load, arrivedAt }) => (
      load.rank === rank && arrivedAt >= from && arrivedAt < to));
    return of.filter(({ end }) => end === 'served').length / of.length;
  }

  /** Requests a second that were served in time, of those from one time to another. */
  servedPerSecond(from: number, to: number): number {
    return this.outcomes.filter(({ end, arrivedAt }) => (
      end === 'served' && arrivedAt >= from && arrivedAt < to)).length / ((to - from) / 1_000);
  }

  /** The pause between events that 99 in 100 were below, from one time to another. */
  longGapMs(from: number, to: number): number {
    const gaps = this.#gaps.filter(({ at }) => at >= from && at < to).map(({ ms }) => ms)
      .sort((left, right) => left - right);
    return gaps[Math.floor(gaps.length * 0.99)] ?? 0;
  }

  #arrivals(random: Random): void {
    this.#options.loads.forEach((load) => {
      let at = load.from;
      while (at < load.to) {
        at += -Math.log(1 - random.fraction()) * (1_000 / load.perSecond);
        this.#arrive(load, at);
      }
    });
    const { control = 0, untilMs } = this.#options;
    const every = control > 0 ? CONTROL_MS / control : Infinity;
    for (let at = every; at < untilMs; at += every) {
      this.#jobs.push({ at, ms: CONTROL_MS, run: () => undefined });
    }
  }

  #arrive(load: ModelLoad, arrivedAt: number): void {
    const { callMs, refusalMs = callMs * 0.08, isOn = true } = this.#options;
    this.#jobs.push({
      at: arrivedAt,
      ms: refusalMs,
      run: () => {
        const { objectiveMs, events = 0 } = load;
        this.#open += 1;
        const shed = this.overload.admit({
          id: String(arrivedAt),
          rank: load.rank,
          workspace: load.workspace,
          isStream: events > 0,
          maxEvents: events,
          receivedAt: arrivedAt,
          deadlineAt: arrivedAt + objectiveMs * 2,
          objectiveMs,
          hasBegun: false,
        });
        if (shed && isOn) {
          this.#open -= 1;
          this.outcomes.push({ load, arrivedAt, end: 'refused' });
        } else this.#serve(load, arrivedAt, (callMs - refusalMs) / 4);
      },
    });
  }

  /** Two turns before the request is sent, and two for its answer or first event. */
  #serve(load: ModelLoad, arrivedAt: number, ms: number): void {
    this.#after(0, ms, () => this.#after(0, ms, () => this.#after(SERVER_MS, ms, () => (
      this.#after(0, ms, () => {
        const isLate = this.#now - arrivedAt > load.objectiveMs;
        this.outcomes.push({ load, arrivedAt, end: isLate ? 'late' : 'served' });
        this.#stream(load.events ?? 0, load.events ?? 0);
      })))));
  }

  #stream(left: number, events: number): void {
    if (left > 0) {
      const from = this.#now;
      this.#after(EVENT_GAP_MS, this.#options.eventMs ?? 0, () => {
        this.#gaps.push({ at: this.#now, ms: this.#now - from });
        this.overload.work.eventWritten(this.#now);
        this.#stream(left - 1, events);
      });
      return;
    }
    if (events > 0) this.overload.work.streamEnded(events);
    this.overload.work.requestEnded(this.#now);
    this.#open -= 1;
  }

  #after(delayMs: number, ms: number, run: () => void): void {
    this.#jobs.push({ at: this.#now + delayMs, ms, run });
  }

  #run(): void {
    const { untilMs, pause } = this.#options;
    let tickAt = TICK_MS;
    while (this.#now < untilMs) {
      if (pause && this.#now >= pause.from && this.#now < pause.to) this.#now = pause.to;
      if (this.#now >= tickAt) {
        this.overload.sample(this.#now - tickAt);
        tickAt = this.#now + TICK_MS;
      }
      const ready = this.#jobs.filter(({ at }) => at <= this.#now);
      this.#jobs = this.#jobs.filter(({ at }) => at > this.#now);
      ready.sort((left, right) => left.at - right.at).forEach(({ ms, run }) => {
        this.#now += ms;
        this.#processorMs += ms;
        run();
      });
      if (ready.length === 0) {
        const next = Math.min(tickAt, ...this.#jobs.map(({ at }) => at));
        this.#idleMs += next - this.#now;
        this.#now = next;
      }
    }
  }
}
