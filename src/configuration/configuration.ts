/**
 * The effective configuration: what the operators' folder says after its files are merged and
 * checked. Every revision is one immutable value; modules read the parts that they need and keep
 * none of them.
 */
import type { Priority } from '../common/priority.js';

/** What failover is tuned for: short pauses, or little engine work spent twice. */
export type Favour = 'latency' | 'resources';

/** `safe` requests may be run again; `never` requests run at most once. */
export type Repeat = 'safe' | 'never';

export interface Deployment {
  readonly name: string;
  readonly favour: Favour;
  readonly zones: readonly string[];
}

export interface Model {
  readonly name: string;
  /** The version that new generations run on. */
  readonly version: string;
  readonly adapters: readonly string[];
  /** Engines that should hold the model. */
  readonly replicas: number;
  /** Memory it takes on an engine, in the unit of `BackendServer.memory`. */
  readonly memory: number;
  /** Upper bound of an answer's length. */
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Whether a billable generation may be begun again after a loss at position 0. */
  readonly repeat: Repeat;
}

export type ServerKind = 'engine' | 'service';

export interface BackendServer {
  readonly name: string;
  readonly kind: ServerKind;
  /** `host:port`, by IP. */
  readonly address: string;
  readonly zone: string;
  readonly pool: string;
  /** Whether the server refuses orders with an old fencing number. */
  readonly checksFence: boolean;
  readonly memory: number;
  /** Operators take a server out of use without removing it. */
  readonly drained: boolean;
}

export interface Pool {
  readonly name: string;
  readonly kind: ServerKind;
  /** Models the pool's engines may hold; empty for all. */
  readonly models: readonly string[];
  /** Retries allowed as a fraction of first attempts. */
  readonly retryRatio: number;
  readonly concurrencyPerServer: number;
}

export interface Route {
  readonly path: string;
  /** Upper-case methods; empty for all. */
  readonly methods: readonly string[];
  readonly repeat: Repeat;
  readonly priority: Priority;
  readonly timeoutMs: number;
}

export interface Service {
  readonly name: string;
  readonly pool: string;
  /** The first route whose path is a prefix of the request's and whose methods match decides. */
  readonly routes: readonly Route[];
}

export interface Workspace {
  readonly name: string;
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Share of a contended pool against other workspaces. */
  readonly weight: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  readonly concurrency: number;
  readonly priority: Priority;
  /** Models the workspace may call; empty for all. */
  readonly models: readonly string[];
}

export interface Limits {
  /** How long a request of each class may wait for a backend server. */
  readonly queueWaitMs: Readonly<Record<Priority, number>>;
  readonly queueLength: number;
  /** Answer text held for a slow caller before the engine's stream is no longer read. */
  readonly callerBufferBytes: number;
  /** How long a caller may not read before its answer is ended. */
  readonly callerStallMs: number;
}

export interface Placement {
  readonly enabled: boolean;
  /** Loads from the weight store that may run at once in the whole deployment. */
  readonly concurrentLoads: number;
  /** Loads started per minute in the whole deployment. */
  readonly loadsPerMinute: number;
  readonly leaseMs: number;
  readonly orderTimeoutMs: number;
}

export interface Configuration {
  /** 0 means that no configuration was ever accepted. */
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
