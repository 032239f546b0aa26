/** Runs one generation: performs the effects of its transactions and feeds back what happens. */
import { Observable, Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Directory } from '../engines/directory.js';
import type { AttemptRequest, EngineEvent } from '../engines/engine.js';
import type { Assignment, AttemptOutcome, Dispatcher } from '../routing/dispatcher.js';
import type { GenerationEffect, GenerationEvent } from './change.js';
import type { AnswerEvent, GenerationRequest } from './request.js';
import { generationState } from './state.js';
import type { Attempt, GenerationState } from './state.js';
import { begin, transaction } from './transaction.js';
import type { Transaction } from './transaction.js';

const MAX_ATTEMPTS = 6;

export interface GenerationContext {
  readonly dispatcher: Dispatcher;
  readonly directory: Directory;
  readonly log: Log;
}

class GenerationRun {
  readonly #request: GenerationRequest;

  readonly #context: GenerationContext;

  readonly #emit: (event: AnswerEvent) => void;

  readonly #streams = new Map<number, Subscription>();

  readonly #assignments = new Map<number, Assignment>();

  #queued: Subscription | undefined;

  #assignment: Assignment | undefined;

  #state: GenerationState;

  private constructor(
    request: GenerationRequest,
    context: GenerationContext,
    emit: (event: AnswerEvent) => void,
  ) {
    this.#request = request;
    this.#context = context;
    this.#emit = emit;
    this.#state = generationState({
      repeatable: request.repeat === 'safe', maxAttempts: MAX_ATTEMPTS,
    });
  }

  static of(
    request: GenerationRequest,
    context: GenerationContext,
    emit: (event: AnswerEvent) => void,
  ): GenerationRun {
    return new GenerationRun(request, context, emit);
  }

  start(): void {
    this.#apply(begin(this.#state));
  }

  stop(): void {
    this.#receive({ kind: 'caller_gone' });
    this.#queued?.unsubscribe();
  }

  #receive(event: GenerationEvent): void {
    this.#apply(transaction(this.#state, event));
  }

  #apply(tr: Transaction): void {
    this.#state = tr.state;
    tr.effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GenerationEffect): void {
    switch (effect.kind) {
      case 'token':
        this.#emit(effect);
        break;
      case 'finish':
        this.#closeAll('answered');
        this.#emit(effect);
        break;
      case 'refuse':
        this.#emit({ kind: 'refusal', refusal: effect.refusal });
        break;
      case 'assign':
        this.#assign(effect.exclude);
        break;
      case 'dispatch':
        this.#dispatch(effect.attempt);
        break;
      case 'cancel':
        this.#cancel(effect.attempt);
        break;
      case 'drop':
        this.#context.log.event('debug', 'token_dropped', {
          request: this.#request.id, cause: effect.cause,
        });
        break;
    }
  }

  #assign(exclude: readonly string[]): void {
    const { model, adapter, input } = this.#request;
    this.#queued = this.#context.dispatcher.assign({
      request: this.#request.id,
      workspace: this.#request.workspace,
      priority: this.#request.priority,
      target: {
        kind: 'model', model, version: this.#state.version, adapter, input,
      },
      resume: this.#state.accepted.tokens > 0,
      exclude,
    }).subscribe((result) => result.match(
      (assignment) => {
        this.#assignment = assignment;
        const { server, version } = assignment;
        this.#receive({ kind: 'assigned', server, version });
      },
      (refusal) => this.#receive({ kind: 'unassignable', refusal }),
    ));
  }

  #dispatch(attempt: Attempt): void {
    const { number } = attempt;
    if (this.#assignment) this.#assignments.set(number, this.#assignment);
    const view = this.#context.directory.engine(attempt.server);
    if (!view) {
      this.#receive({
        kind: 'failed',
        attempt: number,
        failure: {
          kind: 'failed', cause: 'connect', ran: 'no', message: 'the engine was removed',
        },
      });
      return;
    }
    const stream = new Subscription();
    this.#streams.set(number, stream);
    stream.add(view.client.generate(this.#attemptRequest(attempt))
      .subscribe((event) => this.#arrive(number, event)));
  }

  #attemptRequest({ number, version }: Attempt): AttemptRequest {
    const {
      id, model, adapter, input, sampling, priority,
    } = this.#request;
    return {
      generation: id,
      attempt: number,
      model,
      version,
      adapter,
      input,
      accepted: this.#state.accepted,
      sampling,
      priority,
    };
  }

  #arrive(attempt: number, event: EngineEvent): void {
    switch (event.kind) {
      case 'opened': break;
      case 'token':
      case 'finish':
        this.#receive({ ...event, attempt });
        break;
      case 'failed':
        this.#receive({ kind: 'failed', attempt, failure: event });
        break;
    }
  }

  #cancel({ number, server }: Attempt): void {
    this.#close(number, 'cancelled');
    const view = this.#context.directory.engine(server);
    view?.client.cancel(this.#request.id, number).catch(() => undefined);
  }

  #close(attempt: number, outcome: AttemptOutcome): void {
    this.#streams.get(attempt)?.unsubscribe();
    this.#streams.delete(attempt);
    this.#assignments.get(attempt)?.release(outcome);
    this.#assignments.delete(attempt);
  }

  #closeAll(outcome: AttemptOutcome): void {
    [...this.#streams.keys()].forEach((attempt) => this.#close(attempt, outcome));
  }
}

/**
 * The answer to a request, produced while it is subscribed to. It ends after a finish or a refusal;
 * unsubscribing before that cancels the work on the engine.
 */
export function generate(
  request: GenerationRequest,
  context: GenerationContext,
): Observable<AnswerEvent> {
  return new Observable((subscriber) => {
    const run = GenerationRun.of(request, context, (event) => {
      subscriber.next(event);
      if (event.kind !== 'token') subscriber.complete();
    });
    run.start();
    return () => run.stop();
  });
}
