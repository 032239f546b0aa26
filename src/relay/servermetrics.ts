/** Metrics by backend server; their number is bounded, since what they read is. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { Timings } from '../pace/timings.js';
import type { Pacing } from './pacing.js';

export interface ServerMeasurements extends Timings {
  readonly pacing: Pacing;
}

interface ServerGauge {
  readonly name: string;
  readonly help: string;
  readonly value: (measurements: ServerMeasurements) => number;
}

const GAUGES: readonly ServerGauge[] = [
  {
    name: 'server_first_events',
    help: 'First events of streams since the start',
    value: ({ firstEvents }) => firstEvents,
  },
  {
    name: 'server_first_event_seconds',
    help: 'Sum of the times to first events since the start',
    value: ({ firstEventMs }) => firstEventMs / MILLISECONDS_PER_SECOND,
  },
  {
    name: 'server_gaps',
    help: 'Gaps between events of streams since the start',
    value: ({ gaps }) => gaps,
  },
  {
    name: 'server_gap_seconds',
    help: 'Sum of the gaps between events since the start',
    value: ({ gapMs }) => gapMs / MILLISECONDS_PER_SECOND,
  },
  {
    name: 'server_longest_gap_seconds',
    help: 'Longest gap between events since the metrics were last read',
    value: ({ longestGapMs }) => longestGapMs / MILLISECONDS_PER_SECOND,
  },
  {
    name: 'server_pace_factor',
    help: 'Time against the service\'s mean; 1 within noise',
    value: ({ pacing }) => pacing.factor,
  },
  {
    name: 'server_pace_limit',
    help: 'Requests that the server takes well at the same time',
    value: ({ pacing }) => pacing.limit,
  },
];

/** Reads the servers once for a page, as reading begins a new period for the longest gap. */
export function registerServerMetrics(
  registry: Registry,
  prefix: string,
  read: () => readonly ServerMeasurements[],
): void {
  const gauges: Gauge<'server'>[] = [];
  const update = () => {
    const servers = read();
    gauges.forEach((gauge, index) => {
      gauge.reset();
      servers.forEach((each) => gauge.set({ server: each.server }, GAUGES[index]!.value(each)));
    });
  };
  GAUGES.forEach(({ name, help }, index) => gauges.push(new Gauge({
    name: `${prefix}${name}`,
    help,
    labelNames: ['server'],
    registers: [registry],
    // The registry collects the first one first.
    ...(index === 0 && { collect: update }),
  })));
}
