/** The children of the relay's supervisor: its loops, and what listens on sockets. */
import { createServer } from 'node:http';
import { listenerOf } from '../common/listeners.js';
import { childOfSubscription } from '../common/supervisor.js';
import type { Child } from '../common/supervisor.js';
import type { Drain } from '../entry/drain.js';
import type { ActiveConfiguration } from './activeconfiguration.js';
import type { AdvertisedLimits } from './advertisedlimits.js';
import type { RelayContext } from './context.js';
import type { RelayDaemonContext } from './daemoncontext.js';
import { deferredListeners } from './deferredlisteners.js';
import type { Frontend } from './frontend.js';
import { gaugesOf } from './gauges.js';
import type { MemoryLimits } from './memorylimits.js';
import type { Peers } from './peers.js';
import type { SavedOrigins } from './savedorigins.js';
import type { StoreFeed } from './storefeed.js';

export interface ChildrenContext extends RelayDaemonContext, RelayContext {
  readonly storeFeed: StoreFeed;
  readonly peers: Peers;
  readonly frontend: Frontend;
  readonly savedOrigins: SavedOrigins;
  readonly drain: Drain;
  readonly activeConfiguration: ActiveConfiguration;
  readonly limits: AdvertisedLimits;
  readonly memory: MemoryLimits;
  /** Whether the load balancer may send connections. */
  readonly isReady: () => boolean;
}

export function childrenOf(context: ChildrenContext): readonly Child[] {
  const {
    settings, storeFeed, peers, frontend, silence, fleet, origins, savedOrigins, reach, quarantines,
    rollouts,
    activeConfiguration, isReady,
  } = context;
  return [
    { name: 'store', run: storeFeed.run },
    { name: 'peers', run: peers.run },
    childOfSubscription('frontend', () => frontend.start()),
    childOfSubscription('silence', () => silence.start()),
    childOfSubscription('fleet', () => fleet.start()),
    childOfSubscription('origins', () => origins.start()),
    childOfSubscription('saved_origins', () => savedOrigins.start()),
    childOfSubscription('rollouts', () => rollouts.start()),
    childOfSubscription('reach', () => reach.start()),
    childOfSubscription('quarantines', () => quarantines.start()),
    listenerOf('callers', settings.callers, () => frontend.createServer()),
    listenerOf('readiness', settings.readiness, () => createServer((_, res) => (
      res.writeHead(isReady() ? 200 : 503).end()))),
    deferredListeners({
      ...context,
      gauges: gaugesOf(context),
      snapshot: () => storeFeed.snapshot,
      where: { ...context, routes: () => activeConfiguration.routes },
      onForwarded: (req, res) => frontend.onForwarded(req, res),
    }),
  ];
}
