/**
 * The interface to a model engine. The HTTP client and the stand-ins implement it; an adapter to
 * another engine's protocol would be one more implementation.
 */
import type { Observable } from 'rxjs';
import type { Priority } from '../common/priority.js';

export interface Message { readonly role: string; readonly content: string }

export type Input =
  | { readonly kind: 'prompt'; readonly text: string }
  | { readonly kind: 'chat'; readonly messages: readonly Message[] };

/** The text of an answer so far, and its length in tokens. */
export interface PartialAnswer { readonly text: string; readonly tokens: number }

/** Sampling parameters; runs of a request with equal ones give the same generation. */
export interface Sampling {
  readonly seed: number;
  readonly temperature: number;
  readonly maxTokens: number;
  readonly stop: readonly string[];
}

/** One attempt to start or continue a generation on one engine. */
export interface AttemptRequest {
  readonly generation: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly input: Input;
  readonly accepted: PartialAnswer;
  readonly sampling: Sampling;
  readonly priority: Priority;
}

export type FinishReason = 'stop' | 'length';

/** `ran` tells whether the engine may have received the request. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly cause:
    | 'refused' | 'connect' | 'reset' | 'ended_early' | 'protocol' | 'version_missing'
    | 'silent' | 'restarted';
  readonly ran: 'no' | 'unknown';
  readonly message: string;
}

/**
 * Positions count tokens of the whole answer from 0; that of a finish is the answer's length.
 */
export type EngineEvent =
  | { readonly kind: 'opened'; readonly incarnation: string }
  | { readonly kind: 'token'; readonly position: number; readonly text: string }
  | {
    readonly kind: 'finish';
    readonly position: number;
    readonly reason: FinishReason;
    /** Length of the input in tokens, from engines that report it. */
    readonly promptTokens?: number | undefined;
  }
  | AttemptFailure;

export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

export type EngineRole = 'serve' | 'idle' | 'leaving';

/** An engine's report of its own state, which may be out of date. */
export interface LoadReport {
  readonly incarnation: string;
  readonly running: number;
  readonly waiting: number;
  /** Streams that the engine decodes concurrently. */
  readonly slots: number;
  /** Duration of the engine's last decoding step. */
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
 * Blocks are named by their hashes, see `engines/prefix`. `sequence` grows by one with each event.
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
 * An order with the fencing number of the placement lease. Engines that check it refuse an order
 * with a lower number than they have seen.
 */
export interface FencedOrder {
  readonly order: Order;
  readonly fence: number;
  /** How long after it was sent the order may be executed. */
  readonly validForMs: number;
}

export type OrderOutcome = 'accepted' | 'fenced' | 'refused' | 'unknown';

/** `made` is the number of tokens produced when the engine stopped; the stream ends there. */
export type CancelOutcome =
  | { readonly kind: 'cancelled'; readonly made: number }
  | { readonly kind: 'not_found' }
  | { readonly kind: 'unknown' };

export interface EngineClient {
  /**
   * Starts the attempt on subscription. Unsubscribing stops reading; `cancel` stops the work. While
   * the last value of `backpressure` is true, reading is paused.
   */
  generate(request: AttemptRequest, backpressure?: Observable<boolean>): Observable<EngineEvent>;

  /** Joins a running or recently finished stream at token `position`. */
  join(
    generation: string,
    attempt: number,
    position: number,
    backpressure?: Observable<boolean>,
  ): Observable<EngineEvent>;

  cancel(generation: string, attempt: number): Promise<CancelOutcome>;

  /** The engine's current load; rejects when there is no answer within `deadlineMs`. */
  load(deadlineMs: number): Promise<LoadReport>;

  /** Cache events as they arrive, with gaps; errors when the connection ends. */
  cacheEvents(): Observable<CacheEvent>;

  order(order: FencedOrder): Promise<OrderOutcome>;
}
