/**
 * The interface between a request and the choice of a backend server: admission once per request,
 * an assignment once per attempt.
 */
import type { Observable } from 'rxjs';
import type { Result } from 'neverthrow';
import type { Refusal } from '../common/refusal.js';
import type { Priority } from '../common/priority.js';
import type { Input } from '../engines/engine.js';
import type { Admission } from '../limits/admission.js';

/** What an attempt needs of a backend server. */
export interface AssignmentRequest {
  /** The request's identifier, for the log. */
  readonly requestId: string;
  readonly workspace: string;
  readonly priority: Priority;
  readonly target:
    | {
      readonly kind: 'model';
      readonly model: string;
      /** Set for a resume, which must go on with the version it began on. */
      readonly version: string | undefined;
      readonly adapter: string | undefined;
      readonly input: Input;
    }
    | { readonly kind: 'service'; readonly service: string };
  /** Whether the caller already has part of the answer; resumes go before new work. */
  readonly resume: boolean;
  readonly exclude: readonly string[];
  /**
   * Whether the request was given to a server before; taken from `exclude` where it is left out.
   */
  readonly retry?: boolean;
  /** How long the request has waited for servers before, over all its attempts. */
  readonly waitedMs?: number;
}

/** How a server did, for circuit breakers and retry budgets. */
export type AttemptOutcome = 'answered' | 'failed' | 'refused' | 'cancelled';

export interface Assignment {
  readonly server: string;
  /** The model version to run; empty for services. */
  readonly version: string;
  /** Gives the server's place back; call once. */
  release(outcome: AttemptOutcome): void;
}

export interface Dispatcher {
  /** Checks the workspace's limits. */
  admit(workspace: string, priority: Priority): Result<Admission, Refusal>;

  /**
   * Emits one assignment and completes, waiting in the queue while no server has room. Errors with
   * nothing: a request that can't be placed in time is emitted as a refusal. Unsubscribing leaves
   * the queue.
   */
  assign(demand: AssignmentRequest): Observable<Result<Assignment, Refusal>>;
}
