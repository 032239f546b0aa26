/** Dependencies and helpers that all relayed calls share. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import type { RetryWindows } from '../limits/retrywindow.js';
import type { Collections } from '../memory/collections.js';
import type { Overload } from '../overload/overload.js';
import type { WaitingLines } from '../placementrank/waitinglines.js';
import type { ZoneStays } from '../placementrank/zonestay.js';
import type { CachedPrompts } from './cachedprompts.js';
import type { BufferedResponse, Call, ResponseHead } from './call.js';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import type { Fleet } from './fleet.js';
import type { PeerLoads } from './fleetcontext.js';
import type { Forwarding } from './forwarding.js';
import type { Meter } from './meter.js';
import type { Quarantines } from './quarantine.js';
import type { Reach } from './reach.js';
import type { RetrySchedules } from './retryafter.js';
import type { RelayRollouts } from './rollouts.js';
import type { SavedOrigins } from './savedorigins.js';
import type { ServerNotices } from './servernotices.js';
import type { ServerPaces } from './serverpaces.js';
import type { SilenceWatch } from './silencewatch.js';
import type { Stopping } from './stopping.js';
import type { StreamOrigins } from './streamorigins.js';
import type { Throttles } from './throttles.js';
import type { WorkspaceUses } from './workspaceuses.js';

export interface RelayContext {
  readonly zone: string;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly meter: Meter;
  readonly dialect: Dialect;
  readonly fleet: Fleet;
  readonly notices: ServerNotices;
  readonly throttles: Throttles;
  /** Version and age of this instance's copy of the servers' entries. */
  readonly serverCopy: () => { readonly version: number; readonly ageMs: number };
  readonly connections: Connections;
  readonly retries: RetryWindows;
  readonly retrySchedules: RetrySchedules;
  readonly silence: SilenceWatch;
  readonly quarantines: Quarantines;
  readonly cachedPrompts: CachedPrompts;
  readonly origins: StreamOrigins;
  readonly savedOrigins: Pick<SavedOrigins, 'read' | 'soleVersion'>;
  readonly uses: WorkspaceUses;
  readonly paces: ServerPaces;
  readonly zoneStays: ZoneStays;
  readonly waitingLines: WaitingLines;
  readonly rollouts: RelayRollouts;
  readonly peerLoads: PeerLoads;
  readonly reach: Reach;
  readonly forwarding: Forwarding;
  readonly stopping: Stopping;
  readonly overload: Overload;
  readonly collections: Collections;
}

/** Writes the response to the caller. */
export interface Caller {
  /** Called before the request is sent to a server, or to an instance that forwards it. */
  sending(server: string): void;
  respond(response: BufferedResponse): void;
  refuse(refusal: Refusal): void;
  /** Begins a streamed response. */
  begin(head: ResponseHead): void;
  write(bytes: Buffer): void;
  end(): void;
  /** Aborts the response, so that it can't be taken for a complete one. */
  abort(): void;
  /** Ends the response after an error of the relay's own, which is logged, and ends the call. */
  fail(error: unknown): void;
}

/** A listener whose errors end a call, where otherwise its caller would wait. */
export function guarded<Values extends readonly unknown[]>(
  caller: Pick<Caller, 'fail'>,
  listener: (...values: Values) => void,
): (...values: Values) => void {
  return (...values) => {
    try {
      listener(...values);
    } catch (error) {
      caller.fail(error);
    }
  };
}

/** Counts one more attempt of a call against the retry budget. */
export function countRetry({ service }: Call, { retries, meter, scheduler }: RelayContext): void {
  retries.retry(service.name, scheduler.now());
  meter.record({ kind: 'retry' });
}

/** Time left until the call's deadline; negative once it is past. */
export function remainingMs(call: Call, context: RelayContext): number {
  return call.deadlineAt - context.scheduler.now();
}

/**
 * Whether a stream's deadline has passed or, while no server has it, can't be met by an overloaded
 * instance.
 *
 * @param attempts servers that it was sent to
 */
export function isPastDeadline(call: Call, context: RelayContext, attempts: number): boolean {
  return remainingMs(call, context) <= 0
    || (attempts === 0 && context.overload.isTooLate(call.deadlineAt));
}
