/**
 * The effective configuration: the result of merging and checking the files of the operators'
 * folder. Each revision is one immutable value; modules read the parts that they need and keep no
 * copies of them.
 */
import type { Priority } from '../common/priority.js';

/** What failover optimises for: short pauses of streams, or little repeated work on engines. */
export type Favour = 'latency' | 'resources';

/** Whether a request may run more than once: `safe` ones may, `never` ones run at most once. */
export type Repeat = 'safe' | 'never';

export interface Deployment {
  readonly name: string;
  readonly favour: Favour;
  readonly zones: readonly string[];
}

export interface Model {
  readonly name: string;
  /** The model version for new generations. */
  readonly version: string;
  readonly adapters: readonly string[];
  /** Number of engines that should have the model loaded. */
  readonly replicas: number;
  /** Memory that the model needs on an engine, in the unit of `BackendServer.memory`. */
  readonly memory: number;
  /** Maximum length of an answer, in tokens. */
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Whether a billable generation that was lost before its first token may be restarted. */
  readonly repeat: Repeat;
}

export type ServerKind = 'engine' | 'service';

export interface BackendServer {
  readonly name: string;
  readonly kind: ServerKind;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: string;
  readonly pool: string;
  /** Whether the server rejects orders whose fencing token is out of date. */
  readonly checksFence: boolean;
  readonly memory: number;
  /** Whether an operator has taken the server out of service without removing it. */
  readonly drained: boolean;
}

export interface Pool {
  readonly name: string;
  readonly kind: ServerKind;
  /** Models that may be loaded on the pool's engines; empty for all. */
  readonly models: readonly string[];
  /** Retry budget, as a fraction of first attempts. */
  readonly retryRatio: number;
  readonly concurrencyPerServer: number;
}

export interface Route {
  readonly path: string;
  /** HTTP methods in upper case; empty for all. */
  readonly methods: readonly string[];
  readonly repeat: Repeat;
  readonly priority: Priority;
  readonly timeoutMs: number;
}

export interface Service {
  readonly name: string;
  readonly pool: string;
  /** The first route applies whose path is a prefix of the request's and whose methods match. */
  readonly routes: readonly Route[];
}

export interface Workspace {
  readonly name: string;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Weight against other workspaces when a pool is contended. */
  readonly weight: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  readonly concurrency: number;
  readonly priority: Priority;
  /** Models the workspace may call; empty for all. */
  readonly models: readonly string[];
}

export interface Limits {
  /** Maximum time in the queue for a backend server, by priority class. */
  readonly queueWaitMs: Readonly<Record<Priority, number>>;
  readonly queueLength: number;
  /** Answer text buffered for a slow caller before reading from the engine is paused. */
  readonly callerBufferBytes: number;
  /** Time without a read by the caller after which its answer is aborted. */
  readonly callerStallMs: number;
}

export interface Placement {
  readonly enabled: boolean;
  /** Maximum concurrent loads from the weight store in the whole deployment. */
  readonly concurrentLoads: number;
  /** Maximum loads started per minute in the whole deployment. */
  readonly loadsPerMinute: number;
  readonly leaseMs: number;
  readonly orderTimeoutMs: number;
}

export interface Configuration {
  /** 0 until a configuration has been accepted. */
  readonly revision: number;
  readonly deployment: Deployment;
  readonly models: Readonly<Record<string, Model>>;
  readonly servers: Readonly<Record<string, BackendServer>>;
  readonly pools: Readonly<Record<string, Pool>>;
  readonly services: Readonly<Record<string, Service>>;
  readonly workspaces: Readonly<Record<string, Workspace>>;
  readonly limits: Limits;
  readonly placement: Placement;
}
