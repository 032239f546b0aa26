/** What a relaying daemon is told when it starts. Times are in milliseconds. */
export interface RelaySettings {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
  /** `host:port` that callers connect to. */
  readonly callers: string;
  /** `host:port` that the balancer asks whether this instance takes connections. */
  readonly readiness: string;
  /** IP addresses of some other instances; they may be stale. */
  readonly seeds: readonly string[];
  /** Port of the same number on every instance, for messages between daemons. */
  readonly peerPort: number;
  readonly metricsPort: number;
  /** `host:port` of the platform's object store. */
  readonly store: string;
  /** How often a backend server renews its entry in the store. */
  readonly heartbeatMs: number;
  /** How long an address is kept from other services after its server has ended. */
  readonly reuseAfterMs: number;
  /** How long a stop may take before the process is killed. */
  readonly stopMs: number;
  /** The fleet's retries in a window: `retryRatio` times the requests, and `retrySlack` besides. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
}
