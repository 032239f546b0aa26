/** What the metrics read of a daemon's parts when they are fetched. */
import type { SchedulerLike } from 'rxjs';
import type { Drain } from '../entry/drain.js';
import type { RetryWindows } from '../limits/retrywindow.js';
import type { Overload } from '../overload/overload.js';
import type { ActiveConfiguration } from './activeconfiguration.js';
import type { AdvertisedLimits } from './advertisedlimits.js';
import type { Fleet } from './fleet.js';
import type { MemoryLimits } from './memorylimits.js';
import type { RelayGauges } from './gaugevalues.js';
import type { Peers } from './peers.js';
import type { Quarantines } from './quarantine.js';
import type { Reach } from './reach.js';
import type { ServerPaces } from './serverpaces.js';
import type { StoreFeed } from './storefeed.js';

export interface GaugedParts {
  readonly scheduler: SchedulerLike;
  readonly droppedLogLines: () => number;
  readonly fleet: Fleet;
  readonly activeConfiguration: ActiveConfiguration;
  readonly drain: Drain;
  readonly peers: Peers;
  readonly storeFeed: StoreFeed;
  readonly quarantines: Quarantines;
  readonly reach: Reach;
  readonly limits: AdvertisedLimits;
  readonly retries: RetryWindows;
  readonly overload: Overload;
  readonly paces: ServerPaces;
  readonly memory: MemoryLimits;
}

export function gaugesOf({
  scheduler, droppedLogLines, fleet, activeConfiguration, drain, peers, storeFeed, quarantines,
  reach, limits, retries, overload, paces, memory,
}: GaugedParts): RelayGauges {
  return {
    droppedLogLines,
    servers: () => fleet.servers,
    configurationVersion: () => activeConfiguration.version,
    openAnswers: () => drain.open,
    peers: () => peers.alive.length,
    storeSilentMs: () => storeFeed.silentMs,
    serverCopyAgeMs: () => storeFeed.serverCopy.ageMs,
    quarantines: () => quarantines.found.length,
    unreachedServices: () => reach.unreached.length,
    limitedServers: () => limits.count,
    overload: () => overload.advertised,
    memory: () => ({
      held: memory.budget.held,
      evictions: memory.budget.evictions,
      refusedConnections: memory.refusedConnections,
    }),
    retriesLeft: () => retries.minLeft(scheduler.now()),
    serverMeasurements: () => paces.measurements(),
  };
}
