/** What the gauges of a relay's metrics show, read when they are asked for. */
import type { ServerMeasurements } from './servermetrics.js';
import type { ServerState } from './serverstate.js';

export interface RelayGauges {
  /** Log lines dropped since the start. */
  readonly droppedLogLines: () => number;
  readonly servers: () => readonly ServerState[];
  readonly configurationVersion: () => number;
  /** Responses that have not ended. */
  readonly openAnswers: () => number;
  /** Other live instances. */
  readonly peers: () => number;
  /** Milliseconds since the store last answered. */
  readonly storeSilentMs: () => number;
  /** Milliseconds since the copy of the servers' entries was last confirmed. */
  readonly serverCopyAgeMs: () => number;
  /** Prompt parts, or groups of them, whose requests are refused because they crash engines. */
  readonly quarantines: () => number;
  /** Services of which this instance reaches no server. */
  readonly unreachedServices: () => number;
  /** Servers that name a rate limit. */
  readonly limitedServers: () => number;
  /** What this instance sheds: 0 for nothing, 1 for everything but rank 0. */
  readonly overload: () => number;
  /** Bytes held for callers, holdings that gave way, and connections that were refused. */
  readonly memory: () => {
    readonly held: number;
    readonly evictions: number;
    readonly refusedConnections: number;
  };
  /** Retries that this instance may still send, for the service with the fewest left. */
  readonly retriesLeft: () => number;
  /** Times of servers' streams, and their pace. */
  readonly serverMeasurements: () => readonly ServerMeasurements[];
}
