/** Runs one generation: performs the effects of its transactions and feeds back what happens. */
import { Observable, Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { monotonicScheduler } from '../common/time.js';
import { cancelAttempt } from '../engines/cancellation.js';
import type { Directory } from '../engines/directory.js';
import type { AttemptFailure, EngineEvent } from '../engines/engine.js';
import type { Watcher } from '../engines/watch.js';
import type { AttemptOutcome, Dispatcher } from '../routing/dispatcher.js';
import { AttemptReader } from './attempt.js';
import type {
  AssignReason, DropCause, GenerationEffect, GenerationEvent, Return,
} from './change.js';
import { silentMeter } from './meter.js';
import type { GenerationMeter } from './meter.js';
import type { ResumePacer } from './pacing.js';
import { Placing } from './placing.js';
import type { AnswerEvent, GenerationRequest } from './request.js';
import { generationState } from './state.js';
import type { Attempt, GenerationState } from './state.js';
import { transaction } from './transaction.js';

const MAX_ATTEMPTS = 6;
/** How long a caller that has part of an answer waits for the next token after a loss. */
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
  /** Whether a second attempt may be started beside a silent one. */
  readonly hedges?: () => boolean;
}

export interface GenerationOptions {
  /** True while the caller does not read, so that the engine's stream is not read on. */
  readonly held?: Observable<boolean>;
  /** Set for a caller that returns to an attempt begun earlier. */
  readonly from?: Return;
  /** Told of every attempt that is dispatched. */
  readonly dispatched?: (attempt: Attempt) => void;
}

function removed(server: string): AttemptFailure {
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

  readonly #meter: GenerationMeter;

  readonly #readers = new Map<number, AttemptReader>();

  readonly #startedAt: number;

  readonly #drops = new Map<DropCause, number>();

  readonly #timers = new Subscription();

  readonly #placing: Placing;

  #recovery: Subscription | undefined;

  #tokenAt: number;

  /** The attempt that the last token came from. */
  #source: number | undefined;

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
    this.#meter = context.meter ?? silentMeter;
    this.#startedAt = this.#scheduler.now();
    this.#tokenAt = this.#startedAt;
    this.#state = generationState({
      repeatable: request.repeat === 'safe',
      maxAttempts: MAX_ATTEMPTS,
      hedges: context.hedges?.() ?? false,
      maxTokens: request.sampling.maxTokens,
    });
    this.#placing = Placing.of(request, context, (event) => this.#receive(event));
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
    this.#timers.add(timer(TOTAL_LIMIT_MS, this.#scheduler)
      .subscribe(() => this.#receive({ kind: 'expired', message: 'it took too long' })));
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
        this.#end();
        this.#emit(effect);
        break;
      case 'refuse':
        this.#meter.refused(effect.refusal.code);
        this.#log('refuse', {
          code: effect.refusal.code,
          ran: effect.refusal.ran,
          reason: effect.refusal.message,
        });
        this.#end();
        this.#emit({ kind: 'refusal', refusal: effect.refusal });
        break;
      case 'assign':
        this.#assign(effect.reason, effect.exclude);
        break;
      case 'withdraw':
        this.#placing.withdraw();
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
        this.#drop(effect.cause);
        break;
    }
  }

  #log(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
    this.#context.log.event('info', event, {
      request: this.#request.id, tokens: this.#state.accepted.tokens, ...fields,
    });
  }

  /** Logs the first drop of each cause; a broken engine may cause one for every token. */
  #drop(cause: DropCause): void {
    const count = (this.#drops.get(cause) ?? 0) + 1;
    this.#drops.set(cause, count);
    this.#meter.dropped(cause);
    if (count === 1) this.#log('drop', { cause });
  }

  #assign(reason: AssignReason, exclude: readonly string[]): void {
    if (reason === 'resume') this.#limitRecovery();
    if (reason !== 'begin') {
      this.#log(reason, {
        exclude: exclude.join(','),
        silent_ms: Math.round(this.#scheduler.now() - this.#tokenAt),
      });
    }
    this.#placing.start(reason, this.#state, exclude);
  }

  #limitRecovery(): void {
    if (this.#recovery && !this.#recovery.closed) return;
    this.#recovery = timer(RECOVERY_LIMIT_MS, this.#scheduler).subscribe(() => (
      this.#receive({ kind: 'expired', message: 'no backend server went on in time' })));
  }

  #dispatch(attempt: Attempt): void {
    const { number, server } = attempt;
    const placed = attempt.kind === 'begin' ? this.#placing.take() : undefined;
    const view = this.#context.directory.engine(server);
    if (!view) {
      placed?.assignment.release('refused');
      placed?.permit?.release();
      this.#receive({ kind: 'failed', attempt: number, failure: removed(server) });
      return;
    }
    this.#meter.dispatched(placed?.reason ?? 'begin');
    this.#log('dispatch', {
      attempt: number, server, version: attempt.version, reason: placed?.reason ?? 'join',
    });
    this.#options.dispatched?.(attempt);
    const reader = AttemptReader.of({
      attempt,
      request: this.#request,
      accepted: this.#state.accepted,
      client: view.client,
      placed,
      held: this.#options.held,
      watcher: this.#context.watcher,
    }, {
      event: (event) => this.#arrive(number, event),
      suspected: () => this.#receive({ kind: 'suspected', attempt: number }),
    });
    this.#readers.set(number, reader);
    reader.start();
  }

  #arrive(attempt: number, event: EngineEvent): void {
    if (event.kind === 'failed') {
      this.#log('attempt_failed', {
        attempt, cause: event.cause, ran: event.ran, reason: event.message,
      });
      this.#receive({ kind: 'failed', attempt, failure: event });
      return;
    }
    const before = this.#state.accepted.tokens;
    this.#receive({ ...event, attempt });
    if (event.kind === 'token' && this.#state.accepted.tokens > before) this.#progressed(attempt);
  }

  #progressed(attempt: number): void {
    const now = this.#scheduler.now();
    this.#readers.get(attempt)?.progressed();
    if (this.#source !== attempt) {
      if (this.#source !== undefined) {
        this.#meter.resumed(now - this.#tokenAt);
        this.#log('resumed', { attempt, pause_ms: Math.round(now - this.#tokenAt) });
      } else if (!this.#options.from) {
        this.#meter.firstToken(now - this.#startedAt);
      }
      this.#source = attempt;
    }
    this.#recovery?.unsubscribe();
    this.#tokenAt = now;
  }

  #cancel(attempt: Attempt, outcome: AttemptOutcome, settle: boolean): void {
    const { number, server } = attempt;
    const reader = this.#close(attempt, outcome);
    if (!reader) {
      if (settle) this.#receive({ kind: 'settled', attempt: number, outcome: { kind: 'unknown' } });
      return;
    }
    this.#log('cancel', { attempt: number, server, outcome });
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
    this.#placing.withdraw();
    this.#timers.unsubscribe();
    this.#recovery?.unsubscribe();
    [...this.#readers.values()].forEach((reader) => reader.close('cancelled'));
    this.#readers.clear();
    if (this.#state.accepted.tokens > 0) this.#meter.tokens(this.#state.accepted.tokens);
  }
}

/**
 * The answer to a request, produced while it is subscribed to. It ends after a finish or a refusal;
 * unsubscribing before that cancels the work on the engine.
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
