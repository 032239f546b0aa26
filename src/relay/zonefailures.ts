/**
 * Remembers for a moment which zones have lost a server: engines of a zone often fail together, and
 * the first loss tells more of the others than their silence does.
 */
import type { ServerEntry } from './serverentry.js';

/** A zone's servers that fail together are found out within this time. */
const SUSPICION_MS = 1_500;

export class ZoneFailures {
  /** When a server of a service and zone last failed. */
  readonly #failedAt = new Map<string, number>();

  static of(): ZoneFailures {
    return new ZoneFailures();
  }

  record({ service, zone }: ServerEntry, now: number): void {
    this.#failedAt.set(`${service} ${zone}`, now);
  }

  /** Whether a server may have failed with its zone: nothing came from it since. */
  suspects({ service, zone }: ServerEntry, heardAt: number, now: number): boolean {
    const failedAt = this.#failedAt.get(`${service} ${zone}`);
    return failedAt !== undefined && now - failedAt < SUSPICION_MS && heardAt <= failedAt;
  }
}
