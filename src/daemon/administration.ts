/** Implements the administration API on top of an instance. */
import type {
  Administration, EngineStatus, InstanceEntry, InstanceStatus,
} from '../admin/administration.js';
import type { EngineView } from '../engines/directory.js';
import { versionedName } from '../placement/inventory.js';
import { DRAINED_KEY } from './instance.js';
import type { Instance } from './instance.js';

function instanceStatus(instance: Instance): InstanceStatus {
  const { settings, drain, feed } = instance;
  const { revision, rejected, storeSilentMs } = feed.status;
  return {
    name: settings.name,
    zone: settings.zone,
    ready: instance.ready,
    draining: drain.state !== 'serving',
    revision,
    rejectedRevision: rejected?.revision,
    openAnswers: drain.open,
    storeSilentMs: Math.round(storeSilentMs),
  };
}

/** Peers report in the soft state that they are drained; this instance reads its own flag. */
function instanceEntries({ heartbeats, settings, drained }: Instance): readonly InstanceEntry[] {
  const drainedPeers = new Set(heartbeats.softState.entries(DRAINED_KEY)
    .map(({ origin }) => origin));
  return heartbeats.current().map((member) => ({
    ...member, drained: member.name === settings.name ? drained : drainedPeers.has(member.name),
  }));
}

function engineStatus({ server, health, report }: EngineView, inFlight: number): EngineStatus {
  return {
    name: server.name,
    zone: server.zone,
    pool: server.pool,
    health,
    role: report?.role ?? 'unknown',
    drained: server.drained,
    inFlight,
    running: report?.running ?? 0,
    waiting: report?.waiting ?? 0,
    slots: report?.slots ?? 0,
    models: report?.models.map(({ model, version }) => versionedName(model, version)) ?? [],
    loading: report?.loading ?? [],
  };
}

/** The administration API of `instance`. */
export function administrationOf(instance: Instance): Administration {
  const {
    lease, router, workspaces, monitor,
  } = instance;
  return {
    status: () => instanceStatus(instance),
    members: () => instanceEntries(instance),
    engines: () => {
      const loads = new Map(router.snapshot().servers
        .map(({ server, inFlight }) => [server, inFlight]));
      return monitor.engines().map((view) => (
        engineStatus(view, loads.get(view.server.name) ?? 0)));
    },
    lease: () => {
      const { holder, fence } = lease.view();
      return { holder, fence, heldHere: lease.grant() !== undefined };
    },
    queues: () => router.snapshot().queues,
    workspaces: () => workspaces.snapshot()
      .map(({
        workspace, running, concurrency, parts,
      }) => ({
        name: workspace,
        running,
        concurrencyShare: concurrency,
        requestsPerSecondShare: parts.rate
          * (instance.configuration.workspaces[workspace]?.requestsPerSecond ?? 0),
      })),
    why: (request) => instance.history.why(request),
    drain: () => instance.setDrained(true),
    undrain: () => instance.setDrained(false),
  };
}
