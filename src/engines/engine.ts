/**
 * A model engine as the rest of the program sees it. The HTTP client and the stand-ins implement
 * this interface; an adapter to another engine's protocol would be one more implementation.
 */
import type { Observable } from 'rxjs';
import type { Priority } from '../common/priority.js';

export interface Message { readonly role: string; readonly content: string }

export type Input =
  | { readonly kind: 'prompt'; readonly text: string }
  | { readonly kind: 'chat'; readonly messages: readonly Message[] };

/** The text an answer has so far, and how many tokens it is made of. */
export interface Accepted { readonly text: string; readonly tokens: number }

/** What makes two runs of a request the same generation. */
export interface Sampling {
  readonly seed: number;
  readonly temperature: number;
  readonly maxTokens: number;
  readonly stop: readonly string[];
}

/** One try at producing, or going on with, a generation on one engine. */
export interface AttemptRequest {
  readonly generation: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly input: Input;
  readonly accepted: Accepted;
  readonly sampling: Sampling;
  readonly priority: Priority;
}

export type FinishReason = 'stop' | 'length';

/** `ran` tells whether the engine can have been given the request. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly cause:
    | 'refused' | 'connect' | 'reset' | 'ended_early' | 'protocol' | 'version_missing'
    | 'silent' | 'restarted';
  readonly ran: 'no' | 'unknown';
  readonly message: string;
}

/**
 * Positions count tokens of the whole answer from 0; a finish's position is the answer's length.
 */
export type EngineEvent =
  | { readonly kind: 'opened'; readonly incarnation: string }
  | { readonly kind: 'token'; readonly position: number; readonly text: string }
  | {
    readonly kind: 'finish';
    readonly position: number;
    readonly reason: FinishReason;
    /** Length of the request's input, from engines that tell. */
    readonly promptTokens?: number | undefined;
  }
  | AttemptFailure;

export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

export type EngineRole = 'serve' | 'idle' | 'leaving';

/** What an engine says of itself; lags behind what it does. */
export interface LoadReport {
  readonly incarnation: string;
  readonly running: number;
  readonly waiting: number;
  /** Streams the engine decodes at once. */
  readonly slots: number;
  /** Duration of the engine's last step. */
  readonly stepMs: number;
  readonly cachedTokens: number;
  readonly cacheCapacityTokens: number;
  readonly role: EngineRole;
  readonly models: readonly LoadedModel[];
  /** Models being loaded, as `model@version`. */
  readonly loading: readonly string[];
  /** The highest fencing number the engine has accepted an order with. */
  readonly fence: number;
}

/**
 * Hashes name prefix blocks; see `routing/prefix`. `sequence` grows by one with each event sent.
 */
export interface CacheEvent {
  readonly incarnation: string;
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  readonly blocks: readonly string[];
}

interface ModelOrder { readonly model: string; readonly version: string }

type AdapterOrder = ModelOrder & { readonly adapter: string };

export type Order =
  | ({ readonly kind: 'load' } & ModelOrder)
  | ({ readonly kind: 'unload' } & ModelOrder)
  | ({ readonly kind: 'load_adapter' } & AdapterOrder)
  | ({ readonly kind: 'unload_adapter' } & AdapterOrder)
  | { readonly kind: 'role'; readonly role: EngineRole };

/**
 * An order with the lease's fencing number; an engine that checks refuses a lower number than it
 * has seen.
 */
export interface FencedOrder {
  readonly order: Order;
  readonly fence: number;
  /** How long after sending the order may still be obeyed. */
  readonly validForMs: number;
}

export type OrderOutcome = 'accepted' | 'fenced' | 'refused' | 'unknown';

/** `made` is how many tokens the engine had made when it stopped; the stream ends after it. */
export type CancelOutcome =
  | { readonly kind: 'cancelled'; readonly made: number }
  | { readonly kind: 'not_found' }
  | { readonly kind: 'unknown' };

export interface EngineClient {
  /**
   * Starts the attempt on subscription; unsubscribing stops reading, and `cancel` stops the work.
   * While `held` last said true, the stream is not read on.
   */
  generate(request: AttemptRequest, held?: Observable<boolean>): Observable<EngineEvent>;

  /** Joins a running or just finished stream at token `position`. */
  join(
    generation: string,
    attempt: number,
    position: number,
    held?: Observable<boolean>,
  ): Observable<EngineEvent>;

  cancel(generation: string, attempt: number): Promise<CancelOutcome>;

  /** The engine's load now; rejects when there is no answer within `deadlineMs`. */
  load(deadlineMs: number): Promise<LoadReport>;

  /** Cache events as they come, with gaps; errors when the connection ends. */
  cacheEvents(): Observable<CacheEvent>;

  order(order: FencedOrder): Promise<OrderOutcome>;
}
