/** Dispatchers that the router is measured against: one FIFO queue, and a plain rule of choice. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Observable } from 'rxjs';
import type { SchedulerLike, Subscriber } from 'rxjs';
import type { Random } from '../src/common/random.js';
import type { Refusal } from '../src/common/refusal.js';
import type { Configuration } from '../src/configuration/configuration.js';
import type { Directory, EngineView } from '../src/engines/directory.js';
import type { Admission } from '../src/limits/admission.js';
import type { Assignment, AssignmentRequest, Dispatcher } from '../src/routing/dispatcher.js';

export type Rule = 'random' | 'round_robin' | 'least_in_flight';

interface Waiting {
  readonly demand: AssignmentRequest;
  readonly subscriber: Subscriber<Result<Assignment, Refusal>>;
}

export interface BaselineContext {
  readonly directory: Directory;
  readonly configuration: () => Configuration;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Requests that one daemon sends to an engine at once. */
  readonly perEngine: number;
}

export class Baseline implements Dispatcher {
  readonly #rule: Rule;

  readonly #context: BaselineContext;

  readonly #inFlight = new Map<string, number>();

  #waiting: Waiting[] = [];

  #turn = 0;

  private constructor(rule: Rule, context: BaselineContext) {
    this.#rule = rule;
    this.#context = context;
  }

  static of(rule: Rule, context: BaselineContext): Baseline {
    return new Baseline(rule, context);
  }

  // eslint-disable-next-line class-methods-use-this
  admit(): Result<Admission, Refusal> {
    return ok({ release: () => undefined });
  }

  assign(demand: AssignmentRequest): Observable<Result<Assignment, Refusal>> {
    const { scheduler, configuration } = this.#context;
    return new Observable((subscriber) => {
      const waiting = { demand, subscriber };
      this.#waiting.push(waiting);
      this.#drain();
      const deadline = scheduler.schedule(() => {
        if (!this.#leave(waiting)) return;
        subscriber.next(err({ code: 'queue_timeout', message: 'no room', ran: 'no' }));
        subscriber.complete();
      }, configuration().limits.queueWaitMs[demand.priority]);
      return () => {
        deadline.unsubscribe();
        this.#leave(waiting);
      };
    });
  }

  #leave(waiting: Waiting): boolean {
    const before = this.#waiting.length;
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
    return this.#waiting.length < before;
  }

  #drain(): void {
    for (;;) {
      const [first] = this.#waiting;
      const view = first && this.#pick(first.demand);
      if (!view) return;
      this.#waiting.shift();
      first.subscriber.next(ok(this.#assignment(view.server.name)));
      first.subscriber.complete();
    }
  }

  #load({ server }: EngineView): number {
    return this.#inFlight.get(server.name) ?? 0;
  }

  #pick({ target }: AssignmentRequest): EngineView | undefined {
    if (target.kind === 'service') return undefined;
    const { directory, random, perEngine } = this.#context;
    const views = directory.engines().filter((view) => view.health !== 'down'
      && view.report?.models.some(({ model }) => model === target.model)
      && this.#load(view) < perEngine);
    if (views.length === 0) return undefined;
    this.#turn += 1;
    switch (this.#rule) {
      case 'random': return random.pick(views);
      case 'round_robin': return views[this.#turn % views.length];
      case 'least_in_flight': return views.reduce((least, view) => (
        this.#load(view) < this.#load(least) ? view : least));
    }
  }

  #assignment(server: string): Assignment {
    this.#inFlight.set(server, (this.#inFlight.get(server) ?? 0) + 1);
    return {
      server,
      version: '1',
      release: () => {
        this.#inFlight.set(server, (this.#inFlight.get(server) ?? 1) - 1);
        this.#drain();
      },
    };
  }
}
