/**
 * A stand-in for the platform's model engines, with continuous batching: each step generates one
 * token for every running stream, admits waiting streams by priority, and takes longer for uncached
 * prompt text. It has a bounded prefix cache, executes orders, and can be made to fail.
 */
import { Observable, concat, from as fromList } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Priority } from '../common/priority.js';
import type {
  AttemptRequest, CacheEvent, CancelOutcome, EngineClient, EngineEvent, FencedOrder, LoadReport,
  LoadedModel, OrderOutcome,
} from '../engines/engine.js';
import { inputText, prefixBlocks } from '../engines/prefix.js';
import { EngineCache } from './enginecache.js';
import { EngineModels } from './enginemodels.js';
import { Stream } from './stream.js';

const RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };
/** How long a finished stream can be joined. */
const FINISHED_KEPT_MS = 10_000;
const CHARACTERS_PER_TOKEN = 4;

export interface EngineOptions {
  readonly name: string;
  readonly stepMs: number;
  readonly slots: number;
  readonly prefillTokensPerStep: number;
  readonly cacheCapacityBlocks: number;
  readonly loadMs: number;
  readonly checksFence: boolean;
  /** Engines with different variants continue the same text differently. */
  readonly variant: number;
  readonly models: readonly LoadedModel[];
}

const DEFAULT_ENGINE: EngineOptions = {
  name: 'engine',
  stepMs: 2,
  slots: 64,
  prefillTokensPerStep: 2_048,
  cacheCapacityBlocks: 4_096,
  loadMs: 1_000,
  checksFence: true,
  variant: 0,
  models: [],
};

/** Work done, in the units in which extra resource use is measured. */
export interface WorkCount { readonly streamSteps: number; readonly prefillTokens: number }

/** A started attempt, its start time, and its stream, which gives the tokens generated so far. */
export interface StartedAttempt {
  readonly request: AttemptRequest;
  readonly at: number;
  readonly stream: Pick<Stream, 'position'>;
}

function streamKey(generation: string, attempt: number): string {
  return `${generation}/${attempt}`;
}

function failure(cause: 'refused' | 'version_missing', message: string): EngineEvent {
  return {
    kind: 'failed', cause, ran: 'no', message,
  };
}

export class StandInEngine implements EngineClient {
  readonly options: EngineOptions;

  readonly #scheduler: SchedulerLike;

  readonly #streams = new Map<string, Stream>();

  readonly #waiting: Stream[] = [];

  readonly #running = new Set<Stream>();

  readonly #cache: EngineCache;

  readonly models: EngineModels;

  #incarnation: string;

  #paused = false;

  #step: Subscription | undefined;

  #work = { streamSteps: 0, prefillTokens: 0 };

  /** All attempts started here, from which tests check at-most-once. */
  readonly started: StartedAttempt[] = [];

  private constructor(options: EngineOptions, scheduler: SchedulerLike, incarnation: string) {
    this.options = options;
    this.#scheduler = scheduler;
    this.#incarnation = incarnation;
    this.#cache = EngineCache.of(options.cacheCapacityBlocks, incarnation);
    this.models = EngineModels.of(options, scheduler);
  }

  static of(
    options: Partial<EngineOptions>,
    scheduler: SchedulerLike,
    incarnation: string,
  ): StandInEngine {
    return new StandInEngine({ ...DEFAULT_ENGINE, ...options }, scheduler, incarnation);
  }

  get work(): WorkCount {
    return { ...this.#work };
  }

  /** Generations whose streams run or wait for a slot. */
  get running(): readonly string[] {
    return [...this.#running, ...this.#waiting].map(({ request }) => request.generation);
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  generate(request: AttemptRequest): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      const refusal = this.#refusalFor(request);
      if (refusal) {
        subscriber.next(refusal);
        subscriber.complete();
        return undefined;
      }
      const stream = this.#startAttempt(request);
      subscriber.next({ kind: 'opened', incarnation: this.#incarnation });
      return stream.events.subscribe(subscriber);
    });
  }

  join(generation: string, attempt: number, position: number): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      const stream = this.#streams.get(streamKey(generation, attempt));
      const tokens = stream?.tokensFrom(position);
      if (!stream || !tokens) {
        subscriber.next(failure('refused', 'no such stream or position'));
        subscriber.complete();
        return undefined;
      }
      const finish = stream.ended ? [stream.finish()] : [];
      const opened: EngineEvent = { kind: 'opened', incarnation: this.#incarnation };
      return concat(fromList([opened, ...tokens, ...finish]), stream.events).subscribe(subscriber);
    });
  }

  cancel(generation: string, attempt: number): Promise<CancelOutcome> {
    const stream = this.#streams.get(streamKey(generation, attempt));
    if (!stream) return Promise.resolve({ kind: 'not_found' });
    this.#endStream(stream);
    this.#streams.delete(streamKey(generation, attempt));
    return Promise.resolve({ kind: 'cancelled', made: stream.position });
  }

  load(): Promise<LoadReport> {
    return Promise.resolve({
      incarnation: this.#incarnation,
      running: this.#running.size,
      waiting: this.#waiting.length,
      slots: this.options.slots,
      stepMs: this.options.stepMs,
      cachedTokens: this.#cache.size,
      cacheCapacityTokens: this.options.cacheCapacityBlocks,
      role: this.models.role,
      models: this.models.loaded,
      loading: this.models.loading,
      fence: this.models.fence,
    });
  }

  cacheEvents(): Observable<CacheEvent> {
    return this.#cache.events;
  }

  order(order: FencedOrder): Promise<OrderOutcome> {
    return Promise.resolve(this.models.order(order));
  }

  /** Refuses new attempts from now on and continues the running ones. */
  stopAccepting(): void {
    this.models.stopAccepting();
  }

  /** Stops generating tokens, as a frozen process does; streams stay open. */
  pause(): void {
    this.#paused = true;
    this.#step?.unsubscribe();
    this.#step = undefined;
  }

  resume(): void {
    this.#paused = false;
    this.#schedule();
  }

  /** Ends all streams without a finish and restarts as the next incarnation, without them. */
  crash(nextIncarnation: string): void {
    this.#step?.unsubscribe();
    this.#step = undefined;
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    this.#running.clear();
    this.#waiting.length = 0;
    this.#cache.restart(nextIncarnation);
    this.models.restart();
    this.#incarnation = nextIncarnation;
    this.#paused = false;
    streams.forEach(({ events }) => events.complete());
  }

  #refusalFor(request: AttemptRequest): EngineEvent | undefined {
    if (this.models.role === 'leaving') return failure('refused', 'leaving');
    if (!this.models.isLoaded(request)) {
      const adapter = request.adapter === undefined ? '' : ` with adapter ${request.adapter}`;
      return failure('version_missing', `${request.model}@${request.version}${adapter}`);
    }
    return undefined;
  }

  #startAttempt(request: AttemptRequest): Stream {
    const stream = Stream.of(request, this.#uncachedTokens(request));
    this.started.push({ request, at: this.#scheduler.now(), stream });
    this.#streams.set(streamKey(request.generation, request.attempt), stream);
    this.#waiting.push(stream);
    this.#schedule();
    return stream;
  }

  /** Number of tokens of the prompt and accepted text that are not cached; caches their blocks. */
  #uncachedTokens(request: AttemptRequest): number {
    const text = inputText(request.input) + request.accepted.text;
    const blocks = prefixBlocks(request.model, text);
    const missingFraction = this.#cache.add(blocks);
    return Math.ceil((text.length / CHARACTERS_PER_TOKEN) * missingFraction);
  }

  #schedule(): void {
    if (this.#paused || this.#step || this.#running.size + this.#waiting.length === 0) return;
    const prefill = this.#admit();
    const steps = 1 + Math.floor(prefill / this.options.prefillTokensPerStep);
    this.#work.prefillTokens += prefill;
    this.#step = this.#scheduler.schedule(() => {
      this.#step = undefined;
      this.#running.forEach((stream) => this.#advance(stream));
      this.#schedule();
    }, steps * this.options.stepMs);
  }

  /** Moves waiting streams into free slots by priority; returns their uncached tokens. */
  #admit(): number {
    this.#waiting.sort((left, right) => (
      RANK[left.request.priority] - RANK[right.request.priority]));
    const free = Math.max(0, this.options.slots - this.#running.size);
    const admitted = this.#waiting.splice(0, free);
    admitted.forEach((stream) => this.#running.add(stream));
    return admitted.reduce((sum, stream) => sum + stream.prefillTokens, 0);
  }

  #advance(stream: Stream): void {
    if (!stream.isComplete) {
      this.#work.streamSteps += 1;
      stream.generateToken(this.options.variant);
    }
    // The token's subscriber may have cancelled the stream.
    if (stream.ended || !stream.isComplete) return;
    stream.events.next(stream.finish());
    this.#endStream(stream);
  }

  #endStream(stream: Stream): void {
    stream.end();
    this.#running.delete(stream);
    const waiting = this.#waiting.indexOf(stream);
    if (waiting >= 0) this.#waiting.splice(waiting, 1);
    const key = streamKey(stream.request.generation, stream.request.attempt);
    this.#scheduler.schedule(() => {
      if (this.#streams.get(key) === stream) this.#streams.delete(key);
    }, FINISHED_KEPT_MS);
  }
}
