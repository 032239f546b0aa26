/** What the metrics of the control path show of an instance. */
import type { ControlView } from '../admin/metrics.js';
import type { Instance } from './instance.js';

export function controlView(instance: Instance): ControlView {
  const {
    feed, heartbeats, monitor, lease, drain, loopLag,
  } = instance;
  const { revision, rejected, storeSilentMs } = feed.status;
  return {
    ready: instance.ready,
    isolated: instance.isolated,
    revision,
    rejectedRevision: rejected?.revision ?? 0,
    storeSilentMs,
    members: heartbeats.current().map(({ state }) => state),
    engines: monitor.engines().map(({ health }) => health),
    leaseHeld: lease.holding() !== undefined,
    fence: lease.view().fence,
    openAnswers: drain.open,
    loopLagMs: loopLag.longestMs,
  };
}
