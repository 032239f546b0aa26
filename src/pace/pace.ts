/**
 * What each backend server takes well: its pace against the mean of its service, and the number of
 * requests up to which it answers more the more it gets. An instance's own observations and those
 * that other instances tell count alike, so that all instances come to the same result.
 */
import type { ServerEstimate } from './estimate.js';
import type { Observation, PacedServer } from './observation.js';
import type { PaceReport } from './report.js';
import { ServicePace } from './servicepace.js';

/** A configuration has far fewer services; those no longer in it drop out as the oldest. */
const MAX_SERVICES = 256;

/** With fewer observations, by what their age leaves of them, a server counts as unknown. */
const MIN_KNOWN = 1;

const MEAN: ServerEstimate = { factor: 1, rawFactor: 1, observations: 0 };

export class Pace {
  readonly #services = new Map<string, ServicePace>();

  static of(): Pace {
    return new Pace();
  }

  observe(server: PacedServer, observation: Observation, now: number): void {
    this.#service(server.service).observe(server, observation, now);
  }

  /** Takes over what another instance observed; reports of unknown servers are dropped. */
  adopt(
    reports: readonly PaceReport[],
    from: string,
    serverOf: (id: string) => PacedServer | undefined,
    now: number,
  ): void {
    reports.forEach((report) => {
      const server = serverOf(report.server);
      if (server) this.#service(server.service).adopt(server, report, from, now);
    });
  }

  /** Time against the service's mean: 1 is the mean, 2 is twice as slow. */
  factor(server: PacedServer, now: number): number {
    return this.estimate(server, now).factor;
  }

  /** Whether there are recent observations of the server. */
  isKnown(server: PacedServer, now: number): boolean {
    return this.estimate(server, now).observations >= MIN_KNOWN;
  }

  /** Requests that the server takes well at the same time, up to `slots`. */
  limit(server: PacedServer, slots: number, now: number): number {
    return this.#services.get(server.service)?.limit(server, slots, now) ?? slots;
  }

  estimate(server: PacedServer, now: number): ServerEstimate {
    return this.#services.get(server.service)?.estimate(server, now) ?? MEAN;
  }

  /** What the others are told. */
  reports(
    serverOf: (id: string) => PacedServer | undefined,
    now: number,
  ): readonly PaceReport[] {
    return [...this.#services.values()].flatMap((service) => (
      service.reports((id) => serverOf(id)?.slots, now)));
  }

  #service(name: string): ServicePace {
    const known = this.#services.get(name);
    if (known) return known;
    const service = ServicePace.of();
    this.#services.set(name, service);
    const [oldest] = this.#services.keys();
    if (this.#services.size > MAX_SERVICES && oldest !== undefined) this.#services.delete(oldest);
    return service;
  }
}
