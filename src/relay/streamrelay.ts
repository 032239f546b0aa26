/**
 * Relays a stream of server-sent events with the state machine of token generations, in which an
 * event takes the place of a token. An event's id gives its position; its bytes stay unchanged.
 * Each attempt names a second engine that keeps a standby copy of the run's KV cache, from which
 * the stream resumes when the first engine is lost.
 */
import { Subscription } from 'rxjs';
import type { LogFields } from '../common/log.js';
import type { GenerationEffect, GenerationEvent } from '../generation/event.js';
import type { Attempt, GenerationState } from '../generation/state.js';
import { transaction } from '../generation/transaction.js';
import type { AttemptPlan } from './attemptplan.js';
import type { Call } from './call.js';
import { watchCallEnds } from './callends.js';
import type { Caller, RelayContext } from './context.js';
import { countRetry, guarded, isPastDeadline } from './context.js';
import { quarantineRefusal } from './crashguard.js';
import { RETRY_AFTER_MS } from './enginechoice.js';
import type { EngineChoice } from './enginechoice.js';
import { Handover } from './handover.js';
import { attemptDenialReason, countAttempts, mayMigrate } from './migration.js';
import type { AttemptCounts } from './migration.js';
import { logUnplaced, streamRouteFields } from './routefields.js';
import type { RunDemand } from './selection.js';
import { stopRefusal } from './stopping.js';
import { StreamAttempt } from './streamattempt.js';
import { StreamRecorder } from './streamrecorder.js';
import { StreamRelease } from './streamrelease.js';
import { lastWritten, streamState, withArrival } from './streamstate.js';
import { StreamWriter } from './streamwriter.js';
import { prepareTakeUp, UNKNOWN_ORIGIN_MESSAGE } from './takeup.js';
import type { TakeUp } from './takeup.js';
import { waitForRoom } from './waitforroom.js';

const EXPIRED: GenerationEvent = { kind: 'expired', message: 'the deadline has passed' };

export class StreamRelay {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #writer: StreamWriter;

  readonly #context: RelayContext;

  readonly #recorder: StreamRecorder;

  readonly #timers = new Subscription();

  readonly #attempts = new Map<number, StreamAttempt>();

  /** The engines chosen for the attempt that is dispatched next. */
  #plan: AttemptPlan | undefined;

  /** Prompt tokens in an engine's KV cache; queried only for a reconnecting caller. */
  #cachedTokens: ((engine: string) => number) | undefined;

  readonly #release: StreamRelease;

  /** The engine that holds a standby copy of the run's KV cache. */
  #copyHolder: string | undefined;

  /** Where an engine has ended the stream without an event. */
  #emptyEndAt: number | undefined;

  readonly #handover: Handover;

  #state: GenerationState;

  private constructor(call: Call, caller: Caller, context: RelayContext) {
    this.#call = call;
    this.#caller = caller;
    this.#writer = StreamWriter.of(caller);
    this.#context = context;
    this.#handover = Handover.of(call, caller, context);
    this.#recorder = StreamRecorder.of(call, context);
    this.#release = StreamRelease.of(call, context.origins);
    this.#state = streamState(call);
  }

  /** Starts relaying; the returned function cancels the call when its caller disconnects. */
  static start(call: Call, caller: Caller, context: RelayContext): () => void {
    const relay = new StreamRelay(call, caller, context);
    relay.#begin();
    return () => {
      relay.#handover.cancel();
      relay.#apply({ kind: 'caller_gone' });
    };
  }

  get #counts(): AttemptCounts {
    return countAttempts([...this.#attempts.values()]);
  }

  /** Whether another attempt may be begun; what a caller has is ended at a stop's limit only. */
  get #hasTime(): boolean {
    return this.#writer.headSent || !this.#context.stopping.lacking(this.#call, this.#counts.sent);
  }

  get #lastAttempt(): StreamAttempt | undefined {
    return [...this.#attempts.values()].at(-1);
  }

  get #demand(): RunDemand {
    const { promptTokens, outputTokens } = this.#call.fields;
    return {
      promptTokens, outputTokens, zone: this.#context.zone, cachedTokens: this.#cachedTokens,
    };
  }

  #begin(): void {
    this.#timers.add(watchCallEnds(this.#call, this.#caller, this.#context, {
      expired: () => this.#apply(EXPIRED),
      rejected: (refusal) => this.#apply({ kind: 'rejected', refusal }),
      // A stream that runs may be sound; what crashes engines has lost its own.
      isSuspect: () => this.#state.accepted.tokens === 0,
    }));
    guarded(this.#caller, () => {
      if (this.#state.accepted.tokens > 0) this.#takeUp();
      else this.#apply({ kind: 'begin' });
    })();
  }

  /** Continues a stream of which the caller already has events. */
  #takeUp(): void {
    const begin = ({ origin, cachedTokens }: TakeUp) => {
      this.#cachedTokens = cachedTokens;
      this.#recorder.takenUp(origin);
      if (origin) this.#release.takeUp(origin.software);
      if (origin) this.#apply({ kind: 'begin' });
      else this.#unassignable(UNKNOWN_ORIGIN_MESSAGE);
    };
    const refuse = (error: unknown) => this.#unassignable(`${UNKNOWN_ORIGIN_MESSAGE}: ${error}`);
    prepareTakeUp(this.#call, this.#context).then(guarded(this.#caller, begin), refuse);
  }

  #apply(event: GenerationEvent): void {
    const { state, effects } = transaction(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
    if (state.phase.kind !== 'ended' || this.#timers.closed) return;
    this.#timers.unsubscribe();
    this.#recorder.streamEnded(state.accepted.tokens);
    const { retrySchedules, scheduler } = this.#context;
    if (this.#counts.sent > 0) retrySchedules.runEnded(this.#call, scheduler.now());
  }

  #perform(effect: GenerationEffect): void {
    switch (effect.kind) {
      case 'token':
        this.#write(effect.text);
        break;
      case 'finish':
        this.#recorder.recordDurations();
        this.#writer.finish(this.#lastAttempt);
        break;
      case 'refuse':
        this.#writer.refuse(withArrival(effect.refusal, this.#state, this.#lastAttempt));
        break;
      case 'assign':
        this.#assign(effect.exclude);
        break;
      case 'dispatch':
        this.#dispatch(effect.attempt);
        break;
      case 'cancel':
      case 'close':
        this.#attempts.get(effect.attempt.number)?.close();
        break;
      case 'settle':
        // These engines don't report the outcome of a run whose connection has closed.
        this.#attempts.get(effect.attempt.number)?.close();
        this.#apply({
          kind: 'settled', attempt: effect.attempt.number, outcome: { kind: 'unknown' },
        });
        break;
      case 'withdraw':
        break;
      case 'drop':
        this.#recorder.eventDropped(effect.cause);
        break;
    }
  }

  #assign(exclude: readonly string[]): void {
    const { service } = this.#call;
    if (isPastDeadline(this.#call, this.#context, this.#counts.sent)) {
      this.#apply(EXPIRED);
      return;
    }
    if (!service.engine) {
      this.#unassignable('the service has no engines');
      return;
    }
    if (this.#call.route.repeat === 'never' && this.#state.mayHaveRun) {
      this.#apply({ kind: 'expired', message: 'the request may run only once' });
      return;
    }
    const refusal = quarantineRefusal(this.#call, this.#context) ?? (this.#hasTime
      ? undefined : stopRefusal(this.#call, this.#context, this.#counts.sent));
    if (refusal) this.#apply({ kind: 'rejected', refusal });
    if (refusal || this.#handOver()) return;
    const reason = attemptDenialReason(this.#call, this.#counts, this.#context)
      ?? (this.#release.isAmbiguous ? UNKNOWN_ORIGIN_MESSAGE : undefined);
    if (reason !== undefined) {
      this.#unassignable(reason);
      return;
    }
    const demand = {
      run: this.#demand,
      exclude,
      copyHolder: this.#copyHolder,
      release: this.#release.required(this.#state.version),
      isNew: this.#counts.sent === 0 && this.#state.accepted.tokens === 0,
    };
    this.#timers.add(waitForRoom(this.#call, this.#caller, demand, service.engine, this.#context, {
      chosen: (choice) => this.#assigned(choice),
      unplaced: ({ message, inputs, retryAfterMs }) => (
        this.#unassignable(message, inputs, retryAfterMs)),
    }));
  }

  /** Returns whether another instance continues the stream. */
  #handOver(): boolean {
    const taken = this.#handover.start({
      attempts: this.#counts.sent,
      lastEvent: lastWritten(this.#state),
      software: this.#release.required(this.#state.version)?.software,
      headSent: this.#writer.headSent,
    });
    if (taken) this.#apply({ kind: 'caller_gone' });
    return taken;
  }

  #assigned(choice: Extract<EngineChoice, { kind: 'chosen' }>): void {
    const { plan, chosen: { server: { entry } } } = choice;
    if (this.#counts.arrived > 0) countRetry(this.#call, this.#context);
    this.#plan = plan;
    this.#context.log.event('info', 'route', streamRouteFields(this.#call, choice, {
      attempt: this.#state.attempts + 1,
      held_tokens: this.#cachedTokens?.(entry.id) ?? 0,
      from: this.#state.accepted.tokens,
    }, this.#context));
    this.#apply({ kind: 'assigned', server: entry.id, version: String(entry.weights ?? 0) });
  }

  #unassignable(message: string, inputs: LogFields = {}, retryAfterMs = RETRY_AFTER_MS): void {
    logUnplaced(this.#call, message, inputs, this.#context);
    this.#apply({
      kind: 'unassignable',
      refusal: {
        code: 'unavailable', message, ran: 'no', retryAfterMs,
      },
    });
  }

  #dispatch(attempt: Attempt): void {
    const plan = this.#plan!;
    const streamAttempt = StreamAttempt.of(this.#call, plan, {
      number: attempt.number,
      from: attempt.from,
      demand: this.#demand,
      excluded: this.#state.excluded,
      hasRun: [...this.#attempts.values()].some(({ isSound }) => isSound),
      reconnecting: this.#call.fields.lastEvent !== undefined,
      emptyEndAt: this.#emptyEndAt,
      canMigrate: (isLost) => this.#hasTime && mayMigrate(this.#call, this.#counts, isLost, {
        run: this.#demand,
        exclude: [...this.#state.excluded, attempt.server],
        release: this.#release.required(this.#state.version),
      }, this.#context),
      caller: this.#caller,
    }, this.#context, (event) => this.#onAttemptEvent(attempt, event));
    this.#attempts.set(attempt.number, streamAttempt);
    this.#writer.sending(attempt.server);
    streamAttempt.start();
  }

  #onAttemptEvent(attempt: Attempt, event: GenerationEvent): void {
    if (event.kind === 'failed') {
      const streamAttempt = this.#attempts.get(attempt.number);
      this.#recorder.attemptFailed(attempt, event.failure, this.#state, streamAttempt);
      if (streamAttempt?.isEmptyEnd) this.#emptyEndAt = attempt.from;
      // A copy can be used only once, and an engine that refuses to use one doesn't have it.
      const unused = this.#copyHolder === attempt.server ? undefined : this.#copyHolder;
      this.#copyHolder = streamAttempt?.copyHolder ?? unused;
    }
    this.#apply(event);
  }

  #write(text: string): void {
    const attempt = this.#lastAttempt!;
    this.#release.markWritten(attempt.server);
    this.#recorder.eventWritten(this.#state.accepted.tokens);
    this.#writer.write(text, attempt);
  }
}
