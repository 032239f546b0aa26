/** One attempt to relay a stream from one engine: sends the request and reads its events. */
import { Subscription } from 'rxjs';
import type { GenerationEvent } from '../generation/event.js';
import { SoundRun } from '../limits/soundrun.js';
import { NO_TRIAL } from '../rollout/trial.js';
import { AttemptLoad } from './attemptload.js';
import type { AttemptOptions, AttemptPlan, AttemptStage } from './attemptplan.js';
import type { BufferedResponse, Call, ResponseHead } from './call.js';
import { guarded } from './context.js';
import type { RelayContext } from './context.js';
import { recordBroken } from './crashguard.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent, ReceivedHead } from './exchange.js';
import { classifyResponse, isOwnAnswer } from './responseclass.js';
import { serverRequest, streamTarget } from './serverrequest.js';
import type { ServerEntry } from './serverentry.js';
import type { StreamObserver } from './serverpaces.js';
import { overdueMs } from './silence.js';
import { StreamResponse } from './streamresponse.js';
import type { StreamPart } from './streamresponse.js';

export class StreamAttempt {
  readonly #call: Call;

  readonly #plan: AttemptPlan;

  readonly #options: AttemptOptions;

  readonly #context: RelayContext;

  readonly #emit: (event: GenerationEvent) => void;

  readonly #subscriptions = new Subscription();

  #load: AttemptLoad | undefined;

  #pace: StreamObserver | undefined;

  /** Whether the engine may have received any of the request. */
  sent = false;

  /** Whether any server may have, also one that has taken over the engine's address. */
  arrived = false;

  /** Whether the engine has ended the stream in order without an event. */
  isEmptyEnd = false;

  #startedAt = 0;

  #lastEventAt: number | undefined;

  readonly #soundRun = SoundRun.of();

  #head: ResponseHead | undefined;

  /** Whether the server itself has answered, by the head of the response. */
  #isOwn = false;

  #response: StreamResponse | undefined;

  /** What the attempt says of the engine's version. */
  #trial = NO_TRIAL;

  private constructor(
    call: Call,
    plan: AttemptPlan,
    options: AttemptOptions,
    context: RelayContext,
    emit: (event: GenerationEvent) => void,
  ) {
    this.#call = call;
    this.#plan = plan;
    this.#options = options;
    this.#context = context;
    this.#emit = emit;
  }

  static of(
    call: Call,
    plan: AttemptPlan,
    options: AttemptOptions,
    context: RelayContext,
    emit: (event: GenerationEvent) => void,
  ): StreamAttempt {
    return new StreamAttempt(call, plan, options, context, emit);
  }

  /** The engine that holds a standby copy; engines send none before their first event. */
  get copyHolder(): string | undefined {
    return this.#lastEventAt === undefined ? undefined : this.#plan.standby?.id;
  }

  /** Prompt tokens that were sent to the engine and are not prefilled yet. */
  get pendingTokens(): number {
    return this.sent && this.#lastEventAt === undefined ? this.#plan.prefillTokens : 0;
  }

  get server(): ServerEntry {
    return this.#plan.server;
  }

  get stage(): AttemptStage {
    if (this.#lastEventAt !== undefined) return 'streaming';
    return this.#head ? 'starting' : 'waiting';
  }

  /** Whether the engine has run the stream for some time. */
  get isSound(): boolean {
    return this.#soundRun.isSound;
  }

  get head(): ResponseHead | undefined {
    return this.#head;
  }

  /** The whole answer, if it is no stream. */
  get answer(): BufferedResponse | undefined {
    return this.#response?.answer;
  }

  /** Whether the caller has events of the stream. */
  get #hasBegun(): boolean {
    return this.#options.from > 0 || this.#options.reconnecting;
  }

  start(): void {
    const {
      throttles, scheduler, silence, reach, rollouts,
    } = this.#context;
    const { server, standby, prefillTokens } = this.#plan;
    this.#startedAt = scheduler.now();
    this.#pace = this.#context.paces.observeStream(server, prefillTokens);
    this.#load = AttemptLoad.assign(this.#call, this.#plan, this.#options.demand, this.#context);
    throttles.take(server);
    const isFirst = this.#options.number === 1 && !this.#hasBegun;
    this.#trial = rollouts.trial(this.#call, server, this.#plan.expectedFirstMs, isFirst);
    const target = streamTarget(this.#call, this.#plan, this.#options);
    const outgoing = serverRequest(this.#call, target, this.#context);
    this.#subscriptions.add(silence.watch({
      server: server.id,
      activity: () => ({
        startedAt: this.#startedAt,
        eventAt: this.#lastEventAt,
        expectedFirstMs: this.#plan.expectedFirstMs,
        pauseObjectiveMs: this.#call.route.pauseObjectiveMs,
        hasStandby: standby !== undefined,
      }),
      migrate: guarded(this.#options.caller, (reason: string, isLost: boolean) => {
        if (!this.#options.canMigrate(isLost)) return;
        this.#trial.ended();
        this.#fail('unknown', reason);
      }),
    }));
    const dueAt = this.#startedAt + overdueMs(this.#plan.expectedFirstMs);
    const { service } = server;
    this.#subscriptions.add(reach.watch({ service, startedAt: this.#startedAt, dueAt }));
    this.#subscriptions.add(exchange(outgoing, scheduler)
      .subscribe(guarded(
        this.#options.caller,
        (event: ExchangeEvent) => this.#onExchangeEvent(event),
      )));
  }

  /** Closes the connection, which makes the engine stop the run. */
  close(): void {
    this.#subscriptions.unsubscribe();
    this.#load?.release();
    this.#trial.ended();
  }

  #onExchangeEvent(event: ExchangeEvent): void {
    const { fleet } = this.#context;
    const { server } = this.#plan;
    switch (event.kind) {
      case 'sent':
        this.sent = true;
        this.arrived = true;
        break;
      case 'head':
        this.#onHead(event);
        break;
      case 'piece':
        fleet.markHeard(server.id, this.#isOwn);
        this.#response?.push(event.bytes).forEach((part) => this.#onPart(part));
        break;
      case 'end':
        if (this.#response) this.#onEnd(this.#response);
        break;
      case 'unsent':
        this.#fail('no', event.message);
        break;
      case 'failed':
        // A server that sends what is no response is up.
        if (event.cause === 'connection') {
          if (event.ran === 'unknown') this.#recordBroken();
          fleet.markSuspect(server.id, event.message);
          this.#trial.broken();
        }
        this.#fail(event.ran, event.message);
        break;
    }
  }

  /** Tells the quarantines of a broken connection; what has run for some time was not the cause. */
  #recordBroken(): void {
    if (this.#soundRun.isSound) return;
    recordBroken(this.#call, {
      server: this.#plan.server.id,
      stage: this.stage,
      hasRun: this.#options.hasRun,
      previous: this.#options.excluded,
    }, this.#context);
  }

  #onHead(head: ReceivedHead): void {
    const { dialect, fleet, notices } = this.#context;
    const { server } = this.#plan;
    const responseClass = classifyResponse(head, this.#call.id, dialect);
    notices.observe(server, responseClass);
    this.#isOwn = isOwnAnswer(responseClass, this.#call.id);
    fleet.markHeard(server.id, this.#isOwn);
    if (responseClass.kind === 'not_run' && responseClass.misdirected) {
      fleet.markMisdirected(server.id);
      this.sent = false;
    }
    const { number, from, emptyEndAt } = this.#options;
    this.#response = StreamResponse.of(head, responseClass, {
      method: this.#call.method, from, hasBegun: this.#hasBegun, emptyEndAt,
    });
    const { headFailure } = this.#response;
    if (headFailure) this.#fail(headFailure.ran, headFailure.message);
    if (!this.#response.isStream) return;
    this.#head = head;
    this.#emit({ kind: 'opened', attempt: number, incarnation: server.id });
  }

  #onPart(part: StreamPart): void {
    switch (part.kind) {
      case 'failed':
        this.#fail(part.ran, part.message);
        break;
      case 'event':
        this.#onEvent(part.position, part.text);
        break;
    }
  }

  #onEvent(position: number, text: string): void {
    this.#trial.answered();
    if (this.#lastEventAt === undefined) {
      this.#load?.prefilled();
      if (this.#plan.resumesFromCopy) this.#context.meter.record({ kind: 'copy', outcome: 'used' });
    }
    this.#pace?.event(text);
    this.#lastEventAt = this.#context.scheduler.now();
    if (this.#soundRun.record(this.#lastEventAt)) {
      this.#context.quarantines.markAnswered(this.#call);
    }
    this.#emit({
      kind: 'token', attempt: this.#options.number, position, text,
    });
  }

  #onEnd(response: StreamResponse): void {
    const { endFailure } = response;
    this.isEmptyEnd = response.isEmptyEnd;
    if (endFailure) {
      this.#fail(endFailure.ran, endFailure.message);
      return;
    }
    this.#pace?.end();
    this.#trial.finished();
    this.#context.fleet.recordOutcome(this.#plan.server.id, false);
    this.#context.quarantines.markAnswered(this.#call);
    this.#emit({
      kind: 'finish', attempt: this.#options.number, position: response.position, reason: 'stop',
    });
  }

  #fail(ran: 'no' | 'unknown', message: string): void {
    const { fleet, meter } = this.#context;
    if (ran === 'unknown') this.#trial.failed();
    if (ran === 'unknown') fleet.recordOutcome(this.#plan.server.id, true);
    if (this.#plan.resumesFromCopy && this.#lastEventAt === undefined) {
      meter.record({ kind: 'copy', outcome: 'lost' });
    }
    this.#emit({
      kind: 'failed',
      attempt: this.#options.number,
      failure: {
        kind: 'failed', cause: 'reset', ran, message,
      },
    });
  }
}
