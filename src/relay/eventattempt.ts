/** One attempt of a relayed stream at one engine: sends the request and reads its events. */
import { Subscription } from 'rxjs';
import type { GenerationEvent } from '../generation/event.js';
import { meaningOf } from './attemptanswer.js';
import type { AnswerHead, Call } from './call.js';
import { memoryOf } from './choice.js';
import type { RunDemand } from './choice.js';
import type { RelayContext } from './context.js';
import { EventSplitter } from './eventsplitter.js';
import type { RelayedEvent } from './eventsplitter.js';
import { exchange } from './exchange.js';
import type { ExchangeEvent } from './exchange.js';
import type { Given } from './given.js';
import type { ListedServer } from './server.js';
import { serverRequest } from './serverrequest.js';
import { NO_LOAD } from './serverstate.js';

/** Id of a stream's first event. */
export const FIRST_EVENT = 1;

/** What an attempt's engines were chosen with. */
export interface AttemptPlan {
  readonly server: ListedServer;
  readonly standby: ListedServer | undefined;
  /** Whether the engine has a copy of the run's memory to go on from. */
  readonly copied: boolean;
  /** Prompt tokens that the engine has to read. */
  readonly reading: number;
  readonly expectedFirstMs: number;
}

export interface AttemptStart {
  readonly number: number;
  /** Position of the first event that is asked for. */
  readonly from: number;
  readonly demand: RunDemand;
  /** Whether the caller itself came with a last event. */
  readonly returning: boolean;
  /** Whether another engine could take the stream now. */
  readonly movable: () => boolean;
}

export class EventAttempt {
  readonly #call: Call;

  readonly #plan: AttemptPlan;

  readonly #start: AttemptStart;

  readonly #context: RelayContext;

  readonly #emit: (event: GenerationEvent) => void;

  readonly #splitter = EventSplitter.of();

  readonly #work = new Subscription();

  readonly #given: Given[] = [];

  /** Whether the engine got any of the request. */
  sent = false;

  #startedAt = 0;

  #eventAt: number | undefined;

  #next: number;

  #head: AnswerHead | undefined;

  /** What the server's own failure means, until its answer has ended. */
  #failure: { readonly ran: 'no' | 'unknown'; readonly message: string } | undefined;

  private constructor(
    call: Call,
    plan: AttemptPlan,
    start: AttemptStart,
    context: RelayContext,
    emit: (event: GenerationEvent) => void,
  ) {
    this.#call = call;
    this.#plan = plan;
    this.#start = start;
    this.#context = context;
    this.#emit = emit;
    this.#next = start.from;
  }

  static of(
    call: Call,
    plan: AttemptPlan,
    start: AttemptStart,
    context: RelayContext,
    emit: (event: GenerationEvent) => void,
  ): EventAttempt {
    return new EventAttempt(call, plan, start, context, emit);
  }

  /** The engine that keeps a standby copy; engines send none before their first event. */
  get copy(): string | undefined {
    return this.#eventAt === undefined ? undefined : this.#plan.standby?.id;
  }

  /** Prompt tokens that the engine was given and has not read to the end. */
  get unread(): number {
    return this.sent && this.#eventAt === undefined ? this.#plan.reading : 0;
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  start(): void {
    const { fleet, scheduler, silence } = this.#context;
    const {
      server, standby, copied, reading,
    } = this.#plan;
    const { from, demand } = this.#start;
    const memory = memoryOf(demand);
    this.#startedAt = scheduler.now();
    this.#given.push(fleet.give(server.id, {
      ...NO_LOAD, running: 1, memory, reading,
    }));
    if (standby) this.#given.push(fleet.give(standby.id, { ...NO_LOAD, standby: memory }));
    const outgoing = serverRequest(this.#call, {
      server,
      lastEvent: from > 0 || this.#start.returning ? from - 1 + FIRST_EVENT : undefined,
      standby: standby?.address,
      goOnFrom: copied ? { address: server.address, run: this.#call.id } : undefined,
    }, this.#context);
    this.#work.add(silence.watch({
      server: server.id,
      silence: () => ({
        startedAt: this.#startedAt,
        eventAt: this.#eventAt,
        expectedFirstMs: this.#plan.expectedFirstMs,
        pauseObjectiveMs: this.#call.route.pauseObjectiveMs,
        copied: standby !== undefined,
      }),
      move: (reason) => {
        if (this.#start.movable()) this.#fail('unknown', reason);
      },
    }));
    this.#work.add(exchange(outgoing, scheduler).subscribe((event) => this.#read(event)));
  }

  /** Stops reading, which ends the engine's work. */
  close(): void {
    this.#work.unsubscribe();
    this.#given.forEach((given) => given.end());
  }

  #read(event: ExchangeEvent): void {
    const { fleet } = this.#context;
    const { server } = this.#plan;
    switch (event.kind) {
      case 'sent':
        this.sent = true;
        break;
      case 'head':
        fleet.heard(server.id);
        this.#readHead({ status: event.status, headers: event.headers });
        break;
      case 'piece':
        fleet.heard(server.id);
        if (this.#failure) break;
        this.#splitter.take(event.bytes).forEach((part) => this.#readEvent(part));
        break;
      case 'end':
        this.#end();
        break;
      case 'failed':
        fleet.suspect(server.id, event.message);
        this.#fail(event.ran, event.message);
        break;
    }
  }

  #readHead(head: AnswerHead): void {
    const { dialect, fleet } = this.#context;
    const { server } = this.#plan;
    const meaning = meaningOf(head.status, head.headers, this.#call.id, dialect);
    switch (meaning.kind) {
      case 'not_run':
        if (meaning.elsewhere) {
          fleet.misdirected(server.id);
          this.sent = false;
        }
        this.#failure = { ran: 'no', message: meaning.message };
        break;
      case 'failed':
        this.#failure = { ran: 'unknown', message: meaning.message };
        break;
      case 'foreign':
        this.#fail('unknown', meaning.message);
        break;
      case 'answer':
        this.#head = head;
        this.#emit({ kind: 'opened', attempt: this.#start.number, incarnation: server.id });
        break;
    }
  }

  #readEvent(event: RelayedEvent): void {
    const { demand, number } = this.#start;
    const { server } = this.#plan;
    if (this.#eventAt === undefined) {
      this.#given[0]?.change({ ...NO_LOAD, running: 1, memory: memoryOf(demand) });
      if (this.#plan.copied) this.#context.meter.note({ kind: 'copy', outcome: 'used' });
    }
    this.#eventAt = this.#context.scheduler.now();
    const position = event.id === undefined ? this.#next : event.id - FIRST_EVENT;
    this.#next = position + 1;
    if (event.id === undefined) {
      this.#context.log.event('warn', 'event_without_id', {
        request: this.#call.id, server: server.id, text: event.text.slice(0, 80),
      });
    }
    this.#emit({
      kind: 'token', attempt: number, position, text: event.text,
    });
  }

  #end(): void {
    if (this.#failure) {
      this.#fail(this.#failure.ran, this.#failure.message);
      return;
    }
    if (this.#splitter.torn) {
      this.#fail('unknown', 'the stream ended within an event');
      return;
    }
    this.#context.fleet.outcome(this.#plan.server.id, false);
    this.#emit({
      kind: 'finish', attempt: this.#start.number, position: this.#next, reason: 'stop',
    });
  }

  #fail(ran: 'no' | 'unknown', message: string): void {
    const { fleet, meter } = this.#context;
    if (ran === 'unknown') fleet.outcome(this.#plan.server.id, true);
    if (this.#plan.copied && this.#eventAt === undefined) {
      meter.note({ kind: 'copy', outcome: 'lost' });
    }
    this.#emit({
      kind: 'failed',
      attempt: this.#start.number,
      failure: {
        kind: 'failed', cause: 'reset', ran, message,
      },
    });
  }
}
