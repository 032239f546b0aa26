/** Relays a call whose response is buffered: performs the effects of its state transitions. */
import { Subscription, timer } from 'rxjs';
import type { LogFields } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import {
  bufferedResponse, failedEvent, failureFields, startAttempt,
} from './bufferedattempt.js';
import type { AttemptFailure, LiveAttempt } from './bufferedattempt.js';
import type { Call } from './call.js';
import { watchCallEnds } from './callends.js';
import { callState, callTransition } from './callstate.js';
import type { CallAttempt, CallEffect, CallEvent } from './callstate.js';
import { MAX_RESPONSE_BYTES } from './collectedbody.js';
import type { Caller, RelayContext } from './context.js';
import { countRetry, guarded, remainingMs } from './context.js';
import { quarantineRefusal, recordBroken } from './crashguard.js';
import { firstOf } from './enginechoice.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent } from './exchange.js';
import { Handover } from './handover.js';
import { classifyResponse, isOwnAnswer } from './responseclass.js';
import {
  callRouteFields, logUnplaced, THROTTLED_MESSAGE, throttledFields,
} from './routefields.js';
import { areAllThrottled, selectServer } from './selection.js';
import type { Candidate } from './selection.js';
import { serverRequest } from './serverrequest.js';
import { stopRefusal } from './stopping.js';

/** Share of the route's latency objective after which a repeatable call is hedged. */
const HEDGE_AFTER_SHARE = 0.5;
/** `Retry-After` when no server is up: about as long as a server takes to restart. */
const RETRY_AFTER_MS = 300;

export class BufferedRelay {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #context: RelayContext;

  readonly #liveAttempts = new Map<number, LiveAttempt>();

  readonly #timers = new Subscription();

  #state;

  readonly #handover: Handover;

  private constructor(call: Call, caller: Caller, context: RelayContext) {
    this.#call = call;
    this.#caller = caller;
    this.#context = context;
    this.#handover = Handover.of(call, caller, context);
    this.#state = callState(call.route.repeat === 'safe', call.route.maxAttempts);
  }

  /** Starts relaying; the returned function cancels the call when its caller disconnects. */
  static start(call: Call, caller: Caller, context: RelayContext): () => void {
    const relay = new BufferedRelay(call, caller, context);
    relay.#begin();
    return () => {
      relay.#handover.cancel();
      relay.#apply({ kind: 'caller_gone' });
    };
  }

  #begin(): void {
    const { scheduler } = this.#context;
    this.#timers.add(watchCallEnds(this.#call, this.#caller, this.#context, {
      expired: () => this.#apply({ kind: 'expired' }),
      rejected: (refusal) => this.#apply({ kind: 'rejected', refusal }),
      isSuspect: () => true,
    }));
    this.#timers.add(timer(this.#call.route.objectiveMs * HEDGE_AFTER_SHARE, scheduler)
      .subscribe(guarded(this.#caller, () => this.#apply({ kind: 'slow' }))));
    guarded(this.#caller, () => this.#apply({ kind: 'begin' }))();
  }

  /** Ends the call if there is a refusal; returns whether there is. */
  #reject(refusal: Refusal | undefined): boolean {
    if (refusal) this.#apply({ kind: 'rejected', refusal });
    return refusal !== undefined;
  }

  #apply(event: CallEvent): void {
    const { state, effects } = callTransition(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
    if (state.phase.kind === 'ended') this.#timers.unsubscribe();
  }

  #perform(effect: CallEffect): void {
    switch (effect.kind) {
      case 'assign':
        this.#assign(effect.isRetry, effect.exclude);
        break;
      case 'dispatch':
        this.#dispatch(effect.attempt);
        break;
      case 'cancel':
        this.#release(effect.attempt.number);
        break;
      case 'answer':
        this.#context.stopping.durations.recordAnswer(this.#call, this.#context.scheduler.now());
        this.#caller.respond(effect.response);
        break;
      case 'refuse':
        this.#caller.refuse(effect.refusal);
        break;
    }
  }

  #assign(isRetry: boolean, exclude: readonly string[]): void {
    const {
      fleet, retries, zone, scheduler, log, rollouts,
    } = this.#context;
    const { service } = this.#call;
    const now = scheduler.now();
    const { stopping, overload } = this.#context;
    const isHedge = this.#state.phase.kind === 'running';
    if (remainingMs(this.#call, this.#context) <= 0
      || (!isHedge && overload.isTooLate(this.#call.deadlineAt))) {
      this.#apply({ kind: 'expired' });
      return;
    }
    if (this.#reject(quarantineRefusal(this.#call, this.#context))) return;
    // Without a hedge, the attempt that runs goes on.
    if (isHedge && (overload.isShedding || stopping.lacking(this.#call))) return;
    if (!isHedge && this.#reject(stopRefusal(this.#call, this.#context))) return;
    if (isRetry && retries.left(service.name, now) < 1) {
      this.#unassignable('the retry budget is used up');
      return;
    }
    if (this.#handover.start({ attempts: this.#state.arrivals })) {
      this.#apply({ kind: 'caller_gone' });
      return;
    }
    const kind = this.#state.tried.length === 0 ? 'first' : 'again';
    const offers = rollouts.offers(this.#call, fleet.candidates(service.name, exclude), kind);
    const candidates = offers.flat();
    const chosen = firstOf(offers, (offer) => selectServer(offer, zone, now));
    if (!chosen) {
      if (areAllThrottled(candidates)) this.#refuseThrottled(candidates);
      else this.#unassignable('no backend server is up');
      return;
    }
    if (isRetry) countRetry(this.#call, this.#context);
    log.event('info', 'route', callRouteFields(this.#call, chosen, this.#context));
    this.#apply({ kind: 'assigned', server: chosen.server.entry.id });
  }

  #refuseThrottled(candidates: readonly Candidate[]): void {
    // A hedge takes no turn from refused callers.
    if (this.#state.phase.kind === 'running') return;
    const { throttles, meter } = this.#context;
    meter.record({ kind: 'throttled' });
    const remaining = remainingMs(this.#call, this.#context);
    const retryAfterMs = throttles.retryAfterMs(this.#call.service.name, candidates, remaining);
    this.#unassignable(THROTTLED_MESSAGE, throttledFields(candidates, this.#context), retryAfterMs);
  }

  #unassignable(message: string, inputs: LogFields = {}, retryAfterMs = RETRY_AFTER_MS): void {
    logUnplaced(this.#call, message, { ...inputs, tried: this.#state.tried }, this.#context);
    this.#apply({ kind: 'unassignable', message, retryAfterMs });
  }

  #dispatch(attempt: CallAttempt): void {
    const { fleet, scheduler } = this.#context;
    const { number } = attempt;
    const server = fleet.server(attempt.server);
    if (!server) {
      this.#apply({
        kind: 'failed',
        attempt: number,
        ran: 'no',
        arrival: 'nowhere',
        message: 'the server was removed',
      });
      return;
    }
    const live = startAttempt(this.#call, {
      attempt, entry: server.entry, isFirst: this.#state.tried.length === 1,
    }, this.#context);
    this.#liveAttempts.set(number, live);
    this.#caller.sending(attempt.server);
    const outgoing = serverRequest(this.#call, { server: server.entry }, this.#context);
    live.subscription.add(exchange({
      ...outgoing,
      maxBodyBytes: MAX_RESPONSE_BYTES,
      onBody: (pieces) => live.body.readWith(pieces),
    }, scheduler).subscribe(guarded(
      this.#caller,
      (event: ExchangeEvent) => this.#onExchangeEvent(number, event),
    )));
  }

  #onExchangeEvent(number: number, event: ExchangeEvent): void {
    const live = this.#liveAttempts.get(number);
    if (!live) return;
    const { fleet, dialect } = this.#context;
    const { server } = live.attempt;
    switch (event.kind) {
      case 'sent':
        live.sent = true;
        this.#apply({ kind: 'sent', attempt: number });
        break;
      case 'head': {
        const responseClass = classifyResponse(event, this.#call.id, dialect);
        fleet.markHeard(server, isOwnAnswer(responseClass, this.#call.id));
        this.#context.notices.observe(live.entry, responseClass);
        live.head = { response: event, responseClass };
        if (responseClass.kind === 'foreign') {
          this.#onFailure(number, { ran: 'unknown', message: responseClass.message });
        }
        break;
      }
      case 'piece':
        live.body.add(event.bytes);
        break;
      case 'end':
        if (live.head) this.#onResponseEnd(live, live.head);
        break;
      case 'unsent':
        this.#onFailure(number, { ran: 'no', message: event.message });
        break;
      case 'failed':
        // A server that sends what is no response is up.
        if (event.cause === 'connection') {
          if (event.ran === 'no') fleet.markSuspect(server, event.message);
          else this.#recordBroken(live);
          live.trial.broken();
        }
        this.#onFailure(number, { ran: event.ran, message: event.message });
        break;
    }
  }

  #recordBroken({ attempt: { server }, head }: LiveAttempt): void {
    const previous = this.#state.tried.filter((other) => other !== server);
    recordBroken(this.#call, {
      server, stage: head ? 'starting' : 'waiting', previous, hasRun: false,
    }, this.#context);
  }

  #onResponseEnd(
    live: LiveAttempt,
    { response: head, responseClass }: NonNullable<LiveAttempt['head']>,
  ): void {
    const { fleet, scheduler } = this.#context;
    const { number, server } = live.attempt;
    const response = bufferedResponse(head, live.body.chunks);
    switch (responseClass.kind) {
      case 'not_run':
        if (responseClass.misdirected) fleet.markMisdirected(server);
        this.#onFailure(number, {
          ran: 'no', message: responseClass.message, misdirected: responseClass.misdirected,
        });
        break;
      case 'failed':
        this.#context.quarantines.markAnswered(this.#call);
        this.#onFailure(number, { ran: 'unknown', message: responseClass.message, response });
        break;
      case 'foreign':
        this.#onFailure(number, { ran: 'unknown', message: responseClass.message });
        break;
      case 'answer':
        this.#context.quarantines.markAnswered(this.#call);
        live.trial.finished();
        this.#release(number);
        fleet.recordOutcome(server, false, scheduler.now() - live.startedAt);
        live.recordPace(head.status);
        this.#apply({ kind: 'answered', attempt: number, response });
        break;
    }
  }

  #onFailure(number: number, failure: AttemptFailure): void {
    const live = this.#liveAttempts.get(number);
    if (!live) return;
    if (failure.ran === 'unknown') live.trial.failed();
    this.#release(number);
    const { server } = live.attempt;
    if (failure.ran === 'unknown') this.#context.fleet.recordOutcome(server, true);
    this.#context.log.event('info', 'attempt_failed', failureFields(this.#call, live, failure));
    this.#apply(failedEvent(live, failure));
  }

  #release(number: number): void {
    const live = this.#liveAttempts.get(number);
    this.#liveAttempts.delete(number);
    live?.subscription.unsubscribe();
    live?.body.release();
    live?.assignment.release();
    live?.trial.ended();
  }
}
