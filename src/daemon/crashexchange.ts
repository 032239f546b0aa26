/** Shares with the other instances which requests were lost with servers that crashed. */
import type { Subscription } from 'rxjs';
import { z } from 'zod';
import { CrashingRequests } from '../limits/crashingrequests.js';
import type { CrashingRequestsContext } from '../limits/crashingrequests.js';
import type { SoftState } from '../membership/softstate.js';

const CRASHES_KEY = 'crashes';
/** Limit on what is taken from one instance. */
const MAX_CRASHES = 16;

const REPORTS = z.array(z.object({
  id: z.string(), requests: z.array(z.string()),
})).max(MAX_CRASHES);

/** The crashing requests that this instance knows, which tells the others of its crashes. */
export function sharedCrashes(
  softState: SoftState,
  context: Omit<CrashingRequestsContext, 'publish'>,
): CrashingRequests {
  return CrashingRequests.of({
    ...context, publish: (crashes) => softState.publish(CRASHES_KEY, crashes),
  });
}

/** Adds what the other instances tell, until the subscription ends. */
export function followCrashes(
  softState: SoftState,
  crashes: CrashingRequests,
  self: string,
): Subscription {
  return softState.changes(CRASHES_KEY).subscribe((entries) => {
    entries.filter(({ origin }) => origin !== self).forEach(({ value, learnedAt }) => {
      const parsed = REPORTS.safeParse(value);
      if (parsed.success) crashes.adopt(parsed.data, learnedAt);
    });
  });
}
