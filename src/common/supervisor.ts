/**
 * The supervisor tree. A child is an observable that runs while it is subscribed to and emits
 * nothing. When one ends or errors, it alone is started again after a growing, jittered pause; its
 * siblings go on. A supervisor is itself a child, so trees are built from supervisors.
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
/** A child that ran this long before it failed starts again with the first pause. */
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

/** A child made of a start function that returns the function which stops it. */
export function childOf(name: string, start: () => () => void): Child {
  return { name, run: new Observable<never>(() => start()) };
}

/** A child made of a function that returns the subscription it works by. */
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
