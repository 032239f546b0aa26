/** Collects the values of the control path's metrics from the parts of an instance. */
import type { ControlView } from '../admin/metrics.js';
import type { Drain } from '../entry/drain.js';
import type { EngineMonitor } from '../engines/monitor.js';
import type { Heartbeats } from '../membership/heartbeats.js';
import type { LeaseRunner } from '../placement/leaserunner.js';
import type { ConfigurationFeed } from './configurationfeed.js';
import type { LoopLag } from './looplag.js';

/** The parts of an instance that its control metrics are read from. */
export interface ControlSources {
  readonly ready: boolean;
  readonly isolated: boolean;
  readonly feed: ConfigurationFeed;
  readonly heartbeats: Heartbeats;
  readonly monitor: EngineMonitor;
  readonly lease: LeaseRunner;
  readonly drain: Drain;
  readonly loopLag: LoopLag;
}

export function controlView(sources: ControlSources): ControlView {
  const {
    feed, heartbeats, monitor, lease, drain, loopLag,
  } = sources;
  const { revision, rejected, storeSilentMs } = feed.status;
  return {
    ready: sources.ready,
    isolated: sources.isolated,
    revision,
    rejectedRevision: rejected?.revision ?? 0,
    storeSilentMs,
    members: heartbeats.current().map(({ state }) => state),
    engines: monitor.engines().map(({ health }) => health),
    leaseHeld: lease.grant() !== undefined,
    fence: lease.view().fence,
    openAnswers: drain.open,
    loopLagMs: loopLag.longestMs,
  };
}
