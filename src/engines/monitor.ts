/**
 * Maintains the directory: opens a client for each configured engine, polls its load and runs its
 * failure detector.
 */
import type {
  Observable, SchedulerLike, Subscription, Unsubscribable,
} from 'rxjs';
import { Subscription as Teardown, timer } from 'rxjs';
import type { Log } from '../common/log.js';
import { silentLog } from '../common/log.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { BackendServer, Configuration, Favour } from '../configuration/configuration.js';
import type { Directory, EngineView } from './directory.js';
import type { EngineClient, LoadReport } from './engine.js';
import { EngineWatch } from './watch.js';
import type { Watcher } from './watch.js';
import type { StreamListener, WatchedStream } from './streamwatch.js';

/** Period of load reports from an engine that this daemon reads streams from, and from others. */
const BUSY_PERIOD_MS = 250;
const IDLE_PERIOD_MS = 1_000;
/** Limit for all engines together; with many engines, each is polled less often. */
const MAX_REPORTS_PER_SECOND = 20;
const POLL_PERIOD_MS = 100;
const REPORT_DEADLINE_MS = 500;
/** Period of the check for silence, while streams are open and while none is. */
const CHECK_PERIOD_MS = 10;
const IDLE_CHECK_PERIOD_MS = 100;

/** Opens a client for an engine. */
export type EngineDialer = (server: BackendServer) => EngineClient;

interface MonitoredEngine {
  server: BackendServer;
  readonly client: EngineClient;
  readonly watch: EngineWatch;
  report: LoadReport | undefined;
  reportedAt: number;
  polling: boolean;
  /** Scheduler time of the next request for a load report. */
  nextPollAt: number;
}

function wantedPeriodMs({ watch }: MonitoredEngine): number {
  return watch.streams > 0 ? BUSY_PERIOD_MS : IDLE_PERIOD_MS;
}

function viewOf(engine: MonitoredEngine): EngineView {
  const {
    server, client, watch, report, reportedAt,
  } = engine;
  return {
    server, client, health: watch.health, report, reportedAt,
  };
}

export class EngineMonitor implements Directory, Watcher {
  readonly #dial: EngineDialer;

  readonly #scheduler: SchedulerLike;

  readonly #log: Log;

  readonly #engines = new Map<string, MonitoredEngine>();

  /** Engines removed from the configuration, until their streams have ended. */
  readonly #removed = new Set<EngineWatch>();

  #favour: Favour = 'latency';

  #awakeMs = 0;

  #checkedAt = 0;

  #checkPeriodMs = IDLE_CHECK_PERIOD_MS;

  #nextCheck: Unsubscribable = Teardown.EMPTY;

  private constructor(dial: EngineDialer, scheduler: SchedulerLike, log: Log) {
    this.#dial = dial;
    this.#scheduler = scheduler;
    this.#log = log;
  }

  static of(dial: EngineDialer, scheduler: SchedulerLike, log: Log = silentLog): EngineMonitor {
    return new EngineMonitor(dial, scheduler, log);
  }

  /** Follows the configuration until the subscription ends. */
  start(configurations: Observable<Configuration>): Subscription {
    const teardown = new Teardown();
    teardown.add(configurations.subscribe((configuration) => this.#configure(configuration)));
    teardown.add(timer(0, POLL_PERIOD_MS, this.#scheduler).subscribe(() => this.#poll()));
    this.#checkedAt = this.#scheduler.now();
    this.#scheduleCheck();
    teardown.add(() => this.#nextCheck.unsubscribe());
    return teardown;
  }

  engines(): readonly EngineView[] {
    return [...this.#engines.values()].map(viewOf);
  }

  engine(name: string): EngineView | undefined {
    const engine = this.#engines.get(name);
    return engine && viewOf(engine);
  }

  watch(
    server: string,
    prefillTokens: number,
    listener: StreamListener,
  ): WatchedStream | undefined {
    const engine = this.#engines.get(server);
    if (!engine) return undefined;
    const stream = engine.watch.add(prefillTokens, listener);
    engine.nextPollAt = Math.min(engine.nextPollAt, this.#scheduler.now() + BUSY_PERIOD_MS);
    if (this.#checkPeriodMs > CHECK_PERIOD_MS) this.#check();
    return stream;
  }

  #configure({ servers, deployment }: Configuration): void {
    this.#favour = deployment.favour;
    [...this.#engines.keys()].filter((name) => servers[name]?.kind !== 'engine')
      .forEach((name) => this.#remove(name));
    Object.values(servers).filter(({ kind }) => kind === 'engine').forEach((server) => {
      const known = this.#engines.get(server.name);
      if (known?.server.address === server.address) known.server = server;
      else {
        this.#remove(server.name);
        this.#engines.set(server.name, this.#open(server));
      }
    });
  }

  #remove(name: string): void {
    const engine = this.#engines.get(name);
    if (!engine) return;
    this.#engines.delete(name);
    this.#removed.add(engine.watch);
  }

  #open(server: BackendServer): MonitoredEngine {
    const client = this.#dial(server);
    const engine: MonitoredEngine = {
      server,
      client,
      report: undefined,
      reportedAt: 0,
      polling: false,
      nextPollAt: this.#scheduler.now(),
      watch: EngineWatch.of({
        name: server.name,
        client,
        scheduler: this.#scheduler,
        log: this.#log,
        favour: () => this.#favour,
        awake: () => this.#awakeMs,
        onReport: (report) => this.#storeReport(engine, report),
      }),
    };
    return engine;
  }

  /** Advances the awake time, which excludes pauses of this process, and checks for silence. */
  #check(): void {
    const now = this.#scheduler.now();
    this.#awakeMs += Math.min(now - this.#checkedAt, 2 * this.#checkPeriodMs);
    this.#checkedAt = now;
    this.#engines.forEach(({ watch }) => watch.check());
    this.#removed.forEach((watch) => {
      if (watch.streams === 0) this.#removed.delete(watch);
      else watch.check();
    });
    this.#scheduleCheck();
  }

  #scheduleCheck(): void {
    const watches = [...this.#removed, ...[...this.#engines.values()].map(({ watch }) => watch)];
    const busy = watches.some(({ streams }) => streams > 0);
    this.#checkPeriodMs = busy ? CHECK_PERIOD_MS : IDLE_CHECK_PERIOD_MS;
    this.#nextCheck.unsubscribe();
    this.#nextCheck = this.#scheduler.schedule(() => this.#check(), this.#checkPeriodMs);
  }

  /** Factor on all report periods that keeps to `MAX_REPORTS_PER_SECOND`. */
  #periodFactor(): number {
    const wanted = [...this.#engines.values()]
      .reduce((sum, engine) => sum + MILLISECONDS_PER_SECOND / wantedPeriodMs(engine), 0);
    return Math.max(1, wanted / MAX_REPORTS_PER_SECOND);
  }

  #poll(): void {
    const factor = this.#periodFactor();
    this.#engines.forEach((engine) => {
      const requestedAt = this.#scheduler.now();
      if (engine.polling || engine.nextPollAt > requestedAt) return;
      Object.assign(engine, { nextPollAt: requestedAt + wantedPeriodMs(engine) * factor });
      const awakeAt = this.#awakeMs;
      Object.assign(engine, { polling: true });
      engine.client.load(REPORT_DEADLINE_MS).then(
        (report) => {
          engine.watch.reportReceived(report, requestedAt, 'report');
          this.#storeReport(engine, report);
        },
        (error: unknown) => engine.watch.reportFailed(error, 'report', {
          awakeAt, requestedAt, deadlineMs: REPORT_DEADLINE_MS,
        }),
      ).finally(() => Object.assign(engine, { polling: false }))
        .catch((error: unknown) => {
          this.#log.event('error', 'report_failed', {
            server: engine.server.name, reason: String(error),
          });
        });
    });
  }

  #storeReport(engine: MonitoredEngine, report: LoadReport): void {
    Object.assign(engine, { report, reportedAt: this.#scheduler.now() });
  }
}
