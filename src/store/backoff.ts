/** Exponential backoff between attempts of a store call. */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';

const BASE_DELAY_MS = 100;
const MAX_DELAY_MS = 5_000;

/**
 * The pause after `tries` failed attempts, with jitter over nearly the whole range, so that
 * instances which failed together don't retry together.
 */
export function backoffMs(tries: number, random: Random, maxMs = MAX_DELAY_MS): number {
  const bound = Math.min(maxMs, BASE_DELAY_MS * 2 ** Math.min(tries, 16));
  return Math.ceil(bound * (0.1 + 0.9 * random.fraction()));
}

/** Resolves after `delayMs`. */
export function pause(delayMs: number, scheduler: SchedulerLike): Promise<void> {
  return new Promise((resolve) => {
    timer(delayMs, scheduler).subscribe(() => resolve());
  });
}
