/**
 * The clock of one process under test, which can be paused, as by SIGSTOP, and ended. Timers and
 * messages that become due while it is paused run late, when it wakes.
 */
import type { SchedulerLike, Subscription } from 'rxjs';
import { Action } from './action.js';
import type { Work } from './action.js';
import type { VirtualClock } from './clock.js';

/** Tolerance for rounding errors in sums of times. */
const ROUNDING_MS = 1e-6;

export class NodeClock implements SchedulerLike {
  readonly #clock: VirtualClock;

  readonly #held = { timers: [] as (() => void)[], arrivals: [] as (() => void)[] };

  #epoch = 0;

  #paused = false;

  /** Total time that the machine was suspended, by which the monotonic clock lags wall time. */
  #behind = 0;

  #suspendedAt: number | undefined;

  private constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  static of(clock: VirtualClock): NodeClock {
    return new NodeClock(clock);
  }

  /** Increases with each `end`. */
  get epoch(): number {
    return this.#epoch;
  }

  /** When the process last started or woke. */
  wokenAt = 0;

  get paused(): boolean {
    return this.#paused;
  }

  /** Monotonic time. */
  now(): number {
    return this.#clock.now() - this.#behind;
  }

  /** Wall time, which advances while the machine is suspended. */
  readonly wall = (): number => this.#clock.now();

  schedule<Value>(work: Work<Value>, delay = 0, state?: Value): Subscription {
    return new Action<Value>(this, work).schedule(state, delay);
  }

  /** Calls `fire` once monotonic time has reached `due` and the process is running. */
  at(due: number, fire: () => void): void {
    const epoch = this.#epoch;
    const wait = () => this.#clock.at(this.#clock.now() + due - this.now(), () => {
      this.#run(epoch, () => {
        // If the machine was suspended meanwhile, less monotonic time than wall time has passed.
        if (due - this.now() > ROUNDING_MS) wait();
        else fire();
      }, 'timers');
    });
    wait();
  }

  /** Runs `action` now, or on waking if paused, unless the process of `epoch` has ended. */
  run(epoch: number, action: () => void): void {
    this.#run(epoch, action, 'arrivals');
  }

  /** @param suspended whether the machine is suspended, so that the monotonic clock stops */
  pause(suspended = false): void {
    this.#paused = true;
    if (suspended) this.#suspendedAt = this.#clock.now();
  }

  wake(): void {
    if (this.#suspendedAt !== undefined) this.#behind += this.#clock.now() - this.#suspendedAt;
    this.#suspendedAt = undefined;
    this.#paused = false;
    this.wokenAt = this.#clock.now();
    const epoch = this.#epoch;
    // An event loop runs the timers that are due before it reads from sockets.
    (['timers', 'arrivals'] as const).forEach((queue) => {
      this.#held[queue].splice(0).forEach((action) => {
        this.#clock.schedule(() => this.#run(epoch, action, queue));
      });
    });
  }

  /** Ends the process and discards its timers and the messages sent to it. */
  end(): void {
    this.#epoch += 1;
    this.wokenAt = this.#clock.now();
    this.#held.timers.length = 0;
    this.#held.arrivals.length = 0;
    this.#paused = false;
    this.#suspendedAt = undefined;
  }

  #run(epoch: number, action: () => void, queue: 'timers' | 'arrivals'): void {
    if (epoch !== this.#epoch) return;
    if (this.#paused) this.#held[queue].push(action);
    else action();
  }
}
