/**
 * Graceful shutdown of an instance: it reports that it is not ready, serves the requests that the
 * balancer still sends until it has noticed, and is done when every open answer has ended.
 */
import {
  BehaviorSubject, Observable, Subject, delayWhen, distinctUntilChanged, filter, map, of, race,
  startWith, take, timer,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log, LogFields } from '../common/log.js';

/**
 * `lagging`: new requests may still arrive. `finishing`: only open answers are served. `expired`:
 * the limit is reached, and open answers are ended.
 */
export type DrainState = 'serving' | 'lagging' | 'finishing' | 'done' | 'expired';

export interface DrainOptions {
  /** How long the balancer may still send requests once the instance is not ready. */
  readonly lagMs: number;
  /** Time after which open answers are ended. */
  readonly limitMs: number;
}

const DEFAULT_OPTIONS: DrainOptions = { lagMs: 5_000, limitMs: 15 * 60 * 1_000 };

/** How long answers that are ended at the limit may take to be flushed. */
const FINAL_FLUSH_MS = 75;

/** Open answers that are listed at each change of the state, the oldest first. */
const MAX_LISTED = 32;

/** Last part of the lag; a running process reads requests that arrived in time within it. */
const FINAL_READ_MS = 100;
/** A timer that fires later than this shows that the process was paused. */
const PAUSE_THRESHOLD_MS = 10;

export class Drain {
  readonly #scheduler: SchedulerLike;

  readonly #log: Log;

  readonly #options: DrainOptions;

  readonly #state = new BehaviorSubject<DrainState>('serving');

  readonly #closed = new Subject<void>();

  /** When open answers are cut off, by the scheduler's clock. */
  #limitAt = Infinity;

  /** Descriptions of the answers that have not ended. */
  readonly #answers = new Set<() => LogFields>();

  private constructor(scheduler: SchedulerLike, log: Log, options: DrainOptions) {
    this.#scheduler = scheduler;
    this.#log = log;
    this.#options = options;
  }

  static of(scheduler: SchedulerLike, log: Log, options = DEFAULT_OPTIONS): Drain {
    return new Drain(scheduler, log, options);
  }

  get state(): DrainState {
    return this.#state.value;
  }

  /** Number of answers that have not ended. */
  get open(): number {
    return this.#answers.size;
  }

  /** Time until open answers are cut off; `Infinity` while the instance serves. */
  get leftMs(): number {
    return this.#hasEnded ? 0 : Math.max(0, this.#limitAt - this.#scheduler.now());
  }

  /** Whether the balancer sends no more requests. */
  get hasLagPassed(): boolean {
    return this.state === 'finishing' || this.#hasEnded;
  }

  get #hasEnded(): boolean {
    return this.state === 'done' || this.state === 'expired';
  }

  readonly states: Observable<DrainState> = new Observable((subscriber) => (
    this.#state.pipe(distinctUntilChanged()).subscribe(subscriber)));

  /** Emits once when the instance may exit: `true` if every answer has ended. */
  readonly ended: Observable<boolean> = new Observable((subscriber) => (
    this.#state.pipe(
      filter((state) => state === 'done' || state === 'expired'),
      map((state) => state === 'done'),
    ).subscribe((whole) => {
      subscriber.next(whole);
      subscriber.complete();
    })));

  /**
   * Emits once when the process may end: after `ended`, and after the answers that were ended at
   * the limit have been flushed, or were not in time.
   */
  readonly exit: Observable<boolean> = this.ended.pipe(
    delayWhen((whole) => (whole ? of(undefined) : this.#flushed())),
  );

  /**
   * Counts an answer as open until the returned function is called.
   *
   * @param describe what the log tells of the answer while it is open
   */
  enter(describe: () => LogFields = () => ({})): () => void {
    const answer = () => describe();
    this.#answers.add(answer);
    return () => {
      if (!this.#answers.delete(answer)) return;
      this.#settle();
      this.#closed.next();
    };
  }

  /** Starts the shutdown; further calls are only logged. */
  begin(): void {
    if (this.state !== 'serving') {
      this.#log.event('info', 'stop_repeated', { state: this.state, open: this.open });
      return;
    }
    const { lagMs, limitMs } = this.#options;
    this.#limitAt = this.#scheduler.now() + limitMs;
    this.#move('lagging');
    timer(Math.max(0, lagMs - FINAL_READ_MS), this.#scheduler).subscribe(() => this.#readLast());
    timer(limitMs, this.#scheduler).subscribe(() => {
      if (this.state !== 'done') this.#move('expired');
    });
  }

  /** Ends the lag after its last part, which starts over if the process was paused during it. */
  #readLast(): void {
    const due = this.#scheduler.now() + FINAL_READ_MS;
    timer(FINAL_READ_MS, this.#scheduler).subscribe(() => {
      if (this.#hasEnded) return;
      if (this.#scheduler.now() - due > PAUSE_THRESHOLD_MS) {
        this.#readLast();
        return;
      }
      this.#move('finishing');
      this.#settle();
    });
  }

  /** Emits when no answer is open any more, or after a time. */
  #flushed(): Observable<unknown> {
    return race(
      this.#closed.pipe(startWith(undefined), filter(() => this.open === 0)),
      timer(FINAL_FLUSH_MS, this.#scheduler),
    ).pipe(take(1));
  }

  #settle(): void {
    if (this.state === 'finishing' && this.open === 0) this.#move('done');
  }

  #move(state: DrainState): void {
    const listed = [...this.#answers].slice(0, MAX_LISTED);
    const unlisted = this.open - listed.length;
    this.#log.event('info', 'stop', { state, open: this.open, unlisted: unlisted || undefined });
    listed.forEach((describe) => (
      this.#log.event('info', 'open_answer', { state, ...describe() })));
    this.#state.next(state);
  }
}
