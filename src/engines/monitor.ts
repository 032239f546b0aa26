/**
 * Keeps the directory: opens a client for each configured engine, asks each for its load, and runs
 * one failure detector for each.
 */
import type { Observable, SchedulerLike, Subscription } from 'rxjs';
import { Subscription as Teardown, timer } from 'rxjs';
import type { Log } from '../common/log.js';
import { silentLog } from '../common/log.js';
import type { BackendServer, Configuration, Favour } from '../configuration/configuration.js';
import type { Directory, EngineView } from './directory.js';
import type { EngineClient, LoadReport } from './engine.js';
import { EngineWatch } from './watch.js';
import type { Watcher } from './watch.js';
import type { StreamListener, WatchedStream } from './watched.js';

const REPORT_PERIOD_MS = 200;
const REPORT_DEADLINE_MS = 500;
const CHECK_PERIOD_MS = 10;

/** Opens a client for an engine. */
export type EngineDialer = (server: BackendServer) => EngineClient;

interface MonitoredEngine {
  server: BackendServer;
  readonly client: EngineClient;
  readonly watch: EngineWatch;
  report: LoadReport | undefined;
  reportedAt: number;
  asking: boolean;
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

  /** Engines that the configuration no longer names, while their streams finish. */
  readonly #removed = new Set<EngineWatch>();

  #favour: Favour = 'latency';

  #awakeMs = 0;

  #checkedAt = 0;

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
    teardown.add(timer(0, REPORT_PERIOD_MS, this.#scheduler).subscribe(() => this.#poll()));
    this.#checkedAt = this.#scheduler.now();
    teardown.add(timer(CHECK_PERIOD_MS, CHECK_PERIOD_MS, this.#scheduler)
      .subscribe(() => this.#check()));
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
    return this.#engines.get(server)?.watch.add(prefillTokens, listener);
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
      asking: false,
      watch: EngineWatch.of({
        name: server.name,
        client,
        scheduler: this.#scheduler,
        log: this.#log,
        favour: () => this.#favour,
        awake: () => this.#awakeMs,
        report: (report) => this.#take(engine, report),
      }),
    };
    return engine;
  }

  /** Advances the clock that stands still while this process is paused, then looks for silence. */
  #check(): void {
    const now = this.#scheduler.now();
    this.#awakeMs += Math.min(now - this.#checkedAt, 2 * CHECK_PERIOD_MS);
    this.#checkedAt = now;
    this.#engines.forEach(({ watch }) => watch.check());
    this.#removed.forEach((watch) => {
      if (watch.streams === 0) this.#removed.delete(watch);
      else watch.check();
    });
  }

  #poll(): void {
    this.#engines.forEach((engine) => {
      if (engine.asking) return;
      const askedAt = this.#scheduler.now();
      const awakeAt = this.#awakeMs;
      Object.assign(engine, { asking: true });
      engine.client.load(REPORT_DEADLINE_MS).then(
        (report) => {
          engine.watch.reported(report, askedAt, 'report');
          this.#take(engine, report);
        },
        (error: unknown) => engine.watch.unreported(error, 'report', {
          awakeAt, askedAt, deadlineMs: REPORT_DEADLINE_MS,
        }),
      ).finally(() => Object.assign(engine, { asking: false }))
        .catch((error: unknown) => {
          this.#log.event('error', 'report_failed', {
            server: engine.server.name, reason: String(error),
          });
        });
    });
  }

  #take(engine: MonitoredEngine, report: LoadReport): void {
    Object.assign(engine, { report, reportedAt: this.#scheduler.now() });
  }
}
