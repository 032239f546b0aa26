/**
 * Time for the whole program. Every module takes an rxjs scheduler, so that tests can hand in
 * virtual time; this is the one the daemon uses. Its clock is monotonic and counts in
 * milliseconds.
 */
import { asyncScheduler, Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';

export const MILLISECONDS_PER_SECOND = 1_000;

/** Schedules on the event loop and tells the time of the process's monotonic clock. */
export const monotonicScheduler: SchedulerLike = {
  now: () => performance.now(),
  schedule: (asyncScheduler as SchedulerLike).schedule.bind(asyncScheduler),
};

/**
 * Calls `act` after a time, but not before what has come meanwhile is read: when the loop itself
 * was held up, timers fire before the events that they wait for.
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
