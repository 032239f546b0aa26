/** Relays a call whose answer is passed on whole: performs the effects of its transactions. */
import { Subscription, timer } from 'rxjs';
import { endToEnd } from '../entry/upstream.js';
import { meaningOf } from './attemptanswer.js';
import type { AnswerMeaning } from './attemptanswer.js';
import type { AnswerHead, Call, WholeAnswer } from './call.js';
import { selectServer } from './selection.js';
import type { Caller, RelayContext } from './context.js';
import { countRetry, timeLeft } from './context.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent } from './exchange.js';
import type { Assignment } from './assignment.js';
import { heardMsAgo, unplacedFields } from './routefields.js';
import { serverRequest } from './serverrequest.js';
import { NO_LOAD } from './serverstate.js';
import { wholeState, wholeTransaction } from './wholecall.js';
import type { WholeAttempt, WholeEffect, WholeEvent } from './wholecall.js';

/** Part of the objective after which a repeatable call is given to a second server too. */
const SLOW_SHARE = 0.5;
/** How soon a caller may come back when no server is up: about as long as a server's restart. */
const NO_SERVER_MS = 300;
const ONE_RUN = { ...NO_LOAD, running: 1 };

interface Live {
  readonly attempt: WholeAttempt;
  readonly given: Assignment;
  readonly reading: Subscription;
  readonly startedAt: number;
  sent: boolean;
  head: { readonly answer: AnswerHead; readonly meaning: AnswerMeaning } | undefined;
  pieces: Buffer[];
}

interface AttemptLoss {
  readonly ran: 'no' | 'unknown';
  readonly message: string;
  /** The server's own answer, if it gave one. */
  readonly answer?: WholeAnswer;
  /** Whether a server had the call, where that isn't told by what was sent. */
  readonly sent?: boolean;
}

export class WholeRelay {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #context: RelayContext;

  readonly #live = new Map<number, Live>();

  readonly #timers = new Subscription();

  #state;

  private constructor(call: Call, caller: Caller, context: RelayContext) {
    this.#call = call;
    this.#caller = caller;
    this.#context = context;
    this.#state = wholeState(call.route.repeat === 'safe', call.route.maxAttempts);
  }

  /** Relays until the answer has ended; the returned function is for a caller that leaves. */
  static start(call: Call, caller: Caller, context: RelayContext): () => void {
    const relay = new WholeRelay(call, caller, context);
    relay.#begin();
    return () => relay.#take({ kind: 'caller_gone' });
  }

  #begin(): void {
    const { scheduler } = this.#context;
    this.#timers.add(timer(timeLeft(this.#call, this.#context), scheduler)
      .subscribe(() => this.#take({ kind: 'expired' })));
    this.#timers.add(timer(this.#call.route.objectiveMs * SLOW_SHARE, scheduler)
      .subscribe(() => this.#take({ kind: 'slow' })));
    this.#take({ kind: 'begin' });
  }

  #take(event: WholeEvent): void {
    const { state, effects } = wholeTransaction(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
    if (state.phase.kind === 'ended') this.#timers.unsubscribe();
  }

  #perform(effect: WholeEffect): void {
    switch (effect.kind) {
      case 'assign':
        this.#assign(effect.again, effect.exclude);
        break;
      case 'dispatch':
        this.#dispatch(effect.attempt);
        break;
      case 'cancel':
        this.#close(effect.attempt.number);
        break;
      case 'answer':
        this.#caller.answer(effect.answer);
        break;
      case 'refuse':
        this.#caller.refuse(effect.refusal);
        break;
    }
  }

  #assign(again: boolean, exclude: readonly string[]): void {
    const {
      fleet, retries, zone, scheduler, log,
    } = this.#context;
    const { id, service } = this.#call;
    const now = scheduler.now();
    if (again && retries.left(service.name, now) < 1) {
      this.#unassignable('the retry budget is used up');
      return;
    }
    const chosen = selectServer(fleet.candidates(service.name, exclude), zone, now);
    if (!chosen) {
      this.#unassignable('no backend server is up');
      return;
    }
    if (again) countRetry(this.#call, this.#context);
    log.event('info', 'route', {
      request: id,
      service: service.name,
      server: chosen.server.entry.id,
      zone: chosen.server.entry.zone,
      running: chosen.load.running,
      mean_ms: Math.round(chosen.server.meanDurationMs),
      heard_ms_ago: heardMsAgo(chosen.server.entry.id, this.#context),
      configuration: this.#call.version,
      left_ms: Math.round(timeLeft(this.#call, this.#context)),
    });
    this.#take({ kind: 'assigned', server: chosen.server.entry.id });
  }

  #unassignable(message: string): void {
    const fields = unplacedFields(this.#call, message, this.#context);
    this.#context.log.event('info', 'unplaced', { ...fields, tried: this.#state.tried });
    this.#take({ kind: 'unassignable', message, retryAfterMs: NO_SERVER_MS });
  }

  #dispatch(attempt: WholeAttempt): void {
    const { fleet, scheduler } = this.#context;
    const { number } = attempt;
    const server = fleet.server(attempt.server);
    if (!server) {
      this.#take({
        kind: 'failed', attempt: number, ran: 'no', sent: false, message: 'the server was removed',
      });
      return;
    }
    const reading = new Subscription();
    this.#live.set(number, {
      attempt,
      given: fleet.assign(attempt.server, ONE_RUN),
      reading,
      startedAt: scheduler.now(),
      sent: false,
      head: undefined,
      pieces: [],
    });
    const outgoing = serverRequest(this.#call, { server: server.entry }, this.#context);
    reading.add(exchange(outgoing, scheduler)
      .subscribe((event) => this.#read(number, event)));
  }

  #read(number: number, event: ExchangeEvent): void {
    const live = this.#live.get(number);
    if (!live) return;
    const { fleet, dialect } = this.#context;
    const { server } = live.attempt;
    switch (event.kind) {
      case 'sent':
        live.sent = true;
        break;
      case 'head': {
        fleet.heard(server);
        const { status, headers } = event;
        const meaning = meaningOf(status, headers, this.#call.id, dialect);
        live.head = { answer: { status, headers }, meaning };
        if (meaning.kind === 'foreign') {
          this.#failed(number, { ran: 'unknown', message: meaning.message });
        }
        break;
      }
      case 'piece':
        live.pieces.push(event.bytes);
        break;
      case 'end':
        if (live.head) this.#ended(live, live.head);
        break;
      case 'failed':
        if (event.ran === 'no') fleet.suspect(server, event.message);
        this.#failed(number, { ran: event.ran, message: event.message });
        break;
    }
  }

  #ended(live: Live, { answer: head, meaning }: NonNullable<Live['head']>): void {
    const { fleet, scheduler } = this.#context;
    const { number, server } = live.attempt;
    const body = Buffer.concat(live.pieces);
    const headers = endToEnd(head.headers, ['content-length']);
    const answer: WholeAnswer = {
      status: head.status, headers: [...headers, 'Content-Length', String(body.length)], body,
    };
    switch (meaning.kind) {
      case 'not_run':
        if (meaning.elsewhere) fleet.misdirected(server);
        this.#failed(number, {
          // A server that has taken another's address is not one that had the call.
          ran: 'no', message: meaning.message, sent: !meaning.elsewhere,
        });
        break;
      case 'failed':
        this.#failed(number, { ran: 'unknown', message: meaning.message, answer });
        break;
      case 'foreign':
        this.#failed(number, { ran: 'unknown', message: meaning.message });
        break;
      case 'answer':
        this.#close(number);
        fleet.outcome(server, false, scheduler.now() - live.startedAt);
        this.#take({ kind: 'answered', attempt: number, answer });
        break;
    }
  }

  #failed(number: number, failure: AttemptLoss): void {
    const { ran, message, answer } = failure;
    const live = this.#live.get(number);
    if (!live) return;
    this.#close(number);
    const { server } = live.attempt;
    if (ran === 'unknown') this.#context.fleet.outcome(server, true);
    this.#context.log.event('info', 'attempt_failed', {
      request: this.#call.id,
      service: this.#call.service.name,
      server,
      attempt: number,
      ran,
      reason: message,
    });
    this.#take({
      kind: 'failed', attempt: number, ran, sent: failure.sent ?? live.sent, message, answer,
    });
  }

  #close(number: number): void {
    const live = this.#live.get(number);
    this.#live.delete(number);
    live?.reading.unsubscribe();
    live?.given.release();
  }
}
