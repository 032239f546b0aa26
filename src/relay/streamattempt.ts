/** One attempt to relay a stream from one engine: sends the request and reads its events. */
import { Subscription } from 'rxjs';
import type { GenerationEvent } from '../generation/event.js';
import { SoundRun } from '../limits/soundrun.js';
import type { Assignment } from './assignment.js';
import type { AttemptOptions, AttemptPlan, AttemptStage } from './attemptplan.js';
import type { Call, ResponseHead } from './call.js';
import type { RelayContext } from './context.js';
import { recordBroken } from './crashguard.js';
import { EventSplitter } from './eventsplitter.js';
import type { ServerSentEvent } from './eventsplitter.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent } from './exchange.js';
import { classifyResponse } from './responseclass.js';
import { requiredMemory } from './selection.js';
import { FIRST_EVENT_ID, serverRequest, streamTarget } from './serverrequest.js';
import type { ServerEntry } from './serverentry.js';
import { overdueMs } from './silence.js';
import { NO_LOAD } from './serverstate.js';

/** The rest of a failure's body is not waited for. */
const MAX_FAILURE_BYTES = 65_536;

export class StreamAttempt {
  readonly #call: Call;

  readonly #plan: AttemptPlan;

  readonly #options: AttemptOptions;

  readonly #context: RelayContext;

  readonly #emit: (event: GenerationEvent) => void;

  readonly #splitter = EventSplitter.of();

  readonly #subscriptions = new Subscription();

  readonly #assignments: Assignment[] = [];

  /** Whether the engine may have received any of the request. */
  sent = false;

  /** Whether any server may have, also one that has taken over the engine's address. */
  arrived = false;

  #startedAt = 0;

  /** When the engine accepted the connection; 0 if it was open before. */
  #connectedAt = 0;

  #lastEventAt: number | undefined;

  readonly #soundRun = SoundRun.of();

  #nextPosition: number;

  #head: ResponseHead | undefined;

  /** Length of the body of a failure. */
  #failureLength = 0;

  /** Failure given by the response's head, reported once the response has ended. */
  #failure: { readonly ran: 'no' | 'unknown'; readonly message: string } | undefined;

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
    this.#nextPosition = options.from;
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

  get head(): ResponseHead | undefined {
    return this.#head;
  }

  start(): void {
    const {
      fleet, throttles, scheduler, silence, reach,
    } = this.#context;
    const { server, standby, prefillTokens } = this.#plan;
    const { demand } = this.#options;
    const memory = requiredMemory(demand);
    this.#startedAt = scheduler.now();
    this.#assignments.push(fleet.assign(server.id, {
      ...NO_LOAD, running: 1, memoryTokens: memory, prefillTokens,
    }));
    if (standby) this.#assignments.push(fleet.assign(standby.id, { ...NO_LOAD, standby: memory }));
    const { workspace } = this.#call;
    if (workspace) {
      const room = memory * (standby ? 2 : 1);
      this.#subscriptions.add(this.#context.uses.take(server.service, workspace.name, room));
    }
    throttles.take(server);
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
      migrate: (reason) => {
        if (this.#options.canMigrate()) this.#fail('unknown', reason);
      },
    }));
    const dueAt = this.#startedAt + overdueMs(this.#plan.expectedFirstMs);
    const { service } = server;
    this.#subscriptions.add(reach.watch({ service, startedAt: this.#startedAt, dueAt }));
    this.#subscriptions.add(exchange(outgoing, scheduler)
      .subscribe((event) => this.#onExchangeEvent(event)));
  }

  /** Closes the connection, which makes the engine stop the run. */
  close(): void {
    this.#subscriptions.unsubscribe();
    this.#assignments.forEach((assignment) => assignment.release());
  }

  #onExchangeEvent(event: ExchangeEvent): void {
    const { fleet } = this.#context;
    const { server } = this.#plan;
    switch (event.kind) {
      case 'sent':
        this.sent = true;
        this.arrived = true;
        if (!event.reused) this.#connectedAt = this.#context.scheduler.now();
        break;
      case 'head':
        fleet.markHeard(server.id);
        this.#onHead({ status: event.status, headers: event.headers });
        break;
      case 'piece':
        fleet.markHeard(server.id);
        this.#onBytes(event.bytes);
        break;
      case 'end':
        this.#onEnd();
        break;
      case 'unsent':
        this.#fail('no', event.message);
        break;
      case 'failed':
        if (event.ran === 'unknown') this.#recordBroken();
        fleet.markSuspect(server.id, event.message);
        this.#fail(event.ran, event.message);
        break;
    }
  }

  /**
   * Tells the quarantines of a broken connection. An attempt that goes on with a stream says
   * nothing of the prompt's parts, and one that has run for some time was not the cause.
   */
  #recordBroken(): void {
    if (this.#soundRun.isSound) return;
    const { from, reconnecting, excluded } = this.#options;
    recordBroken(this.#call, {
      server: this.#plan.server.id,
      stage: from > 0 || reconnecting ? 'streaming' : this.stage,
      previous: excluded,
      connectedAt: this.#connectedAt,
    }, this.#context);
  }

  #onHead(head: ResponseHead): void {
    const { dialect, fleet, notices } = this.#context;
    const { server } = this.#plan;
    const responseClass = classifyResponse(head.status, head.headers, this.#call.id, dialect);
    notices.observe(server, responseClass);
    switch (responseClass.kind) {
      case 'not_run':
        if (responseClass.misdirected) {
          fleet.markMisdirected(server.id);
          this.sent = false;
        }
        this.#failure = { ran: 'no', message: responseClass.message };
        break;
      case 'failed':
        this.#failure = { ran: 'unknown', message: responseClass.message };
        break;
      case 'foreign':
        this.#fail('unknown', responseClass.message);
        break;
      case 'answer':
        this.#head = head;
        this.#emit({ kind: 'opened', attempt: this.#options.number, incarnation: server.id });
        break;
    }
  }

  #onBytes(bytes: Buffer): void {
    if (this.#failure) {
      this.#failureLength += bytes.length;
      if (this.#failureLength > MAX_FAILURE_BYTES) {
        this.#fail(this.#failure.ran, this.#failure.message);
      }
      return;
    }
    this.#splitter.push(bytes).filter(({ isComment }) => !isComment)
      .forEach((event) => this.#onEvent(event));
    if (this.#splitter.isOverlong) this.#fail('unknown', 'an event of the stream is too long');
  }

  #onEvent(event: ServerSentEvent): void {
    const { demand, number } = this.#options;
    if (event.id === undefined) {
      this.#fail('unknown', 'an event of the stream has no id');
      return;
    }
    if (this.#lastEventAt === undefined) {
      this.#context.quarantines.markStarted(this.#call);
      this.#assignments[0]?.update({
        ...NO_LOAD, running: 1, memoryTokens: requiredMemory(demand),
      });
      if (this.#plan.resumesFromCopy) this.#context.meter.record({ kind: 'copy', outcome: 'used' });
    }
    this.#lastEventAt = this.#context.scheduler.now();
    if (this.#soundRun.record(this.#lastEventAt)) {
      this.#context.quarantines.markAnswered(this.#call);
    }
    const position = event.id - FIRST_EVENT_ID;
    this.#nextPosition = position + 1;
    this.#emit({
      kind: 'token', attempt: number, position, text: event.text,
    });
  }

  #onEnd(): void {
    if (this.#failure) {
      this.#fail(this.#failure.ran, this.#failure.message);
      return;
    }
    if (this.#splitter.hasPartialEvent) {
      this.#fail('unknown', 'the stream ended in the middle of an event');
      return;
    }
    this.#context.fleet.recordOutcome(this.#plan.server.id, false);
    this.#context.quarantines.markAnswered(this.#call);
    this.#emit({
      kind: 'finish', attempt: this.#options.number, position: this.#nextPosition, reason: 'stop',
    });
  }

  #fail(ran: 'no' | 'unknown', message: string): void {
    const { fleet, meter } = this.#context;
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
