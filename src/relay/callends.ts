/** What ends an open call from outside: its deadline, a quarantine, and the limit of a stop. */
import { Subscription, timer } from 'rxjs';
import type { Refusal } from '../common/refusal.js';
import type { Call } from './call.js';
import { guarded, remainingMs } from './context.js';
import type { Caller, RelayContext } from './context.js';
import { quarantineRefusal } from './crashguard.js';

export interface CallEndListener {
  expired(): void;
  rejected(refusal: Refusal): void;
  /** Whether the call may be what crashes servers. */
  isSuspect(): boolean;
}

export function watchCallEnds(
  call: Call,
  caller: Caller,
  context: RelayContext,
  listener: CallEndListener,
): Subscription {
  const { scheduler, quarantines, stopping } = context;
  const ends = new Subscription();
  ends.add(timer(remainingMs(call, context), scheduler)
    .subscribe(guarded(caller, () => listener.expired())));
  ends.add(quarantines.changes.subscribe(guarded(caller, () => {
    const refusal = listener.isSuspect() ? quarantineRefusal(call, context) : undefined;
    if (refusal) listener.rejected(refusal);
  })));
  ends.add(stopping.limit.subscribe(guarded(caller, (refusal: Refusal) => (
    listener.rejected(refusal)))));
  return ends;
}
