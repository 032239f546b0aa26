/**
 * The lines of the services whose engines are full, at this instance. Who waits gets room that a
 * run of this instance has left, before the others hear of it: if all instances looked for room
 * that any of them has left, several would take the same.
 */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import { nextOf, waitOf } from './waitingline.js';
import type { Wait, WaitInput } from './waitingline.js';

/** How often it is looked for requests whose wait is over. */
const POLL_MS = 25;

export interface Waiter {
  /** Returns whether the request waits no longer. */
  tryNow(): boolean;
  /** The wait is over, and the request is refused. */
  giveUp(): void;
}

interface Waiting extends Wait { readonly waiter: Waiter }

export class WaitingLines {
  readonly #scheduler: SchedulerLike;

  readonly #lines = new Map<string, readonly Waiting[]>();

  #polling: Subscription | undefined;

  private constructor(scheduler: SchedulerLike) {
    this.#scheduler = scheduler;
  }

  static of(scheduler: SchedulerLike): WaitingLines {
    return new WaitingLines(scheduler);
  }

  /** Adds a request to the line; the returned function takes it out. Undefined if it can't wait. */
  join(
    service: string,
    input: WaitInput,
    waiter: Waiter,
  ): { readonly wait: Wait; readonly leave: () => void } | undefined {
    const line = this.#lines.get(service) ?? [];
    const wait = waitOf(input, line, this.#scheduler.now());
    if (!wait) return undefined;
    const entry = { ...wait, waiter };
    this.#lines.set(service, [...line, entry]);
    this.#polling ??= interval(POLL_MS, this.#scheduler).subscribe(() => (
      [...this.#lines.keys()].forEach((name) => this.#refuseLate(name))));
    return { wait, leave: () => this.#remove(service, entry) };
  }

  /** Tries to place who waits. */
  wake(service: string): void {
    const { tried } = nextOf(this.#lines.get(service) ?? [], this.#scheduler.now());
    tried.forEach((entry) => {
      if (this.#has(service, entry) && entry.waiter.tryNow()) this.#remove(service, entry);
    });
  }

  #refuseLate(service: string): void {
    const { leaving } = nextOf(this.#lines.get(service) ?? [], this.#scheduler.now());
    leaving.forEach((entry) => {
      if (!this.#has(service, entry)) return;
      this.#remove(service, entry);
      entry.waiter.giveUp();
    });
  }

  /** Called when a run has ended; its own call is finished before others are tried. */
  freed(service: string): void {
    if (this.#lines.has(service)) this.#scheduler.schedule(() => this.wake(service));
  }

  /** A caller may leave while another one is tried. */
  #has(service: string, entry: Waiting): boolean {
    return this.#lines.get(service)?.includes(entry) ?? false;
  }

  #remove(service: string, entry: Waiting): void {
    const line = (this.#lines.get(service) ?? []).filter((other) => other !== entry);
    if (line.length > 0) this.#lines.set(service, line);
    else this.#lines.delete(service);
    if (this.#lines.size > 0) return;
    this.#polling?.unsubscribe();
    this.#polling = undefined;
  }
}
