/** Connects the relay's state to the messages that instances exchange. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { RetryWindows } from '../limits/retrywindow.js';
import type { Overload } from '../overload/overload.js';
import type { ActiveConfiguration } from './activeconfiguration.js';
import type { AdvertisedLimits } from './advertisedlimits.js';
import type { Fleet } from './fleet.js';
import { Peers } from './peers.js';
import type { Meter } from './meter.js';
import type { Quarantines } from './quarantine.js';
import type { Reach } from './reach.js';
import type { ServerPaces } from './serverpaces.js';
import type { RelayRollouts } from './rollouts.js';
import type { RelaySettings } from './settings.js';
import type { StoreFeed } from './storefeed.js';
import type { StreamOrigins } from './streamorigins.js';
import type { Throttles } from './throttles.js';
import type { WorkspaceUses } from './workspaceuses.js';

/** Shortest time between two requests for another daemon's snapshot; after failures, longest. */
const SNAPSHOT_INTERVAL_MS = 500;
const MAX_SNAPSHOT_INTERVAL_MS = 4_000;

export interface PeerExchangeContext {
  readonly settings: RelaySettings;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly activeConfiguration: ActiveConfiguration;
  readonly fleet: Fleet;
  readonly limits: AdvertisedLimits;
  readonly throttles: Throttles;
  readonly quarantines: Quarantines;
  readonly origins: StreamOrigins;
  readonly reach: Reach;
  readonly retries: RetryWindows;
  readonly meter: Meter;
  readonly uses: WorkspaceUses;
  readonly overload: Overload;
  readonly paces: ServerPaces;
  readonly rollouts: RelayRollouts;
  readonly storeFeed: () => StoreFeed;
}

/** Asks other daemons for what the store has not delivered yet. */
function snapshotRequest(
  {
    scheduler, log, settings, storeFeed,
  }: PeerExchangeContext,
): (ip: string) => void {
  let lastAt = -Infinity;
  let intervalMs = SNAPSHOT_INTERVAL_MS;
  return (ip) => {
    const now = scheduler.now();
    if (now - lastAt < intervalMs) return;
    lastAt = now;
    import('./peersnapshot.js')
      .then(({ fetchSnapshot }) => fetchSnapshot(`${ip}:${settings.peerPort}`))
      .then((snapshot) => {
        intervalMs = SNAPSHOT_INTERVAL_MS;
        storeFeed().adopt(snapshot, ip);
      })
      .catch((error: unknown) => {
        intervalMs = Math.min(MAX_SNAPSHOT_INTERVAL_MS, 2 * intervalMs);
        log.event('warn', 'peer_snapshot_failed', { peer: ip, reason: String(error) });
      });
  };
}

export function createPeers(context: PeerExchangeContext): Peers {
  const {
    settings, scheduler, random, log, activeConfiguration, fleet, limits, throttles, quarantines,
    origins, reach, retries, storeFeed, meter, uses, overload, paces, rollouts,
  } = context;
  const requestSnapshot = snapshotRequest(context);
  return Peers.of({
    ip: settings.ip,
    zone: settings.zone,
    port: settings.peerPort,
    seeds: settings.seeds,
    scheduler,
    random,
    log,
    listener: {
      onLeaving: (id, startedAt, from) => fleet.markLeaving(id, startedAt, from),
      onSuccession: (succession, from) => fleet.adoptSuccession(succession, from),
      onRestart: (id, startedAt, from) => fleet.markStarted(id, startedAt, from),
      onSuspect: (id, startedAt, from) => fleet.verifySuspect(id, startedAt, from),
      onCopies: (copies, from) => {
        if (storeFeed().compare(copies)) requestSnapshot(from);
      },
      onCrashes: (reports) => quarantines.adopt(reports),
      onLimits: (reports, from) => limits.adopt(reports, from),
      onPaces: (reports, from) => paces.adopt(reports, from),
      onOrigins: (reports) => origins.adopt(reports),
      onRollouts: (entries, from) => rollouts.adopt(entries, from),
      originsOf: (streams) => origins.reportsOf(streams),
      onInstanceCount: (count) => {
        retries.count(count, scheduler.now());
        throttles.countInstances(count);
        uses.ownPart.count(count, scheduler.now());
      },
      onReportedCount: (count) => throttles.adoptCount(count),
      onUnread: (part) => meter.record({ kind: 'peer_unread', part }),
    },
    localState: () => ({
      configuration: activeConfiguration.version,
      copies: storeFeed().reports,
      servers: fleet.servers,
      successors: fleet.successors.found,
      crashes: quarantines.reports,
      limits: throttles.reports,
      origins: origins.reports,
      sought: origins.sought,
      uses: uses.reports,
      ranks: uses.ranks.reports(scheduler.now()),
      paces: paces.reports,
      rollouts: rollouts.reports,
      unreached: reach.unreached,
      overload: overload.advertised,
      isSilent: (service) => reach.isSilent(service),
    }),
  });
}
