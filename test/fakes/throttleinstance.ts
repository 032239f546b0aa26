/** One of several instances that keep a server's rate limit together, under virtual time. */
import { AdvertisedLimits } from '../../src/relay/advertisedlimits.js';
import type { ServerEntry } from '../../src/relay/serverentry.js';
import { serverState } from '../../src/relay/serverstate.js';
import { Throttles } from '../../src/relay/throttles.js';
import type { ThrottleReport } from '../../src/relay/throttles.js';
import type { VirtualClock } from './clock.js';
import { RecordedLog } from './recordedlog.js';

const PEER_TIMEOUT_MS = 1_500;

const SERVER: ServerEntry = {
  id: 'server',
  service: 's',
  address: '1.2.3.4:5',
  zone: 'a',
  state: 'ready',
  slots: 4,
  startedAt: 1,
  software: undefined,
  weights: undefined,
};

interface Message { readonly at: number; readonly reports: readonly ThrottleReport[] }

export class ThrottleInstance {
  readonly ip: string;

  readonly limits: AdvertisedLimits;

  readonly throttles: Throttles;

  readonly #clock: VirtualClock;

  readonly messages = new Map<string, Message>();

  entry = SERVER;

  /** Whether it neither sends, receives nor handles requests. */
  isStopped = false;

  constructor(ip: string, clock: VirtualClock, hasSeeds: boolean) {
    this.ip = ip;
    this.#clock = clock;
    const shared = {
      scheduler: clock, log: new RecordedLog(), onUrgentChange: () => undefined,
    };
    this.limits = AdvertisedLimits.of({ ...shared, server: () => serverState(this.entry) });
    this.throttles = Throttles.of({
      ...shared,
      limits: this.limits,
      ip,
      hasSeeds,
      peers: () => ({
        heard: this.#recent.map(([peer]) => peer),
        idle: ({ startedAt }) => this.#recent
          .filter(([, { reports }]) => reports.some((report) => (
            report.startedAt === startedAt && !report.inUse)))
          .map(([peer]) => peer),
      }),
    });
  }

  get #recent(): readonly (readonly [string, Message])[] {
    return [...this.messages].filter(([, { at }]) => this.#clock.now() - at <= PEER_TIMEOUT_MS);
  }

  /** Live instances, this one included. */
  get count(): number {
    return this.#recent.length + 1;
  }

  /** Starts the server again under its id. */
  restartServer(): void {
    this.entry = { ...this.entry, startedAt: this.entry.startedAt + 1 };
  }

  stop(): void {
    this.isStopped = true;
  }
}
