/**
 * The daemon's rxjs scheduler, with a monotonic clock in milliseconds. Modules take a scheduler as
 * an argument, so that tests can pass one with virtual time.
 */
import { asyncScheduler, Subscription, timer } from 'rxjs';
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
