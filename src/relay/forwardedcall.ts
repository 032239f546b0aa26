/** One call that another instance serves: sends it there and passes the answer on. */
import { Subscription, timer } from 'rxjs';
import { promisesNotRun } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import { endToEnd } from '../entry/upstream.js';
import { bufferedResponse } from './bufferedattempt.js';
import type { Call, ResponseHead } from './call.js';
import { CollectedBody, MAX_RESPONSE_BYTES } from './collectedbody.js';
import type { Caller, RelayContext } from './context.js';
import { guarded, remainingMs } from './context.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent, ReceivedHead } from './exchange.js';
import {
  forwardHeaders, OUTCOME_FIELDS, readOutcome, withoutForwardHeaders,
} from './forwardedrequest.js';
import type { Progress } from './forwardedrequest.js';
import { ownerOf } from './responseclass.js';
import type { ResponseOwner } from './responseclass.js';
import { FIRST_EVENT_ID } from './serverrequest.js';
import { StreamResponse } from './streamresponse.js';
import type { StreamPart } from './streamresponse.js';

/** Instances that a call is offered to, one after the other. */
const MAX_TARGETS = 2;
/** `Retry-After` when no other instance could serve the call either. */
const RETRY_AFTER_MS = 300;

export interface ForwardedCallOptions {
  readonly ip: string;
  /** The instances that may serve the call, by IP address, the preferred one first. */
  readonly targets: readonly string[];
  readonly port: number;
  readonly progress: Progress;
}

export class ForwardedCall {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #context: RelayContext;

  readonly #options: ForwardedCallOptions;

  readonly #timers = new Subscription();

  #exchange = new Subscription();

  #next = 0;

  #headSent: boolean;

  /** Whether an instance to which it was sent may have had it run. */
  #mayHaveRun = false;

  /** Whether the instance that it is offered to now may have received it. */
  #isSent = false;

  #head: ResponseHead | undefined;

  #body: CollectedBody;

  /** The answer that another instance got to a stream. */
  #stream: StreamResponse | undefined;

  private constructor(
    call: Call,
    caller: Caller,
    context: RelayContext,
    options: ForwardedCallOptions,
  ) {
    this.#call = call;
    this.#caller = caller;
    this.#context = context;
    this.#options = options;
    this.#headSent = options.progress.headSent ?? false;
    this.#body = CollectedBody.ofCall(call, context);
  }

  /** Starts forwarding; the returned function cancels it when the caller disconnects. */
  static start(
    call: Call,
    caller: Caller,
    context: RelayContext,
    options: ForwardedCallOptions,
  ): () => void {
    const forwarded = new ForwardedCall(call, caller, context, options);
    forwarded.#timers.add(timer(remainingMs(call, context), context.scheduler)
      .subscribe(guarded(caller, () => (
        forwarded.#giveUp(forwarded.#ran, 'the deadline has passed')))));
    forwarded.#timers.add(context.stopping.limit
      .subscribe(guarded(caller, ({ message }: Refusal) => (
        forwarded.#giveUp(forwarded.#ran, message)))));
    forwarded.#sendNext('no instance reaches a backend server');
    return () => forwarded.#stop();
  }

  get #ran(): 'no' | 'unknown' {
    return this.#mayHaveRun || this.#isSent ? 'unknown' : 'no';
  }

  #stop(): void {
    this.#timers.unsubscribe();
    this.#exchange.unsubscribe();
    this.#body.release();
  }

  /** Offers the call to the next instance, or gives up. */
  #sendNext(message: string, retryAfterMs?: number): void {
    this.#exchange.unsubscribe();
    this.#body.release();
    const {
      targets, port, ip, progress,
    } = this.#options;
    const target = targets[this.#next];
    if (target === undefined || this.#next >= MAX_TARGETS) {
      this.#giveUp(this.#mayHaveRun ? 'unknown' : 'no', message, retryAfterMs);
      return;
    }
    this.#next += 1;
    this.#isSent = false;
    this.#head = undefined;
    const body = CollectedBody.ofCall(this.#call, this.#context);
    this.#body = body;
    this.#stream = undefined;
    const {
      scheduler, connections, log, meter,
    } = this.#context;
    const leftMs = remainingMs(this.#call, this.#context);
    log.event('info', 'forward', {
      request: this.#call.id,
      service: this.#call.service.name,
      instance: target,
      attempts: progress.attempts,
      last_event: progress.lastEvent,
      left_ms: Math.round(leftMs),
    });
    meter.record({ kind: 'forwarded', outcome: 'sent' });
    this.#caller.sending(target);
    this.#exchange = exchange({
      agent: connections.agent(`instance ${target}`),
      address: `${target}:${port}`,
      method: this.#call.method,
      target: this.#call.target,
      headers: forwardHeaders(this.#call, { by: ip, leftMs, ...progress }),
      body: this.#call.body,
      // An instance that restarts closes connections on which a call that may run once would wait.
      reuse: this.#call.route.repeat === 'safe',
      singleFields: new Set([...this.#context.dialect.responseFields, ...OUTCOME_FIELDS]),
      ownerOf: (head) => this.#ownerOf(head),
      expiresAt: this.#call.deadlineAt,
      maxBodyBytes: this.#call.route.delivery === 'whole' ? MAX_RESPONSE_BYTES : undefined,
      onBody: (pieces) => body.readWith(pieces),
    }, scheduler).subscribe(guarded(
      this.#caller,
      (event: ExchangeEvent) => this.#onEvent(event),
    ));
  }

  #onEvent(event: ExchangeEvent): void {
    switch (event.kind) {
      case 'sent':
        this.#isSent = true;
        break;
      case 'head':
        this.#onHead(event);
        break;
      case 'piece':
        this.#onBytes(event.bytes);
        break;
      case 'end':
        if (this.#head) this.#onEnd(this.#head);
        break;
      case 'unsent':
        this.#onFailure('no', event.message);
        break;
      case 'failed':
        this.#onFailure(event.ran, event.message);
        break;
    }
  }

  /** Instances' own refusals name no request; calls on kept connections may be repeated. */
  #ownerOf(head: ResponseHead): ResponseOwner {
    return readOutcome(head.headers).outcome === 'answered'
      ? ownerOf(head, this.#call.id, this.#context.dialect) : 'own';
  }

  #onHead(head: ReceivedHead): void {
    // An answer to an earlier call can come once more on a kept connection.
    if (head.kept && this.#ownerOf(head) !== 'own') {
      this.#onFailure('unknown', 'another instance answered no request, or another one');
      return;
    }
    this.#head = { status: head.status, headers: head.headers };
    const isAnswer = readOutcome(head.headers).outcome === 'answered';
    if (isAnswer && this.#call.route.delivery === 'events') this.#onStreamHead(this.#head);
  }

  #onStreamHead(head: ResponseHead): void {
    const { method, fields } = this.#call;
    const lastEvent = this.#options.progress.lastEvent ?? fields.lastEvent;
    const from = lastEvent === undefined ? 0 : lastEvent + 1 - FIRST_EVENT_ID;
    this.#stream = StreamResponse.of(head, { kind: 'answer' }, {
      method,
      from,
      hasBegun: this.#headSent || lastEvent !== undefined,
      // The other instance has asked a second server.
      emptyEndAt: from,
    });
    const { headFailure } = this.#stream;
    if (headFailure) this.#giveUp('unknown', headFailure.message);
  }

  #onBytes(bytes: Buffer): void {
    if (this.#stream) this.#stream.push(bytes).forEach((part) => this.#onPart(part));
    else this.#body.add(bytes);
  }

  #onPart(part: StreamPart): void {
    switch (part.kind) {
      case 'failed':
        this.#giveUp('unknown', part.message);
        break;
      case 'event':
        this.#writeHead();
        this.#caller.write(Buffer.from(part.text, 'latin1'));
        break;
    }
  }

  #writeHead(): void {
    if (this.#headSent || !this.#head) return;
    this.#headSent = true;
    const headers = withoutForwardHeaders(endToEnd(this.#head.headers, ['content-length']));
    this.#caller.begin({ ...this.#head, headers });
  }

  #onEnd(head: ResponseHead): void {
    const { outcome, retryAfterMs } = readOutcome(head.headers);
    switch (outcome) {
      case 'answered':
        // Older builds pass such a status of a server on.
        if (promisesNotRun(head.status)) this.#giveUp('unknown', 'a server failed');
        else this.#onAnswered(head);
        break;
      case 'no':
        this.#sendNext('the other instances can\'t serve it either', retryAfterMs);
        break;
      case 'unknown':
      case 'partly':
        this.#giveUp('unknown', 'another instance could not complete it');
        break;
    }
  }

  #onAnswered(head: ResponseHead): void {
    if (this.#stream?.endFailure) {
      this.#giveUp('unknown', this.#stream.endFailure.message);
      return;
    }
    this.#stop();
    this.#context.meter.record({ kind: 'forwarded', outcome: 'answered' });
    if (this.#stream?.isStream) {
      this.#writeHead();
      this.#caller.end();
      return;
    }
    const answer = this.#stream?.answer ?? bufferedResponse(head, this.#body.chunks);
    this.#caller.respond({ ...answer, headers: withoutForwardHeaders(answer.headers) });
  }

  #onFailure(ran: 'no' | 'unknown', message: string): void {
    const { repeat, delivery } = this.#call.route;
    const isRepeatable = repeat === 'safe' && delivery === 'whole';
    this.#mayHaveRun ||= ran === 'unknown';
    if (ran === 'no' || isRepeatable) this.#sendNext(message);
    else this.#giveUp('unknown', message);
  }

  #giveUp(ran: 'no' | 'unknown', reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    this.#stop();
    this.#context.meter.record({ kind: 'forwarded', outcome: 'failed' });
    this.#context.log.event('info', 'forward_failed', { request: this.#call.id, ran, reason });
    if (this.#headSent) {
      this.#caller.abort();
      return;
    }
    this.#caller.refuse(ran === 'no' && this.#options.progress.attempts === 0
      ? {
        code: 'unavailable', message: reason, ran: 'no', retryAfterMs,
      }
      : { code: 'backend_failed', message: reason, ran: 'unknown' });
  }
}
