/**
 * Relays a stream of events: performs the effects of the same transactions that token generations
 * use. An event's id gives its position; the bytes stay the engine's. Each run names an engine that
 * keeps a standby copy of its memory, from which the stream goes on when the run's engine is lost.
 */
import { Subscription, timer } from 'rxjs';
import type { LogFields } from '../common/log.js';
import { endToEnd } from '../entry/upstream.js';
import type { GenerationEffect, GenerationEvent } from '../generation/event.js';
import { generationState } from '../generation/state.js';
import type { Attempt, GenerationState } from '../generation/state.js';
import { transaction } from '../generation/transaction.js';
import type { Call } from './call.js';
import {
  engineFor, firstEventMs, memoryOf, standbyFor, toRead,
} from './choice.js';
import type { RunDemand } from './choice.js';
import type { Caller, RelayContext } from './context.js';
import { countRetry, timeLeft } from './context.js';
import { EventAttempt, FIRST_EVENT } from './eventattempt.js';
import type { AttemptPlan } from './eventattempt.js';
import { EventRecorder } from './eventrecorder.js';
import { attemptBound, mayMove } from './moving.js';
import {
  heardMsAgo, roomFields, routeFields, unplacedFields,
} from './routefields.js';

/** Attempts without an event between them, most of which then reached no engine. */
const MAX_TRIES = 12;
/** How soon a caller may come back that isn't kept out by room: about an engine's restart. */
const LATER_MS = 1_000;

const nothingHeld = () => 0;

export class EventRelay {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #context: RelayContext;

  readonly #recorder: EventRecorder;

  readonly #timers = new Subscription();

  readonly #attempts = new Map<number, EventAttempt>();

  /** What the assigned engine was chosen with, until it is dispatched. */
  #plan: AttemptPlan | undefined;

  /** Tokens of the prompt that an engine holds; asked only for a caller that returns. */
  #heldAt: (engine: string) => number = nothingHeld;

  /** The engine that keeps a copy of the run's memory. */
  #copyAt: string | undefined;

  #headSent = false;

  #state: GenerationState;

  private constructor(call: Call, caller: Caller, context: RelayContext) {
    this.#call = call;
    this.#caller = caller;
    this.#context = context;
    this.#recorder = EventRecorder.of(call, context);
    const { lastEvent } = call.caller;
    this.#state = generationState({
      repeatable: call.route.repeat === 'safe',
      // Attempts that reach no engine don't count against the route's own bound, see #assign.
      maxAttempts: MAX_TRIES,
      hedges: false,
      maxTokens: Infinity,
      from: lastEvent === undefined ? 0 : lastEvent + 1 - FIRST_EVENT,
    });
  }

  /** Relays until the answer has ended; the returned function is for a caller that leaves. */
  static start(call: Call, caller: Caller, context: RelayContext): () => void {
    const relay = new EventRelay(call, caller, context);
    relay.#begin();
    return () => relay.#take({ kind: 'caller_gone' });
  }

  /** Engines that have had the request. */
  get #sent(): number {
    return [...this.#attempts.values()].filter(({ sent }) => sent).length;
  }

  get #demand(): RunDemand {
    const { promptTokens, outputTokens } = this.#call.caller;
    return {
      promptTokens, outputTokens, zone: this.#context.zone, held: this.#heldAt,
    };
  }

  #begin(): void {
    this.#timers.add(timer(timeLeft(this.#call, this.#context), this.#context.scheduler)
      .subscribe(() => this.#take({ kind: 'expired', message: 'the time was up' })));
    if (this.#call.caller.lastEvent === undefined) this.#take({ kind: 'begin' });
    else this.#lookUp();
  }

  /** Finds out which engines hold the prompt of a caller that returns, and then begins. */
  #lookUp(): void {
    const { fleet, heldPrompts, log } = this.#context;
    const { name } = this.#call.service;
    const engines = fleet.candidates(name, []).map(({ server }) => server.listed);
    heldPrompts.tokensAt(name, engines, this.#call.caller.parts).then((heldAt) => {
      this.#heldAt = heldAt;
    }, (error: unknown) => {
      log.event('warn', 'held_prompts_unknown', { request: this.#call.id, reason: String(error) });
    }).finally(() => this.#take({ kind: 'begin' }));
  }

  #take(event: GenerationEvent): void {
    const { state, effects } = transaction(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
    if (state.phase.kind !== 'ended' || this.#timers.closed) return;
    this.#timers.unsubscribe();
    this.#recorder.ended(state.accepted.tokens);
    const { returns, scheduler } = this.#context;
    if (this.#sent > 0) returns.ended(this.#call.service.name, scheduler.now());
  }

  #perform(effect: GenerationEffect): void {
    switch (effect.kind) {
      case 'token':
        this.#write(effect.text);
        break;
      case 'finish':
        this.#writeHead();
        this.#caller.end();
        break;
      case 'refuse':
        if (this.#headSent) this.#caller.breakOff();
        else this.#caller.refuse(effect.refusal);
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
        // These engines don't tell what became of a run whose connection is gone.
        this.#attempts.get(effect.attempt.number)?.close();
        this.#take({
          kind: 'settled', attempt: effect.attempt.number, outcome: { kind: 'unknown' },
        });
        break;
      case 'withdraw':
        break;
      case 'drop':
        this.#context.log.event('debug', 'event_dropped', {
          request: this.#call.id, cause: effect.cause,
        });
        break;
    }
  }

  #assign(exclude: readonly string[]): void {
    const {
      fleet, returns, scheduler, log,
    } = this.#context;
    const { service } = this.#call;
    const { engine } = service;
    const now = scheduler.now();
    if (!engine) {
      this.#unassignable('the service has no engines');
      return;
    }
    const sent = this.#sent;
    const bound = attemptBound(this.#call, sent, this.#context);
    if (bound !== undefined) {
      this.#unassignable(bound);
      return;
    }
    const candidates = fleet.candidates(service.name, []);
    const allowed = candidates.filter(({ server }) => !exclude.includes(server.listed.id));
    const copy = allowed.find(({ server }) => server.listed.id === this.#copyAt);
    const chosen = copy ?? engineFor(allowed, this.#demand, engine, now);
    if (!chosen) {
      const inputs = roomFields(allowed, memoryOf(this.#demand), engine);
      if (candidates.length === 0) this.#unassignable('no engine is up', inputs);
      else this.#unassignable('no engine has room', inputs, returns.next(service.name, now));
      return;
    }
    if (sent > 0) countRetry(this.#call, this.#context);
    const standby = engine.standby
      ? standbyFor(allowed, this.#demand, engine, chosen.server)
      : undefined;
    this.#plan = {
      server: chosen.server.listed,
      standby: standby?.server.listed,
      copied: copy !== undefined,
      reading: copy ? 0 : toRead(chosen.server, this.#demand),
      expectedFirstMs: firstEventMs(chosen, this.#demand),
    };
    log.event('info', 'route', {
      ...routeFields(this.#call, this.#plan, chosen),
      attempt: this.#state.attempts + 1,
      held_tokens: this.#heldAt(chosen.server.listed.id),
      heard_ms_ago: heardMsAgo(chosen.server.listed.id, this.#context),
      candidates: candidates.length,
      from: this.#state.accepted.tokens,
      left_ms: Math.round(timeLeft(this.#call, this.#context)),
    });
    this.#take({
      kind: 'assigned',
      server: chosen.server.listed.id,
      version: String(chosen.server.listed.weights ?? 0),
    });
  }

  #unassignable(message: string, inputs: LogFields = {}, retryAfterMs = LATER_MS): void {
    const fields = unplacedFields(this.#call, message, this.#context);
    this.#context.log.event('info', 'unplaced', { ...fields, ...inputs });
    this.#take({
      kind: 'unassignable',
      refusal: {
        code: 'unavailable', message, ran: 'no', retryAfterMs,
      },
    });
  }

  #dispatch(attempt: Attempt): void {
    const plan = this.#plan!;
    const reader = EventAttempt.of(this.#call, plan, {
      number: attempt.number,
      from: attempt.from,
      demand: this.#demand,
      returning: this.#call.caller.lastEvent !== undefined,
      movable: () => mayMove(this.#call, this.#sent, [
        ...this.#state.excluded, attempt.server], this.#demand, this.#context),
    }, this.#context, (event) => this.#receive(attempt, event));
    this.#attempts.set(attempt.number, reader);
    reader.start();
  }

  #receive(attempt: Attempt, event: GenerationEvent): void {
    if (event.kind === 'failed') {
      const reader = this.#attempts.get(attempt.number);
      this.#recorder.lost({
        number: attempt.number,
        server: attempt.server,
        ran: event.failure.ran,
        reason: event.failure.message,
        unread: reader?.unread ?? 0,
      }, this.#state.accepted.tokens);
      const copy = reader?.copy;
      if (copy !== undefined) this.#copyAt = copy;
      // A copy can be used once, and one that was refused is not there.
      else if (this.#copyAt === attempt.server) this.#copyAt = undefined;
    }
    const final = this.#call.route.repeat === 'never';
    if (final && event.kind === 'failed' && event.failure.ran !== 'no') {
      this.#take({ kind: 'expired', message: event.failure.message });
      return;
    }
    this.#take(event);
  }

  #write(text: string): void {
    this.#writeHead();
    this.#recorder.written(this.#state.accepted.tokens);
    this.#caller.write(Buffer.from(text, 'latin1'));
  }

  /** The head of the first engine that gave an event is kept through all attempts. */
  #writeHead(): void {
    if (this.#headSent) return;
    this.#headSent = true;
    const head = [...this.#attempts.values()].at(-1)?.head;
    if (head) this.#caller.head({ ...head, headers: endToEnd(head.headers, ['content-length']) });
  }
}
