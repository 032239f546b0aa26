/**
 * The interface through which requests obtain backend servers: admission once per request, and an
 * assignment once per attempt.
 */
import type { Observable } from 'rxjs';
import type { Result } from 'neverthrow';
import type { Refusal } from '../common/refusal.js';
import type { Priority } from '../common/priority.js';
import type { Input } from '../engines/engine.js';
import type { Admission } from '../limits/admission.js';

/** An attempt's request for a backend server. */
export interface AssignmentRequest {
  /** Identifies the request in the log. */
  readonly requestId: string;
  readonly workspace: string;
  readonly priority: Priority;
  readonly target:
    | {
      readonly kind: 'model';
      readonly model: string;
      /** Set for a resume, which has to continue on the version it started on. */
      readonly version: string | undefined;
      readonly adapter: string | undefined;
      readonly input: Input;
    }
    | { readonly kind: 'service'; readonly service: string };
  /** Whether the caller already has part of the answer; resumes go before new requests. */
  readonly resume: boolean;
  /** Servers that must not be assigned, such as those tried before; the last tried one is last. */
  readonly exclude: readonly string[];
  /**
   * Whether the request was dispatched to a server before; if left out, a request with servers to
   * exclude counts as a retry.
   */
  readonly retry?: boolean;
  /** Time that the request's earlier attempts waited in queues; counts toward its deadline. */
  readonly waitedMs?: number;
}

/** The outcome of an attempt, which feeds the circuit breakers and the hold times. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'cancelled';

export interface Assignment {
  readonly server: string;
  /** The model version to run; empty for services. */
  readonly version: string;
  /** Frees the server's slot; must be called once. */
  release(outcome: AttemptOutcome): void;
}

export interface Dispatcher {
  /** Checks the workspace's limits and counts the request against them. */
  admit(workspace: string, priority: Priority): Result<Admission, Refusal>;

  /**
   * Emits one assignment or refusal and completes. The request is queued while no server has
   * capacity, and refused if that lasts too long; the observable never errors. Unsubscribing
   * removes the request from the queue.
   */
  assign(request: AssignmentRequest): Observable<Result<Assignment, Refusal>>;
}
