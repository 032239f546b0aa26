/** The administration interface of one instance, and the types of its responses. */
import type { EngineRole } from '../engines/engine.js';
import type { Health } from '../engines/directory.js';
import type { Member } from '../membership/instances.js';
import type { Decision } from './decisions.js';

export interface InstanceStatus {
  readonly name: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly draining: boolean;
  /** The revision in force, 0 for none. */
  readonly revision: number;
  /** A higher revision that could not be applied. */
  readonly rejectedRevision?: number | undefined;
  readonly openAnswers: number;
  /** Time since the object API, or a peer, last responded. */
  readonly storeSilentMs: number;
}

export interface EngineStatus {
  readonly name: string;
  readonly zone: string;
  readonly pool: string;
  readonly health: Health;
  readonly role: EngineRole | 'unknown';
  readonly drained: boolean;
  /** Attempts of this instance that run on the engine. */
  readonly inFlight: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Loaded models, as `model@version`. */
  readonly models: readonly string[];
  readonly loading: readonly string[];
}

export interface LeaseStatus {
  readonly holder: string | undefined;
  readonly heldHere: boolean;
  /** The fencing token that the holder's orders carry. */
  readonly fence: number;
}

export interface QueueStatus {
  readonly priority: string;
  readonly workspace: string;
  readonly waiting: number;
}

export interface WorkspaceStatus {
  readonly name: string;
  readonly running: number;
  readonly concurrencyShare: number;
  readonly requestsPerSecondShare: number;
}

/** One instance as seen by the instance that responds. */
export interface InstanceEntry extends Member {
  /** Whether an administrator has taken it out of the load balancer. */
  readonly drained: boolean;
}

/** The decisions of one instance about a request. */
export interface InstanceDecisions {
  readonly instance: string;
  /** Oldest first; the times are comparable within one instance only. */
  readonly decisions: readonly Decision[];
}

export interface Administration {
  status(): InstanceStatus;
  members(): readonly InstanceEntry[];
  engines(): readonly EngineStatus[];
  lease(): LeaseStatus;
  queues(): readonly QueueStatus[];
  workspaces(): readonly WorkspaceStatus[];
  /** The decisions of all reachable instances that know the request. */
  why(request: string): Promise<readonly InstanceDecisions[]>;
  /** Takes this instance out of the load balancer; responses in progress are completed. */
  drain(): void;
  undrain(): void;
}
