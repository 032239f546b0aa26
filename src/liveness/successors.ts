/**
 * Tells servers that restarted under a new id from servers of other services that were given their
 * addresses. The platform keeps the address of a server that has ended from other services for a
 * time; whoever answers there within that time is the server itself, restarted. Only answers that
 * name the server show that it ran: whatever accepts connections may already be another one.
 */
import type { SchedulerLike } from 'rxjs';
import { InputHorizon } from './inputhorizon.js';
import type { Instant } from './inputhorizon.js';

/** A server that restarted under a new id. */
export interface Succession {
  readonly previousId: string;
  readonly id: string;
  /**
   * The longest time for which the server may have been gone when the new id was found; undefined
   * from instances that don't tell it.
   */
  readonly goneMs: number | undefined;
}

export interface SuccessorsContext {
  readonly scheduler: SchedulerLike;
  /** The time of day in milliseconds; `Date.now` by default. */
  readonly wallClock?: (() => number) | undefined;
  /** How long the platform keeps a stopped server's address from being reused by other services. */
  readonly reuseAfterMs: number;
}

export class Successors {
  readonly #horizon: InputHorizon;

  readonly #reuseAfterMs: number;

  /** When servers ran for certain. */
  readonly #seenAt = new Map<string, Instant>();

  /** By the previous id. */
  readonly #found = new Map<string, Succession>();

  private constructor(horizon: InputHorizon, reuseAfterMs: number) {
    this.#horizon = horizon;
    this.#reuseAfterMs = reuseAfterMs;
  }

  static of({ scheduler, wallClock = Date.now, reuseAfterMs }: SuccessorsContext): Successors {
    return new Successors(InputHorizon.of(scheduler, wallClock), reuseAfterMs);
  }

  get horizon(): InputHorizon {
    return this.#horizon;
  }

  /** Called when an answer of the server itself has been read. */
  markSeen(id: string): void {
    const { earliest } = this.#horizon;
    if (earliest) this.#seenAt.set(id, earliest);
  }

  /** The latest time at which a server ran for certain; `-Infinity` if that was never seen. */
  seenAt(id: string): number {
    return this.#seenAt.get(id)?.at ?? -Infinity;
  }

  /** What to record if another id answers now at a server's address; undefined if nothing. */
  identify(previousId: string, id: string): Succession | undefined {
    const seenAt = this.#seenAt.get(previousId);
    if (!seenAt) return undefined;
    const goneMs = this.#horizon.elapsedMs(seenAt);
    return goneMs <= this.#reuseAfterMs ? { previousId, id, goneMs } : undefined;
  }

  /** What to record of a report; one without an age needs evidence of this instance. */
  verify(reported: Succession): Succession | undefined {
    const { previousId, id, goneMs } = reported;
    if (goneMs === undefined) return this.identify(previousId, id);
    return goneMs <= this.#reuseAfterMs ? reported : undefined;
  }

  record(succession: Succession): void {
    this.#found.set(succession.previousId, succession);
  }

  /** All that are to be reported to other instances. */
  get found(): readonly Succession[] {
    return [...this.#found.values()];
  }

  forget(id: string): void {
    this.#seenAt.delete(id);
    this.#found.delete(id);
  }
}
