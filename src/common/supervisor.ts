/**
 * Supervisor trees. A child is an observable that runs while subscribed to and emits nothing. One
 * that completes or fails is restarted with jittered exponential backoff, without affecting its
 * siblings. Supervisors are children themselves, so that they can form trees.
 */
import {
  defer, merge, Observable, retry, tap, timer,
} from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Log } from './log.js';
import type { Random } from './random.js';

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;
const BACKOFF_SPREAD = 0.3;
/** The backoff is reset for a child that ran at least this long before it failed. */
const STABLE_AFTER_MS = 30_000;

export interface Child {
  readonly name: string;
  /** Runs the child on subscription; unsubscribing stops it. */
  readonly run: Observable<never>;
}

export interface SupervisorContext {
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

/** Creates a child from a start function that returns a stop function. */
export function childOf(name: string, start: () => () => void): Child {
  return { name, run: new Observable<never>(() => start()) };
}

/** Creates a child from a function that returns the subscription to stop it by. */
export function childOfSubscription(name: string, start: () => Subscription): Child {
  return childOf(name, () => {
    const running = start();
    return () => running.unsubscribe();
  });
}

export class Supervisor implements Child {
  readonly name: string;

  readonly run: Observable<never>;

  readonly #context: SupervisorContext;

  private constructor(name: string, children: readonly Child[], context: SupervisorContext) {
    this.name = name;
    this.#context = context;
    this.run = merge(...children.map((child) => this.#supervise(child)));
  }

  static of(name: string, children: readonly Child[], context: SupervisorContext): Supervisor {
    return new Supervisor(name, children, context);
  }

  #supervise(child: Child): Observable<never> {
    const { scheduler, random, log } = this.#context;
    let failures = 0;
    let startedAt = 0;
    const backoff = (error: unknown) => {
      if (scheduler.now() - startedAt >= STABLE_AFTER_MS) failures = 0;
      const baseMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failures);
      failures += 1;
      const backoffMs = Math.round(random.jitter(baseMs, BACKOFF_SPREAD));
      log.event('error', 'child_failed', {
        supervisor: this.name, child: child.name, reason: String(error), backoff_ms: backoffMs,
      });
      return timer(backoffMs, scheduler);
    };
    return defer(() => {
      startedAt = scheduler.now();
      return child.run;
    }).pipe(
      tap({
        complete: () => {
          throw new Error('ended');
        },
      }),
      retry({ delay: backoff }),
    );
  }
}
