/**
 * The daemon's rxjs scheduler, with a monotonic clock in milliseconds. Modules take a scheduler as
 * an argument, so that tests can pass one with virtual time.
 */
import {
  asyncScheduler, Observable, Subscription, timer,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';

export const MILLISECONDS_PER_SECOND = 1_000;

/** Schedules on the event loop and reads the process's monotonic clock. */
export const monotonicScheduler: SchedulerLike = {
  now: () => performance.now(),
  schedule: (asyncScheduler as SchedulerLike).schedule.bind(asyncScheduler),
};

/**
 * Calls `callback` after a delay, but only after pending input has been read. After the event loop
 * was blocked, timers fire before the I/O events that arrived in time to cancel them.
 */
export function afterPendingInput(
  ms: number,
  scheduler: SchedulerLike,
  callback: () => void,
): Subscription {
  const subscription = new Subscription();
  subscription.add(timer(ms, scheduler).subscribe(() => {
    const immediate = setImmediate(callback);
    subscription.add(() => clearImmediate(immediate));
  }));
  return subscription;
}

/** Emits after a delay, once pending input has been read. */
export function pendingInput(ms: number, scheduler: SchedulerLike): Observable<void> {
  return new Observable((subscriber) => afterPendingInput(ms, scheduler, () => subscriber.next()));
}

/**
 * Calls `callback` once the event loop has polled for I/O again, so that all input that has arrived
 * by now has been handled. The first immediate still runs before that poll.
 */
export function afterNextPoll(callback: () => void): Subscription {
  const subscription = new Subscription();
  const first = setImmediate(() => {
    const second = setImmediate(callback);
    subscription.add(() => clearImmediate(second));
  });
  subscription.add(() => clearImmediate(first));
  return subscription;
}
