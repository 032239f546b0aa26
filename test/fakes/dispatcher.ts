/** Assigns a service call to the first configured server that isn't excluded. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { of } from 'rxjs';
import type { Observable } from 'rxjs';
import type { Refusal } from '../../src/common/refusal.js';
import type { Configuration } from '../../src/configuration/configuration.js';
import type { Admission } from '../../src/limits/admission.js';
import type { Assignment, AssignmentRequest, Dispatcher } from '../../src/routing/dispatcher.js';

export class ServiceDispatcher implements Dispatcher {
  readonly #models: Dispatcher;

  readonly #configuration: () => Configuration;

  private constructor(models: Dispatcher, configuration: () => Configuration) {
    this.#models = models;
    this.#configuration = configuration;
  }

  static of(models: Dispatcher, configuration: () => Configuration): ServiceDispatcher {
    return new ServiceDispatcher(models, configuration);
  }

  admit(...args: Parameters<Dispatcher['admit']>): Result<Admission, Refusal> {
    return this.#models.admit(...args);
  }

  assign(request: AssignmentRequest): Observable<Result<Assignment, Refusal>> {
    const { target, exclude } = request;
    if (target.kind === 'model') return this.#models.assign(request);
    const { servers, services } = this.#configuration();
    const [name] = Object.values(servers)
      .filter(({ pool }) => pool === services[target.service]?.pool)
      .map((server) => server.name)
      .filter((server) => !exclude.includes(server));
    const refused: Refusal = { code: 'unavailable', message: 'none', ran: 'no' };
    if (name === undefined) return of(err(refused));
    return of(ok({ server: name, version: '', release: () => undefined }));
  }
}
