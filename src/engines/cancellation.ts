/** Cancels attempts at engines that may not answer at first, such as a paused one. */
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { CancelOutcome, EngineClient } from './engine.js';

const FIRST_RETRY_MS = 500;
const RETRIES = 7;

/** An attempt that was never opened may still be on its way to an engine that doesn't know it. */
function isSettled({ kind }: CancelOutcome, opened: boolean): boolean {
  return kind === 'cancelled' || (kind === 'not_found' && opened);
}

/**
 * Asks the engine to stop the attempt until it answers, with growing pauses for about a minute.
 * Resolves with the first call's outcome; the retries go on in the background.
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
  const again = (retry: number) => {
    if (retry >= RETRIES) return;
    timer(FIRST_RETRY_MS * 2 ** retry, scheduler).subscribe(() => {
      call().then((outcome) => {
        if (!isSettled(outcome, opened)) again(retry + 1);
      }, () => undefined);
    });
  };
  const first = await call();
  if (!isSettled(first, opened)) again(0);
  return first;
}
