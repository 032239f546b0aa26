/** Runs one generation: performs the effects of its transactions and feeds back the events. */
import { Observable, Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { monotonicScheduler } from '../common/time.js';
import { cancelAttempt } from '../engines/cancellation.js';
import type { Directory } from '../engines/directory.js';
import type { AttemptFailure, EngineEvent } from '../engines/engine.js';
import type { Watcher } from '../engines/watch.js';
import type { CrashingRequests } from '../limits/crashingrequests.js';
import type { AttemptOutcome, Dispatcher } from '../routing/dispatcher.js';
import { AttemptAssigner } from './assigner.js';
import { AttemptReader } from './attempt.js';
import type {
  AssignReason, GenerationEffect, GenerationEvent, ReturnPoint,
} from './event.js';
import type { GenerationMeter } from './meter.js';
import type { ResumePacer } from './pacing.js';
import { CrashWatch } from './crashwatch.js';
import { GenerationRecorder } from './recorder.js';
import type { AnswerEvent, GenerationRequest } from './request.js';
import { generationState } from './state.js';
import type { Attempt, GenerationState } from './state.js';
import { transaction } from './transaction.js';

const MAX_ATTEMPTS = 6;
/** How long a partial answer may wait for its next token after a loss. */
const RECOVERY_LIMIT_MS = 10_000;
const TOTAL_LIMIT_MS = 60 * 60 * 1_000;

export interface GenerationContext {
  readonly dispatcher: Dispatcher;
  readonly directory: Directory;
  readonly log: Log;
  readonly scheduler?: SchedulerLike;
  /** Watches streams for silence; without one, only a closed connection is noticed. */
  readonly watcher?: Watcher;
  readonly pacer?: ResumePacer;
  readonly meter?: GenerationMeter;
  /** Requests that crash engines; without it, none is refused for that. */
  readonly crashes?: CrashingRequests;
  /** Whether a silent attempt may be hedged with another one. */
  readonly hedges?: () => boolean;
}

export interface GenerationOptions {
  /** True while the caller does not read; the engine's stream is then paused. */
  readonly backpressure?: Observable<boolean>;
  /** Set for a caller that returns to an attempt started earlier. */
  readonly from?: ReturnPoint;
  /** Called for each attempt that is dispatched. */
  readonly onDispatch?: (attempt: Attempt) => void;
}

function removedFailure(server: string): AttemptFailure {
  return {
    kind: 'failed', cause: 'connect', ran: 'no', message: `${server} was removed`,
  };
}

class GenerationRun {
  readonly #request: GenerationRequest;

  readonly #context: GenerationContext;

  readonly #options: GenerationOptions;

  readonly #emit: (event: AnswerEvent) => void;

  readonly #scheduler: SchedulerLike;

  readonly #recorder: GenerationRecorder;

  readonly #readers = new Map<number, AttemptReader>();

  readonly #timers = new Subscription();

  readonly #assigner: AttemptAssigner;

  readonly #crashWatch: CrashWatch;

  #recoveryTimer: Subscription | undefined;

  #state: GenerationState;

  private constructor(
    request: GenerationRequest,
    context: GenerationContext,
    options: GenerationOptions,
    emit: (event: AnswerEvent) => void,
  ) {
    this.#request = request;
    this.#context = context;
    this.#options = options;
    this.#emit = emit;
    this.#scheduler = context.scheduler ?? monotonicScheduler;
    this.#recorder = GenerationRecorder.of({
      request: request.id,
      returned: options.from !== undefined,
      log: context.log,
      meter: context.meter,
      scheduler: this.#scheduler,
      tokens: () => this.#state.accepted.tokens,
    });
    this.#state = generationState({
      repeatable: request.repeat === 'safe',
      maxAttempts: MAX_ATTEMPTS,
      hedges: context.hedges?.() ?? false,
      maxTokens: request.sampling.maxTokens,
    });
    this.#crashWatch = CrashWatch.of(request, context.crashes);
    this.#assigner = AttemptAssigner.of(request, context, (event) => this.#receive(event));
  }

  static of(
    request: GenerationRequest,
    context: GenerationContext,
    options: GenerationOptions,
    emit: (event: AnswerEvent) => void,
  ): GenerationRun {
    return new GenerationRun(request, context, options, emit);
  }

  start(): void {
    const { from } = this.#options;
    this.#timers.add(timer(TOTAL_LIMIT_MS, this.#scheduler).subscribe(() => (
      this.#receive({ kind: 'expired', message: 'the generation exceeded its time limit' }))));
    this.#receive(from ? { kind: 'return', from } : { kind: 'begin' });
  }

  stop(): void {
    this.#receive({ kind: 'caller_gone' });
    this.#end();
  }

  #receive(event: GenerationEvent): void {
    const tr = transaction(this.#state, event);
    this.#state = tr.state;
    tr.effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GenerationEffect): void {
    switch (effect.kind) {
      case 'token':
        this.#emit(effect);
        break;
      case 'finish':
        this.#crashWatch.finished();
        this.#end();
        this.#emit(effect);
        break;
      case 'refuse':
        this.#recorder.refused(effect.refusal);
        this.#end();
        this.#emit({ kind: 'refusal', refusal: effect.refusal });
        break;
      case 'assign':
        this.#assign(effect.reason, effect.exclude);
        break;
      case 'withdraw':
        this.#assigner.withdraw();
        break;
      case 'dispatch':
        this.#dispatch(effect.attempt);
        break;
      case 'close':
        this.#close(effect.attempt, effect.outcome);
        break;
      case 'cancel':
        this.#cancel(effect.attempt, effect.outcome, false);
        break;
      case 'settle':
        this.#cancel(effect.attempt, 'failed', true);
        break;
      case 'drop':
        this.#recorder.dropped(effect.cause);
        break;
    }
  }

  #assign(reason: AssignReason, exclude: readonly string[]): void {
    const { refusal } = this.#crashWatch;
    if (refusal) return this.#receive({ kind: 'rejected', refusal });
    if (reason === 'resume') this.#limitRecovery();
    if (reason !== 'begin') this.#recorder.reassigning(reason, exclude);
    this.#assigner.start(reason, this.#state, exclude);
  }

  #limitRecovery(): void {
    if (this.#recoveryTimer && !this.#recoveryTimer.closed) return;
    this.#recoveryTimer = timer(RECOVERY_LIMIT_MS, this.#scheduler).subscribe(() => (
      this.#receive({ kind: 'expired', message: 'no backend server resumed it in time' })));
  }

  #dispatch(attempt: Attempt): void {
    const { number, server } = attempt;
    const assigned = attempt.kind === 'begin' ? this.#assigner.take() : undefined;
    const view = this.#context.directory.engine(server);
    if (!view) {
      assigned?.assignment.release('refused');
      assigned?.permit?.release();
      this.#receive({ kind: 'failed', attempt: number, failure: removedFailure(server) });
      return;
    }
    this.#recorder.dispatched(attempt, assigned?.reason);
    this.#crashWatch.dispatched(number, view);
    this.#options.onDispatch?.(attempt);
    const reader = AttemptReader.of({
      attempt,
      request: this.#request,
      accepted: this.#state.accepted,
      client: view.client,
      assigned,
      backpressure: this.#options.backpressure,
      watcher: this.#context.watcher,
    }, {
      event: (event) => this.#handleEvent(number, event),
      suspected: () => this.#receive({ kind: 'suspected', attempt: number }),
    });
    this.#readers.set(number, reader);
    reader.start();
  }

  #handleEvent(attempt: number, event: EngineEvent): void {
    if (event.kind === 'failed') {
      this.#recorder.attemptFailed(attempt, event);
      this.#crashWatch.failed(attempt, event);
      this.#receive({ kind: 'failed', attempt, failure: event });
      return;
    }
    if (event.kind === 'opened') this.#crashWatch.opened(attempt, event.incarnation);
    const before = this.#state.accepted.tokens;
    this.#receive({ ...event, attempt });
    if (event.kind !== 'token' || this.#state.accepted.tokens <= before) return;
    this.#crashWatch.progressed(attempt, this.#scheduler.now());
    this.#progressed(attempt);
  }

  #progressed(attempt: number): void {
    this.#readers.get(attempt)?.progressed();
    this.#recorder.progressed(attempt);
    this.#recoveryTimer?.unsubscribe();
  }

  #cancel(attempt: Attempt, outcome: AttemptOutcome, settle: boolean): void {
    const { number } = attempt;
    const reader = this.#close(attempt, outcome);
    if (!reader) {
      if (settle) this.#receive({ kind: 'settled', attempt: number, outcome: { kind: 'unknown' } });
      return;
    }
    this.#recorder.cancelled(attempt, outcome);
    cancelAttempt(reader.client, this.#request.id, number, reader.opened, this.#scheduler)
      .then((result) => {
        if (settle) this.#receive({ kind: 'settled', attempt: number, outcome: result });
      }, () => undefined);
  }

  #close({ number }: Attempt, outcome: AttemptOutcome): AttemptReader | undefined {
    const reader = this.#readers.get(number);
    reader?.close(outcome);
    this.#readers.delete(number);
    return reader;
  }

  #end(): void {
    this.#assigner.withdraw();
    this.#timers.unsubscribe();
    this.#recoveryTimer?.unsubscribe();
    [...this.#readers.values()].forEach((reader) => reader.close('cancelled'));
    this.#readers.clear();
    this.#recorder.ended();
  }
}

/**
 * The answer to a request. It completes after a finish or a refusal; unsubscribing before that
 * cancels the work on the engine.
 */
export function generate(
  request: GenerationRequest,
  context: GenerationContext,
  options: GenerationOptions = {},
): Observable<AnswerEvent> {
  return new Observable((subscriber) => {
    let ended = false;
    const run = GenerationRun.of(request, context, options, (event) => {
      ended = event.kind !== 'token';
      subscriber.next(event);
      if (ended) subscriber.complete();
    });
    run.start();
    return () => {
      if (!ended) run.stop();
    };
  });
}
