export interface RolloutBounds {
  /** The part of a service's requests that a bad version may get, from all instances together. */
  readonly share: number;
  /** Requests that it may get beyond. */
  readonly slack: number;
  /** A version gets nothing more after this time from the answer that shows that it is bad. */
  readonly rollbackMs: number;
}

/** Settings of a relay daemon, read when it starts. Times are in milliseconds. */
export interface RelaySettings {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
  /** `host:port` that callers connect to. */
  readonly callers: string;
  /** `host:port` of the readiness endpoint that the load balancer probes. */
  readonly readiness: string;
  /** IP addresses of some other instances; they may be stale. */
  readonly seeds: readonly string[];
  /** Port for messages between daemons, the same on every instance. */
  readonly peerPort: number;
  readonly metricsPort: number;
  /** `host:port` of the platform's object store. */
  readonly store: string;
  /** How often a backend server renews its entry in the store. */
  readonly heartbeatMs: number;
  /** How long after a server has ended no other service can be given its address. */
  readonly reuseAfterMs: number;
  /** A server that leaves has to get no new requests after this time. */
  readonly leavingDelayMs: number;
  /** A change of the configuration has to be in force after this time. */
  readonly configurationDelayMs: number;
  /** How long a graceful shutdown may take before the process is killed. */
  readonly stopMs: number;
  /** The fleet's retry budget per window: `retryRatio` times the requests, plus `retrySlack`. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Bytes of memory that the process may use, if the platform says less than the machine. */
  readonly memoryBytes?: number | undefined;
  /** The same for open descriptors of connections. */
  readonly descriptors?: number | undefined;
  /** Bytes held for others at most; derived from the memory by default. */
  readonly memoryBudgetBytes?: number | undefined;
  /** Callers' connections at most; derived from the limit on descriptors by default. */
  readonly maxConnections?: number | undefined;
  /**
   * Share of a route's objective that a stream's first event may be later so that the stream stays
   * in the instance's zone; by default 0: streams go where the first event is earliest.
   */
  readonly zoneStayShare?: number | undefined;
  /** Bounds on what bad versions may get in rollouts; undefined where there are none. */
  readonly rollouts?: RolloutBounds | undefined;
}
