/**
 * A stand-in for the platform's model engines. It batches continuously: each step gives one token
 * to every running stream, admits waiting streams by priority and charges uncached prompt text as
 * extra step time. It keeps a bounded prefix cache, obeys orders, and can be told to fail.
 */
import {
  Observable, Subject, concat, from as fromList,
} from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type {
  AttemptRequest, CacheEvent, CancelOutcome, EngineClient, EngineEvent, FencedOrder, LoadReport,
  LoadedModel, Order, OrderOutcome, Priority, EngineRole,
} from '../engines/engine.js';
import { inputText, prefixBlocks } from '../engines/prefix.js';
import { Stream } from './stream.js';

const RANK: Readonly<Record<Priority, number>> = { interactive: 0, standard: 1, batch: 2 };
/** How long a finished stream can still be joined. */
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
  /** Makes this engine's continuations differ from those of engines with another variant. */
  readonly variant: number;
  readonly models: readonly LoadedModel[];
}

export const DEFAULT_ENGINE: EngineOptions = {
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

/** Work done, in the units that extra resource use is measured in. */
export interface WorkCount { readonly streamSteps: number; readonly prefillTokens: number }

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

  readonly #cache = new Set<string>();

  readonly #events = new Subject<CacheEvent>();

  readonly #loading = new Map<string, Subscription>();

  #models: readonly LoadedModel[];

  #incarnation: string;

  #sequence = 0;

  #fence = 0;

  #role: EngineRole = 'serve';

  #paused = false;

  #step: Subscription | undefined;

  #work = { streamSteps: 0, prefillTokens: 0 };

  /** Every attempt begun here, as `generation/attempt`, for checkers of at-most-once. */
  readonly begun: string[] = [];

  private constructor(options: EngineOptions, scheduler: SchedulerLike, incarnation: string) {
    this.options = options;
    this.#scheduler = scheduler;
    this.#incarnation = incarnation;
    this.#models = options.models;
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

  get incarnation(): string {
    return this.#incarnation;
  }

  generate(request: AttemptRequest): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      const refusal = this.#refusal(request);
      if (refusal) {
        subscriber.next(refusal);
        subscriber.complete();
        return undefined;
      }
      const stream = this.#begin(request);
      subscriber.next({ kind: 'opened', incarnation: this.#incarnation });
      return stream.out.subscribe(subscriber);
    });
  }

  join(generation: string, attempt: number, position: number): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      const stream = this.#streams.get(streamKey(generation, attempt));
      const made = stream?.since(position);
      if (!stream || !made) {
        subscriber.next(failure('refused', 'no such stream or position'));
        subscriber.complete();
        return undefined;
      }
      const tail = stream.ended ? [stream.finish()] : [];
      const opened: EngineEvent = { kind: 'opened', incarnation: this.#incarnation };
      return concat(fromList([opened, ...made, ...tail]), stream.out).subscribe(subscriber);
    });
  }

  cancel(generation: string, attempt: number): Promise<CancelOutcome> {
    const stream = this.#streams.get(streamKey(generation, attempt));
    if (!stream) return Promise.resolve({ kind: 'not_found' });
    this.#end(stream);
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
      role: this.#role,
      models: this.#models,
      loading: [...this.#loading.keys()],
      fence: this.#fence,
    });
  }

  cacheEvents(): Observable<CacheEvent> {
    return this.#events.asObservable();
  }

  order({ order, fence }: FencedOrder): Promise<OrderOutcome> {
    if (this.options.checksFence && fence < this.#fence) return Promise.resolve('fenced');
    this.#fence = Math.max(this.#fence, fence);
    return Promise.resolve(this.#obey(order));
  }

  /** Stops making tokens, as a frozen process would; streams stay open. */
  pause(): void {
    this.#paused = true;
    this.#step?.unsubscribe();
    this.#step = undefined;
  }

  wake(): void {
    this.#paused = false;
    this.#schedule();
  }

  /** Dies: every stream ends without a finish, and the next incarnation knows none of them. */
  crash(nextIncarnation: string): void {
    this.#step?.unsubscribe();
    this.#step = undefined;
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    this.#running.clear();
    this.#waiting.length = 0;
    this.#cache.clear();
    this.#loading.forEach((loading) => loading.unsubscribe());
    this.#loading.clear();
    this.#incarnation = nextIncarnation;
    this.#sequence = 0;
    this.#fence = 0;
    streams.forEach(({ out }) => out.complete());
  }

  #refusal(request: AttemptRequest): EngineEvent | undefined {
    if (this.#role === 'leaving') return failure('refused', 'leaving');
    const loaded = this.#models.find(({ model, version }) => (
      model === request.model && version === request.version));
    if (!loaded) return failure('version_missing', `${request.model}@${request.version}`);
    if (request.adapter !== undefined && !loaded.adapters.includes(request.adapter)) {
      return failure('version_missing', `adapter ${request.adapter}`);
    }
    return undefined;
  }

  #begin(request: AttemptRequest): Stream {
    const key = streamKey(request.generation, request.attempt);
    this.begun.push(key);
    const stream = Stream.of(request, this.#prefill(request));
    this.#streams.set(key, stream);
    this.#waiting.push(stream);
    this.#schedule();
    return stream;
  }

  /** Tokens of the prompt and accepted text that are not cached; caches them. */
  #prefill(request: AttemptRequest): number {
    const text = inputText(request.input) + request.accepted.text;
    const blocks = prefixBlocks(request.model, text);
    const missing = blocks.filter((block) => !this.#cache.has(block));
    const share = blocks.length === 0 ? 1 : missing.length / blocks.length;
    missing.forEach((block) => this.#cache.add(block));
    if (missing.length > 0) this.#publish('stored', missing);
    this.#evict();
    return Math.ceil((text.length / CHARACTERS_PER_TOKEN) * share);
  }

  #evict(): void {
    const excess = this.#cache.size - this.options.cacheCapacityBlocks;
    if (excess <= 0) return;
    const oldest = [...this.#cache].slice(0, excess);
    oldest.forEach((block) => this.#cache.delete(block));
    this.#publish('evicted', oldest);
  }

  #publish(kind: CacheEvent['kind'], blocks: readonly string[]): void {
    this.#sequence += 1;
    this.#events.next({
      incarnation: this.#incarnation, sequence: this.#sequence, kind, blocks,
    });
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

  /** Moves waiting streams into free slots, best class first; returns their uncached tokens. */
  #admit(): number {
    this.#waiting.sort((left, right) => (
      RANK[left.request.priority] - RANK[right.request.priority]));
    const free = Math.max(0, this.options.slots - this.#running.size);
    const admitted = this.#waiting.splice(0, free);
    admitted.forEach((stream) => this.#running.add(stream));
    return admitted.reduce((sum, stream) => sum + stream.prefillTokens, 0);
  }

  #advance(stream: Stream): void {
    if (!stream.full) {
      this.#work.streamSteps += 1;
      stream.make(this.options.variant);
    }
    // A token's reader may have cancelled the stream.
    if (stream.ended || !stream.full) return;
    stream.out.next(stream.finish());
    this.#end(stream);
  }

  #end(stream: Stream): void {
    stream.end();
    this.#running.delete(stream);
    const waiting = this.#waiting.indexOf(stream);
    if (waiting >= 0) this.#waiting.splice(waiting, 1);
    const key = streamKey(stream.request.generation, stream.request.attempt);
    this.#scheduler.schedule(() => {
      if (this.#streams.get(key) === stream) this.#streams.delete(key);
    }, FINISHED_KEPT_MS);
  }

  #obey(order: Order): OrderOutcome {
    switch (order.kind) {
      case 'role':
        this.#role = order.role;
        return 'accepted';
      case 'load': {
        const name = `${order.model}@${order.version}`;
        if (this.#loading.has(name) || this.#find(order)) return 'accepted';
        this.#loading.set(name, this.#scheduler.schedule(() => {
          this.#loading.delete(name);
          this.#models = [...this.#models, {
            model: order.model, version: order.version, adapters: [],
          }];
        }, this.options.loadMs));
        return 'accepted';
      }
      case 'unload':
        this.#models = this.#models.filter((loaded) => loaded !== this.#find(order));
        return 'accepted';
      case 'load_adapter': return this.#adapters(order, (adapters) => (
        [...adapters.filter((name) => name !== order.adapter), order.adapter]));
      case 'unload_adapter': return this.#adapters(order, (adapters) => (
        adapters.filter((name) => name !== order.adapter)));
    }
  }

  #find({ model, version }: { model: string; version: string }): LoadedModel | undefined {
    return this.#models.find((loaded) => loaded.model === model && loaded.version === version);
  }

  #adapters(
    order: { model: string; version: string },
    change: (adapters: readonly string[]) => readonly string[],
  ): OrderOutcome {
    const found = this.#find(order);
    if (!found) return 'refused';
    this.#models = this.#models.map((loaded) => (
      loaded === found ? { ...loaded, adapters: change(loaded.adapters) } : loaded));
    return 'accepted';
  }
}
