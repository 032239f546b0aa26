/** Cancels attempts on engines that may not answer at first, such as a paused one. */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { CancelOutcome, EngineClient } from './engine.js';

const FIRST_RETRY_MS = 500;
const RETRIES = 7;

/** `not_found` is final only for an opened attempt; another may still reach the engine. */
function isSettled({ kind }: CancelOutcome, opened: boolean): boolean {
  return kind === 'cancelled' || (kind === 'not_found' && opened);
}

/**
 * Cancels the attempt, with exponential backoff for about a minute until the engine confirms.
 * Resolves with the first call's outcome; retries continue in the background.
 *
 * @param opened whether the engine has opened the attempt's stream
 */
export async function cancelAttempt(
  client: EngineClient,
  generation: string,
  attempt: number,
  opened: boolean,
  scheduler: SchedulerLike,
): Promise<CancelOutcome> {
  const call = () => client.cancel(generation, attempt)
    .catch((): CancelOutcome => ({ kind: 'unknown' }));
  const scheduleRetry = (retry: number) => {
    if (retry >= RETRIES) return;
    timer(FIRST_RETRY_MS * 2 ** retry, scheduler).subscribe(() => {
      call().then((outcome) => {
        if (!isSettled(outcome, opened)) scheduleRetry(retry + 1);
      }, () => undefined);
    });
  };
  const first = await call();
  if (!isSettled(first, opened)) scheduleRetry(0);
  return first;
}
