/**
 * Tracks which zones lost a server recently. Engines of a zone often fail together, and the first
 * failure says more about the others than their own silence does.
 */
import type { ServerEntry } from './serverentry.js';

/** Servers that fail together with their zone are detected within this time. */
const SUSPICION_MS = 1_500;

export class ZoneFailures {
  /** Time of the last failure, by service and zone. */
  readonly #failedAt = new Map<string, number>();

  static of(): ZoneFailures {
    return new ZoneFailures();
  }

  record({ service, zone }: ServerEntry, now: number): void {
    this.#failedAt.set(`${service} ${zone}`, now);
  }

  /** Whether a server may have failed with its zone: it was not heard from since the failure. */
  suspects({ service, zone }: ServerEntry, heardAt: number, now: number): boolean {
    const failedAt = this.#failedAt.get(`${service} ${zone}`);
    return failedAt !== undefined && now - failedAt < SUSPICION_MS && heardAt <= failedAt;
  }
}
