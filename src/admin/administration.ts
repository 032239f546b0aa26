/** What administrators may see and do on one instance; the instance implements it. */
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
  /** A higher revision that could not be put in force. */
  readonly rejectedRevision?: number | undefined;
  readonly openAnswers: number;
  /** Since the object API, or a peer, was last heard from. */
  readonly storeSilentMs: number;
}

export interface EngineStatus {
  readonly name: string;
  readonly zone: string;
  readonly pool: string;
  readonly health: Health;
  readonly role: EngineRole | 'unknown';
  readonly drained: boolean;
  /** Attempts of this instance that run there. */
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
  /** The fencing number that the holder's orders carry. */
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

/** One instance as the instance that is asked sees it. */
export interface InstanceEntry extends Member {
  /** Taken out of the balancer by an administrator. */
  readonly drained: boolean;
}

/** What one instance decided about a request. */
export interface InstanceDecisions {
  readonly instance: string;
  /** Oldest first; their times compare within one instance only. */
  readonly decisions: readonly Decision[];
}

export interface Administration {
  status(): InstanceStatus;
  members(): readonly InstanceEntry[];
  engines(): readonly EngineStatus[];
  lease(): LeaseStatus;
  queues(): readonly QueueStatus[];
  workspaces(): readonly WorkspaceStatus[];
  /** The instances that know the request, as far as they answer. */
  why(request: string): Promise<readonly InstanceDecisions[]>;
  /** Takes this instance out of the balancer; open answers are finished. */
  drain(): void;
  undrain(): void;
}
