/** One call that another instance serves: sends it there and passes the answer on. */
import { Subscription, timer } from 'rxjs';
import { endToEnd } from '../entry/upstream.js';
import { bufferedResponse } from './bufferedattempt.js';
import type { Call, ResponseHead } from './call.js';
import type { Caller, RelayContext } from './context.js';
import { remainingMs } from './context.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent } from './exchange.js';
import { forwardHeaders, readOutcome, withoutForwardHeaders } from './forwardedrequest.js';
import type { ForwardedRequest } from './forwardedrequest.js';

/** Instances that a call is offered to, one after the other. */
const MAX_TARGETS = 2;
/** `Retry-After` when no other instance could serve the call either. */
const RETRY_AFTER_MS = 300;

/** How far an instance has got with a call that it hands over. */
export interface Progress extends Pick<ForwardedRequest, 'attempts' | 'lastEvent' | 'software'> {
  /** Whether the head of the response has been sent to the caller. */
  readonly headSent?: boolean;
}

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

  #head: ResponseHead | undefined;

  #chunks: Buffer[] = [];

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
      .subscribe(() => forwarded.#giveUp('unknown', 'the deadline has passed')));
    forwarded.#timers.add(context.stopping.limit.subscribe(({ message }) => (
      forwarded.#giveUp('unknown', message))));
    forwarded.#sendNext('no', 'no instance reaches a backend server');
    return () => forwarded.#stop();
  }

  #stop(): void {
    this.#timers.unsubscribe();
    this.#exchange.unsubscribe();
  }

  /** Offers the call to the next instance, or gives up. */
  #sendNext(ran: 'no' | 'unknown', message: string, retryAfterMs?: number): void {
    this.#exchange.unsubscribe();
    const {
      targets, port, ip, progress,
    } = this.#options;
    const target = targets[this.#next];
    if (target === undefined || this.#next >= MAX_TARGETS) {
      this.#giveUp(ran, message, retryAfterMs);
      return;
    }
    this.#next += 1;
    this.#head = undefined;
    this.#chunks = [];
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
      expiresAt: this.#call.deadlineAt,
    }, scheduler).subscribe((event) => this.#onEvent(event));
  }

  #onEvent(event: ExchangeEvent): void {
    switch (event.kind) {
      case 'sent': break;
      case 'head':
        this.#head = { status: event.status, headers: event.headers };
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

  #onBytes(bytes: Buffer): void {
    const isStream = this.#call.route.delivery === 'events' && this.#head
      && readOutcome(this.#head.headers).outcome === 'answered';
    if (!isStream || !this.#head) {
      this.#chunks.push(bytes);
      return;
    }
    if (!this.#headSent) {
      this.#headSent = true;
      const headers = withoutForwardHeaders(endToEnd(this.#head.headers, ['content-length']));
      this.#caller.begin({ ...this.#head, headers });
    }
    this.#caller.write(bytes);
  }

  #onEnd(head: ResponseHead): void {
    const { outcome, retryAfterMs } = readOutcome(head.headers);
    switch (outcome) {
      case 'answered':
        this.#stop();
        this.#context.meter.record({ kind: 'forwarded', outcome: 'answered' });
        if (this.#headSent) this.#caller.end();
        else {
          const headers = withoutForwardHeaders(head.headers);
          this.#caller.respond(bufferedResponse({ ...head, headers }, this.#chunks));
        }
        break;
      case 'no':
        this.#sendNext('no', 'the other instances can\'t serve it either', retryAfterMs);
        break;
      case 'unknown':
      case 'partly':
        this.#giveUp('unknown', 'another instance could not complete it');
        break;
    }
  }

  #onFailure(ran: 'no' | 'unknown', message: string): void {
    const { repeat, delivery } = this.#call.route;
    const isRepeatable = repeat === 'safe' && delivery === 'whole';
    if (ran === 'no' || isRepeatable) this.#sendNext(ran, message);
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
