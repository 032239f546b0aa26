/** The control plane's metrics, read from the instance's state on each scrape. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { Health } from '../engines/directory.js';
import type { MemberState } from '../membership/instances.js';
import type { StoreCall } from '../store/meteredreader.js';
import { StoreMetrics } from '../store/metrics.js';

const MEMBER_STATES: readonly MemberState[] = ['alive', 'suspect', 'leaving', 'dead'];
const HEALTHS: readonly Health[] = ['up', 'suspect', 'down'];

/** The state of an instance that the metrics report, at the time of a scrape. */
export interface ControlView {
  readonly ready: boolean;
  readonly isolated: boolean;
  readonly revision: number;
  readonly rejectedRevision: number;
  readonly storeSilentMs: number;
  readonly members: readonly MemberState[];
  readonly engines: readonly Health[];
  readonly leaseHeld: boolean;
  readonly fence: number;
  readonly openAnswers: number;
  /** The longest recent timer delay. */
  readonly loopLagMs: number;
}

/** The name, help text and value of each gauge without labels. */
const GAUGES: readonly (readonly [string, string, (view: ControlView) => number])[] = [
  ['ready', 'Whether the balancer may send requests here', ({ ready }) => Number(ready)],
  ['isolated', 'Whether neither the object API nor any peer answers', ({ isolated }) => (
    Number(isolated))],
  ['configuration_revision', 'Revision in force, 0 for none', ({ revision }) => revision],
  [
    'configuration_rejected_revision',
    'Higher revision that could not be put in force, 0 for none',
    ({ rejectedRevision }) => rejectedRevision,
  ],
  [
    'store_silent_seconds',
    'Time since the object API was last heard from',
    ({ storeSilentMs }) => storeSilentMs / MILLISECONDS_PER_SECOND,
  ],
  ['lease_held', 'Whether this instance holds the placement lease', ({ leaseHeld }) => (
    Number(leaseHeld))],
  ['lease_fence', 'Fencing number of the lease as last seen', ({ fence }) => fence],
  ['open_answers', 'Answers that a stop would wait for', ({ openAnswers }) => openAnswers],
  [
    'event_loop_lag_seconds',
    'Longest delay of a timer in the last minute or two',
    ({ loopLagMs }) => loopLagMs / MILLISECONDS_PER_SECOND,
  ],
];

/** A gauge that counts, for each known label value, its occurrences in the result of `read`. */
function countGauge<Label extends string>(
  { name, help, label }: { name: string; help: string; label: string },
  known: readonly Label[],
  read: () => readonly Label[],
  registry: Registry,
): Gauge {
  return new Gauge({
    name,
    help,
    labelNames: [label],
    registers: [registry],
    collect() {
      const found = read();
      known.forEach((value) => {
        this.set({ [label]: value }, found.filter((item) => item === value).length);
      });
    },
  });
}

export class ControlMetrics {
  readonly #store: StoreMetrics;

  private constructor(registry: Registry, view: () => ControlView) {
    const registers = [registry];
    GAUGES.forEach(([name, help, read]) => new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read(view()));
      },
    }));
    const members = { name: 'members', help: 'Instances by state', label: 'state' };
    countGauge(members, MEMBER_STATES, () => view().members, registry);
    const engines = { name: 'engines', help: 'Engines by health', label: 'health' };
    countGauge(engines, HEALTHS, () => view().engines, registry);
    this.#store = StoreMetrics.of(registry);
  }

  /** Registers the control plane's metrics with `registry`. */
  static of(registry: Registry, view: () => ControlView): ControlMetrics {
    return new ControlMetrics(registry, view);
  }

  storeCall(call: StoreCall): void {
    this.#store.call(call);
  }
}
