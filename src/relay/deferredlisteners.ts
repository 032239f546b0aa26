/** Listeners that serving requests doesn't depend on, loaded after the start. */
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { mergeMap, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { listenerOf } from '../common/listeners.js';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { Supervisor } from '../common/supervisor.js';
import type { Child } from '../common/supervisor.js';
import type { Meter } from './meter.js';
import type { RelayGauges } from './gaugevalues.js';
import type { Snapshot } from './peersnapshot.js';
import type { RelaySettings } from './settings.js';
import type { WhereContext } from './where.js';

/** Modules that serving doesn't need are loaded once the first requests are likely done. */
const DEFERRED_START_MS = 1_500;

export interface DeferredListenersContext {
  readonly settings: RelaySettings;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly gauges: RelayGauges;
  readonly snapshot: () => Snapshot;
  /** What the choice of a server reads. */
  readonly where: WhereContext;
  /** Handles requests that other instances forward. */
  readonly onForwarded: RequestListener;
}

/** The listeners for other instances' snapshots and for metrics. */
export function deferredListeners(context: DeferredListenersContext): Child {
  const {
    settings: { ip, peerPort, metricsPort }, scheduler, meter, gauges, snapshot, onForwarded,
    where,
  } = context;
  const modules = () => Promise.all([
    import('./peersnapshot.js'), import('./metrics.js'), import('./whereserver.js'),
    import('./where.js'),
  ]);
  return {
    name: 'others',
    run: timer(DEFERRED_START_MS, scheduler).pipe(
      mergeMap(modules),
      mergeMap(([{ peerServer }, { RelayMetrics }, { whereListener }, { whereTo }]) => {
        const metrics = RelayMetrics.of(gauges);
        meter.attach((measurement) => metrics.record(measurement));
        return Supervisor.of('others', [
          listenerOf('snapshots', `${ip}:${peerPort}`, () => (
            peerServer(snapshot, onForwarded))),
          listenerOf('metrics', `${ip}:${metricsPort}`, () => (
            createServer(whereListener((query) => whereTo(query, where), metrics.listener)))),
        ], context).run;
      }),
    ),
  };
}
