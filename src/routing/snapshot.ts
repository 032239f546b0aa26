/** Routing state as the administration API and the metrics expose it. */
import type { Priority } from '../common/priority.js';
import type { ServerSnapshot } from './servers.js';
import type { AttemptKind } from './queuedrequest.js';

/** Counters since the daemon started, for metrics. */
export interface RoutingCounts {
  readonly assigned: Readonly<Record<AttemptKind, number>>;
  readonly refused: Readonly<Record<string, number>>;
}

export interface QueueSnapshot {
  readonly workspace: string;
  readonly priority: Priority;
  readonly waiting: number;
}

export interface RoutingSnapshot {
  readonly queues: readonly QueueSnapshot[];
  readonly servers: readonly ServerSnapshot[];
  readonly prefixBlocks: number;
}
