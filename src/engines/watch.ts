/**
 * Watches the streams that this daemon reads from one engine and feeds the engine's failure
 * detector. Silence is measured in awake time, which does not advance while the daemon is paused.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Favour } from '../configuration/configuration.js';
import {
  INITIAL_DETECTOR, detect, firstTokenMs, healthOf, suspectStreamAfterMs, suspectAfterMs,
} from './detector.js';
import type {
  DetectorEffect, DetectorState, Observation, EngineTiming,
} from './detector.js';
import type { Health } from './directory.js';
import type { AttemptFailure, EngineClient, LoadReport } from './engine.js';
import { StreamWatch } from './streamwatch.js';
import type { StreamListener, StreamOwner, WatchedStream } from './streamwatch.js';

/** Silence after which a stream is lost, as a multiple of that which makes it suspect. */
const LOST_FACTOR = 3;
/** Factor by which the longest gap between tokens decays with each check. */
const GAP_DECAY = 0.998;
/** Fraction of a deadline that the daemon must have been awake for a miss to count. */
const AWAKE_SHARE = 0.7;

export interface Watcher {
  /** Watches a new stream of `server`; undefined when there is no such engine. */
  watch(
    server: string,
    prefillTokens: number,
    listener: StreamListener,
  ): WatchedStream | undefined;
}

/** A request for a load report: when it was sent, in awake and scheduler time, and its deadline. */
export interface ReportRequest {
  readonly awakeAt: number;
  readonly requestedAt: number;
  readonly deadlineMs: number;
}

export interface WatchContext {
  readonly name: string;
  readonly client: EngineClient;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly favour: () => Favour;
  /** Time that this daemon has been awake, in milliseconds. */
  readonly awake: () => number;
  /** Called with each report that answers a ping. */
  readonly onReport: (report: LoadReport) => void;
}

function lossOf(cause: 'silent' | 'restarted', message: string): AttemptFailure {
  return {
    kind: 'failed', cause, ran: 'unknown', message,
  };
}

export class EngineWatch implements StreamOwner {
  readonly context: WatchContext;

  readonly #streams = new Set<StreamWatch>();

  #state: DetectorState = INITIAL_DETECTOR;

  #report: LoadReport | undefined;

  /** Awake time of the last token of any stream. */
  #lastTokenAt = 0;

  #maxGapMs = 0;

  private constructor(context: WatchContext) {
    this.context = context;
  }

  static of(context: WatchContext): EngineWatch {
    return new EngineWatch(context);
  }

  get health(): Health {
    return healthOf(this.#state);
  }

  awake(): number {
    return this.context.awake();
  }

  now(): number {
    return this.context.scheduler.now();
  }

  get streams(): number {
    return this.#streams.size;
  }

  add(prefillTokens: number, listener: StreamListener): WatchedStream {
    const stream = StreamWatch.of(this, prefillTokens, listener);
    this.#streams.add(stream);
    return stream;
  }

  remove(stream: WatchedStream): void {
    this.#streams.delete(stream as StreamWatch);
  }

  /** Records a token of any stream at awake time `at`. */
  token(at: number): void {
    const gap = at - this.#lastTokenAt;
    this.#lastTokenAt = at;
    if (this.health === 'up') this.#maxGapMs = Math.max(this.#maxGapMs, gap);
    else this.#observe({ kind: 'token' });
  }

  /** Measures silence from `at` on; earlier silence is ignored. */
  restart(at: number): void {
    this.#lastTokenAt = Math.max(this.#lastTokenAt, at);
  }

  /** Handles a load report that was requested at scheduler time `requestedAt`. */
  reportReceived(report: LoadReport, requestedAt: number, to: 'ping' | 'report'): void {
    this.#report = report;
    this.#observe({ kind: 'answered', to });
    [...this.#streams]
      .filter(({ incarnation, openedAt }) => (
        incarnation !== undefined && incarnation !== report.incarnation && openedAt < requestedAt))
      .forEach((stream) => this.#lose(stream, lossOf('restarted', 'the engine restarted')));
  }

  /** Handles a failed request for a load report. */
  reportFailed(error: unknown, to: 'ping' | 'report', asked: ReportRequest): void {
    const refused = (error as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
    const { awakeAt, requestedAt, deadlineMs } = asked;
    const awake = this.context.awake() - awakeAt >= deadlineMs * AWAKE_SHARE;
    // A call that failed before its deadline has failed for a reason other than a pause.
    const early = this.context.scheduler.now() - requestedAt < deadlineMs;
    if (refused) this.#observe({ kind: 'connection_refused' });
    else if (early || awake) this.#observe({ kind: 'unanswered', to });
    else if (to === 'ping') this.#observe({ kind: 'inconclusive' });
  }

  /** Checks for silence; called every few milliseconds while streams are open. */
  check(): void {
    const now = this.context.awake();
    this.#maxGapMs *= GAP_DECAY;
    const decoding = [...this.#streams]
      .some(({ phase, isPaused }) => phase === 'decode' && !isPaused);
    if (!decoding) this.#lastTokenAt = now;
    this.#observe({ kind: 'silence', silentMs: now - this.#lastTokenAt });
    this.#streams.forEach((stream) => this.#checkStream(stream, now));
  }

  #timing(): EngineTiming {
    return {
      favour: this.context.favour(), stepMs: this.#report?.stepMs ?? 0, maxGapMs: this.#maxGapMs,
    };
  }

  #timeoutMs({ phase, prefillTokens }: StreamWatch, timing: EngineTiming): number {
    const { waiting = 0, running = 0, slots = 1 } = this.#report ?? {};
    switch (phase) {
      case 'opening': return suspectStreamAfterMs(timing);
      case 'prefill':
        return firstTokenMs(timing, prefillTokens, { waiting, full: running >= slots });
      case 'decode': return suspectStreamAfterMs(timing);
    }
  }

  #checkStream(stream: StreamWatch, now: number): void {
    if (stream.isPaused) return;
    const silentMs = now - stream.progressAt;
    // The usual case is decided without computing the phase's timeout.
    if (silentMs < suspectAfterMs(this.#timing())) return;
    const timeoutMs = this.#timeoutMs(stream, this.#timing());
    if (silentMs >= timeoutMs * LOST_FACTOR) {
      this.#lose(stream, lossOf('silent', `no token within ${Math.round(silentMs)} ms`));
    } else if (silentMs >= timeoutMs) {
      this.#suspect(stream, silentMs);
    }
  }

  #observe(observation: Observation): void {
    const { state, effects } = detect(this.#state, observation, this.#timing());
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: DetectorEffect): void {
    switch (effect.kind) {
      case 'ping':
        this.#ping(effect.deadlineMs);
        break;
      case 'suspect':
        this.#log('engine_suspected');
        [...this.#streams].forEach((stream) => this.#suspect(stream));
        break;
      case 'lose':
        this.#log('engine_lost');
        [...this.#streams].forEach((stream) => (
          this.#lose(stream, lossOf('silent', 'the engine does not answer'))));
        break;
      case 'recovered':
        this.#log('engine_recovered');
        break;
    }
  }

  #log(event: string): void {
    this.context.log.event('info', event, {
      server: this.context.name,
      streams: this.#streams.size,
      silent_ms: Math.round(this.context.awake() - this.#lastTokenAt),
      threshold_ms: Math.round(suspectAfterMs(this.#timing())),
    });
  }

  #suspect(stream: StreamWatch, silentMs = 0): void {
    if (stream.suspected || stream.isPaused) return;
    Object.assign(stream, { suspected: true });
    if (silentMs > 0) {
      this.context.log.event('info', 'stream_suspected', {
        server: this.context.name, phase: stream.phase, silent_ms: Math.round(silentMs),
      });
    }
    stream.listener.suspected();
  }

  #lose(stream: StreamWatch, failure: AttemptFailure): void {
    this.#streams.delete(stream);
    stream.listener.lost(failure);
  }

  #ping(deadlineMs: number): void {
    const { client, scheduler, awake } = this.context;
    const requestedAt = scheduler.now();
    const awakeAt = awake();
    client.load(deadlineMs).then(
      (report) => {
        this.reportReceived(report, requestedAt, 'ping');
        this.context.onReport(report);
      },
      (error: unknown) => (
        this.reportFailed(error, 'ping', { awakeAt, requestedAt, deadlineMs })),
    );
  }
}
