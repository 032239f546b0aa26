/**
 * Counts this instance's running and waiting generations by model and its streams on old versions,
 * and publishes the counts to the other daemons. The holder of the placement lease reads them.
 */
import type { Result } from 'neverthrow';
import {
  finalize, Observable, Subscription, timer,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Priority } from '../common/priority.js';
import type { Refusal } from '../common/refusal.js';
import type { Configuration } from '../configuration/configuration.js';
import type { Admission } from '../limits/admission.js';
import type { SoftState } from '../membership/softstate.js';
import { MODEL_DEMAND_KEY, OLD_STREAMS_KEY } from '../placement/demand.js';
import type { ModelDemand, OldStreams } from '../placement/demand.js';
import { versionedName } from '../placement/inventory.js';
import type { Assignment, AssignmentRequest, Dispatcher } from '../routing/dispatcher.js';

const REPORT_PERIOD_MS = 1_000;

interface RunningStream {
  readonly model: string;
  readonly version: string;
  readonly server: string;
}

export class DemandReport implements Dispatcher {
  readonly #dispatcher: Dispatcher;

  readonly #running = new Set<RunningStream>();

  readonly #waiting = new Map<string, number>();

  private constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
  }

  /** @param dispatcher the dispatcher whose assignments are counted */
  static of(dispatcher: Dispatcher): DemandReport {
    return new DemandReport(dispatcher);
  }

  /** Publishes the counts until the subscription ends. */
  start(
    softState: SoftState,
    configuration: () => Configuration,
    scheduler: SchedulerLike,
  ): Subscription {
    return timer(REPORT_PERIOD_MS, REPORT_PERIOD_MS, scheduler).subscribe(() => {
      softState.publish(MODEL_DEMAND_KEY, this.#modelDemand());
      softState.publish(OLD_STREAMS_KEY, this.#oldStreams(configuration()));
    });
  }

  admit(workspace: string, priority: Priority): Result<Admission, Refusal> {
    return this.#dispatcher.admit(workspace, priority);
  }

  assign(request: AssignmentRequest): Observable<Result<Assignment, Refusal>> {
    const { target } = request;
    if (target.kind === 'service') return this.#dispatcher.assign(request);
    const { model } = target;
    return new Observable((subscriber) => {
      this.#changeWaiting(model, 1);
      return this.#dispatcher.assign(request).pipe(finalize(() => this.#changeWaiting(model, -1)))
        .subscribe({
          next: (result) => subscriber.next(result.map((assignment) => (
            this.#countStream(model, assignment)))),
          error: (error: unknown) => subscriber.error(error),
          complete: () => subscriber.complete(),
        });
    });
  }

  #changeWaiting(model: string, change: number): void {
    this.#waiting.set(model, (this.#waiting.get(model) ?? 0) + change);
  }

  #countStream(model: string, assignment: Assignment): Assignment {
    const { server, version } = assignment;
    const stream: RunningStream = { model, version, server };
    this.#running.add(stream);
    return {
      server,
      version,
      release: (outcome) => {
        this.#running.delete(stream);
        assignment.release(outcome);
      },
    };
  }

  #modelDemand(): ModelDemand {
    const models = new Set([...this.#waiting.keys()]);
    return Object.fromEntries([...models].map((model) => [model, {
      running: [...this.#running].filter((stream) => stream.model === model).length,
      waiting: this.#waiting.get(model) ?? 0,
    }]));
  }

  #oldStreams({ revision, models }: Configuration): OldStreams {
    const counts = new Map<string, { server: string; copy: string; running: number }>();
    [...this.#running].filter(({ model, version }) => models[model]?.version !== version)
      .forEach(({ model, version, server }) => {
        const copy = versionedName(model, version);
        const key = `${server}\n${copy}`;
        const running = (counts.get(key)?.running ?? 0) + 1;
        counts.set(key, { server, copy, running });
      });
    return { revision, streams: [...counts.values()] };
  }
}
