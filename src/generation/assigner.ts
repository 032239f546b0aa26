/** Obtains the backend server for a generation's next attempt. */
import { Subscription } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { monotonicScheduler } from '../common/time.js';
import type { Assignment, Dispatcher } from '../routing/dispatcher.js';
import type { AssignReason, GenerationEvent } from './event.js';
import type { Permit, ResumePacer } from './pacing.js';
import type { GenerationRequest } from './request.js';
import type { GenerationState } from './state.js';

/** An assigned backend server, with what has to be released. */
export interface AssignedServer {
  readonly reason: AssignReason;
  readonly assignment: Assignment;
  /** Held until the attempt's first token, for attempts that follow a loss. */
  readonly permit: Permit | undefined;
}

export interface AssignerContext {
  readonly dispatcher: Dispatcher;
  readonly pacer?: ResumePacer;
  readonly scheduler?: SchedulerLike;
}

export class AttemptAssigner {
  readonly #request: GenerationRequest;

  readonly #context: AssignerContext;

  readonly #receive: (event: GenerationEvent) => void;

  #waiting: Subscription | undefined;

  #permit: Permit | undefined;

  /** Total time of earlier waits, which counts against the limit on waiting after a loss too. */
  #waitedMs = 0;

  #waitingSince: number | undefined;

  #assigned: AssignedServer | undefined;

  private constructor(
    request: GenerationRequest,
    context: AssignerContext,
    receive: (event: GenerationEvent) => void,
  ) {
    this.#request = request;
    this.#context = context;
    this.#receive = receive;
  }

  static of(
    request: GenerationRequest,
    context: AssignerContext,
    receive: (event: GenerationEvent) => void,
  ): AttemptAssigner {
    return new AttemptAssigner(request, context, receive);
  }

  /** Requests a server and reports `assigned` or `unassignable`. */
  start(reason: AssignReason, state: GenerationState, exclude: readonly string[]): void {
    this.withdraw();
    const waiting = new Subscription();
    this.#waiting = waiting;
    this.#waitingSince = this.#now;
    const request = () => waiting.add(this.#requestServer(waiting, reason, state, exclude));
    const { pacer } = this.#context;
    if (reason === 'begin' || !pacer) {
      request();
      return;
    }
    waiting.add(pacer.acquire(this.#request.priority).subscribe((permit) => {
      if (waiting.closed) {
        permit.release();
        return;
      }
      this.#permit = permit;
      request();
    }));
  }

  /** Takes the server just reported as assigned; the caller has to release it. */
  take(): AssignedServer | undefined {
    const assigned = this.#assigned;
    this.#assigned = undefined;
    return assigned;
  }

  /** Stops waiting. */
  withdraw(): void {
    this.#addWaitTime();
    this.#waiting?.unsubscribe();
    this.#waiting = undefined;
    this.#permit?.release();
    this.#permit = undefined;
  }

  get #now(): number {
    return (this.#context.scheduler ?? monotonicScheduler).now();
  }

  #addWaitTime(): void {
    if (this.#waitingSince === undefined) return;
    this.#waitedMs += this.#now - this.#waitingSince;
    this.#waitingSince = undefined;
  }

  #requestServer(
    waiting: Subscription,
    reason: AssignReason,
    state: GenerationState,
    exclude: readonly string[],
  ): Subscription {
    const {
      id, workspace, priority, model, adapter, input,
    } = this.#request;
    return this.#context.dispatcher.assign({
      requestId: id,
      workspace,
      priority,
      target: {
        kind: 'model', model, version: state.version, adapter, input,
      },
      resume: state.accepted.tokens > 0,
      exclude,
      retry: reason !== 'begin',
      waitedMs: this.#waitedMs,
    }).subscribe((result) => {
      if (waiting.closed) {
        result.map((assignment) => assignment.release('cancelled'));
        return;
      }
      result.match(
        (assignment) => this.#handleAssignment(reason, assignment),
        (refusal) => {
          // If no other server is available, one that failed before may be used.
          if (exclude.length > 0 && reason !== 'hedge' && refusal.code === 'unavailable') {
            waiting.add(this.#requestServer(waiting, reason, state, []));
            return;
          }
          this.withdraw();
          this.#receive({ kind: 'unassignable', refusal });
        },
      );
    });
  }

  #handleAssignment(reason: AssignReason, assignment: Assignment): void {
    const permit = this.#permit;
    this.#addWaitTime();
    this.#permit = undefined;
    this.#waiting = undefined;
    this.#assigned = { reason, assignment, permit };
    const { server, version } = assignment;
    this.#receive({ kind: 'assigned', server, version });
    // Not taken: the generation no longer needs it.
    if (this.#assigned?.assignment !== assignment) return;
    this.#assigned = undefined;
    assignment.release('cancelled');
    permit?.release();
  }
}
