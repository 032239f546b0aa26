/**
 * Bounds how long input may have waited before this process read it. A process whose processor is
 * used up, or that was paused, reads requests long after they arrived; their deadlines count from
 * the arrival. What is read after a late timer may have waited since that timer was due.
 */
import type { Socket } from 'node:net';
import { interval, Subscription } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { afterNextPoll } from '../common/time.js';

const TICK_MS = 50;
/** Timers fire slightly late in a process that has nothing else to do. */
const TOLERANCE_MS = 10;

export class InputDelay {
  readonly #scheduler: SchedulerLike;

  readonly #onTick: (lateMs: number) => void;

  /** When the last tick ran; undefined before the first. */
  #tickedAt: number | undefined;

  /** How late the last tick was, until the input that had arrived by then has been read. */
  #lateMs = 0;

  /** When the clients of connections that were accepted late may have opened them. */
  readonly #openedAt = new WeakMap<Socket, number>();

  private constructor(scheduler: SchedulerLike, onTick: (lateMs: number) => void) {
    this.#scheduler = scheduler;
    this.#onTick = onTick;
  }

  /** @param onTick called at each tick with how late it is */
  static of(
    scheduler: SchedulerLike,
    onTick: (lateMs: number) => void = () => undefined,
  ): InputDelay {
    return new InputDelay(scheduler, onTick);
  }

  /** Measures until the subscription ends. */
  start(): Subscription {
    const running = new Subscription();
    this.#tickedAt = this.#scheduler.now();
    running.add(interval(TICK_MS, this.#scheduler).subscribe(() => this.#tick(running)));
    running.add(() => {
      this.#tickedAt = undefined;
      this.#lateMs = 0;
    });
    return running;
  }

  #tick(running: Subscription): void {
    const now = this.#scheduler.now();
    this.#lateMs = Math.max(0, now - (this.#tickedAt ?? now) - TICK_MS);
    this.#tickedAt = now;
    this.#onTick(this.#lateMs);
    if (this.#lateMs <= TOLERANCE_MS) return;
    // Timers run before the poll that reads what has arrived in the meantime.
    const polled = afterNextPoll(() => {
      this.#lateMs = 0;
    });
    running.add(polled);
  }

  /** The longest time that input which is read now may have waited. */
  get waitedMs(): number {
    if (this.#tickedAt === undefined) return 0;
    const overdueMs = Math.max(0, this.#scheduler.now() - this.#tickedAt - TICK_MS);
    const waitedMs = this.#lateMs + overdueMs;
    return waitedMs <= TOLERANCE_MS ? 0 : waitedMs;
  }

  /** Notes a connection that has just been accepted. */
  accepted(socket: Socket): void {
    const { waitedMs } = this;
    if (waitedMs === 0) return;
    this.#openedAt.set(socket, this.#scheduler.now() - waitedMs);
    // A request that had come with the connection is read by then.
    afterNextPoll(() => afterNextPoll(() => this.#openedAt.delete(socket)));
  }

  /** The earliest time at which a request that is read now may have arrived. */
  arrivedAt(socket: Socket): number {
    return this.#openedAt.get(socket) ?? this.#scheduler.now() - this.waitedMs;
  }
}
