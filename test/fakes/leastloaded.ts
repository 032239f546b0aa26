/** A dispatcher that sends each attempt to the engine with the fewest requests in flight. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { of } from 'rxjs';
import type { Observable } from 'rxjs';
import type { Log } from '../../src/common/log.js';
import type { Refusal } from '../../src/common/refusal.js';
import type { Configuration } from '../../src/configuration/configuration.js';
import type { Directory, EngineView } from '../../src/engines/directory.js';
import type { Admission } from '../../src/limits/admission.js';
import type { Assignment, AssignmentRequest, Dispatcher } from '../../src/routing/dispatcher.js';

const RETRY_AFTER_MS = 1_000;

export class LeastLoaded implements Dispatcher {
  readonly #directory: Directory;

  readonly #configuration: () => Configuration;

  readonly #log: Log;

  readonly #inFlight = new Map<string, number>();

  private constructor(directory: Directory, configuration: () => Configuration, log: Log) {
    this.#directory = directory;
    this.#configuration = configuration;
    this.#log = log;
  }

  static of(directory: Directory, configuration: () => Configuration, log: Log): LeastLoaded {
    return new LeastLoaded(directory, configuration, log);
  }

  // eslint-disable-next-line class-methods-use-this
  admit(): Result<Admission, Refusal> {
    return ok({ release: () => undefined });
  }

  assign(request: AssignmentRequest): Observable<Result<Assignment, Refusal>> {
    const { target } = request;
    if (target.kind === 'service') return of(err(this.#unavailable('no such service')));
    const version = target.version ?? this.#configuration().models[target.model]?.version ?? '';
    const candidates = this.#directory.engines()
      .filter(({ server, health, report }) => health === 'up' && !server.drained
        && report?.role !== 'leaving'
        && !request.exclude.includes(server.name)
        && report?.models.some((loaded) => (
          loaded.model === target.model && loaded.version === version)))
      .sort((left, right) => this.#load(left) - this.#load(right));
    const [chosen] = candidates;
    if (!chosen) return of(err(this.#unavailable('no engine can take the request')));
    this.#log.event('info', 'route', {
      request: request.requestId,
      server: chosen.server.name,
      version,
      in_flight: this.#load(chosen),
      candidates: candidates.length,
      resume: request.resume,
    });
    return of(ok(this.#assignment(chosen.server.name, version)));
  }

  #load({ server }: EngineView): number {
    return this.#inFlight.get(server.name) ?? 0;
  }

  #assignment(server: string, version: string): Assignment {
    this.#inFlight.set(server, (this.#inFlight.get(server) ?? 0) + 1);
    return {
      server,
      version,
      release: () => this.#inFlight.set(server, (this.#inFlight.get(server) ?? 1) - 1),
    };
  }

  // eslint-disable-next-line class-methods-use-this
  #unavailable(message: string): Refusal {
    return {
      code: 'unavailable', message, ran: 'no', retryAfterMs: RETRY_AFTER_MS,
    };
  }
}
