/** The state that an engine's watch keeps for one stream. */
import type { AttemptFailure } from './engine.js';

/** Notified by the watch when a stream is suspected or lost. */
export interface StreamListener {
  suspected(): void;
  lost(failure: AttemptFailure): void;
}

/** A watched stream, to which its reader reports what arrives. */
export interface WatchedStream {
  opened(incarnation: string): void;
  /** A token was accepted into the answer. */
  progressed(): void;
  /** Sets whether reading is paused for a slow caller. */
  setPaused(paused: boolean): void;
  close(): void;
}

/** The watch of the engine that a stream is read from. */
export interface StreamOwner {
  /** Time that this daemon has been awake, in milliseconds. */
  awake(): number;

  /** Scheduler time, in milliseconds. */
  now(): number;

  token(at: number): void;

  restart(at: number): void;

  remove(stream: WatchedStream): void;
}

export type StreamPhase = 'opening' | 'prefill' | 'decode';

export class StreamWatch implements WatchedStream {
  readonly listener: StreamListener;

  readonly prefillTokens: number;

  readonly #owner: StreamOwner;

  phase: StreamPhase = 'opening';

  isPaused = false;

  suspected = false;

  incarnation: string | undefined;

  /** Awake time of the last progress. */
  progressAt: number;

  /** Scheduler time at which the engine opened the stream. */
  openedAt = 0;

  private constructor(owner: StreamOwner, prefillTokens: number, listener: StreamListener) {
    this.#owner = owner;
    this.prefillTokens = prefillTokens;
    this.listener = listener;
    this.progressAt = owner.awake();
  }

  static of(owner: StreamOwner, prefillTokens: number, listener: StreamListener): StreamWatch {
    return new StreamWatch(owner, prefillTokens, listener);
  }

  opened(incarnation: string): void {
    if (this.phase === 'opening') this.phase = 'prefill';
    this.incarnation = incarnation;
    this.progressAt = this.#owner.awake();
    this.openedAt = this.#owner.now();
  }

  progressed(): void {
    this.phase = 'decode';
    this.suspected = false;
    this.progressAt = this.#owner.awake();
    this.#owner.token(this.progressAt);
  }

  setPaused(paused: boolean): void {
    this.isPaused = paused;
    this.progressAt = this.#owner.awake();
    if (!paused) this.#owner.restart(this.progressAt);
  }

  close(): void {
    this.#owner.remove(this);
  }
}
