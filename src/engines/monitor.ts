/**
 * Keeps the directory: opens a client for each configured engine, asks each for its load, and marks
 * those that don't answer.
 */
import type { Observable, SchedulerLike, Subscription } from 'rxjs';
import { Subscription as Teardown, timer } from 'rxjs';
import type { BackendServer, Configuration } from '../configuration/configuration.js';
import type { Directory, EngineView } from './directory.js';
import type { EngineClient } from './engine.js';

const REPORT_PERIOD_MS = 200;
const REPORT_DEADLINE_MS = 500;

/** Opens a client for an engine. */
export type EngineDialer = (server: BackendServer) => EngineClient;

export class EngineMonitor implements Directory {
  readonly #dial: EngineDialer;

  readonly #scheduler: SchedulerLike;

  readonly #views = new Map<string, EngineView>();

  private constructor(dial: EngineDialer, scheduler: SchedulerLike) {
    this.#dial = dial;
    this.#scheduler = scheduler;
  }

  static of(dial: EngineDialer, scheduler: SchedulerLike): EngineMonitor {
    return new EngineMonitor(dial, scheduler);
  }

  /** Follows the configuration until the subscription ends. */
  start(configurations: Observable<Configuration>): Subscription {
    const teardown = new Teardown();
    teardown.add(configurations.subscribe((configuration) => this.#configure(configuration)));
    teardown.add(timer(0, REPORT_PERIOD_MS, this.#scheduler).subscribe(() => this.#poll()));
    return teardown;
  }

  engines(): readonly EngineView[] {
    return [...this.#views.values()];
  }

  engine(name: string): EngineView | undefined {
    return this.#views.get(name);
  }

  #configure({ servers }: Configuration): void {
    [...this.#views.keys()].filter((name) => servers[name]?.kind !== 'engine')
      .forEach((name) => this.#views.delete(name));
    Object.values(servers).filter(({ kind }) => kind === 'engine').forEach((server) => {
      const known = this.#views.get(server.name);
      if (known?.server.address === server.address) {
        this.#views.set(server.name, { ...known, server });
        return;
      }
      this.#views.set(server.name, {
        server, client: this.#dial(server), health: 'up', report: undefined, reportedAt: 0,
      });
    });
  }

  #poll(): void {
    this.#views.forEach(({ client, server }) => {
      client.load(REPORT_DEADLINE_MS).then(
        (report) => this.#update(server.name, { report, health: 'up' }),
        () => this.#update(server.name, { health: 'down' }),
      );
    });
  }

  #update(name: string, change: Partial<EngineView>): void {
    const view = this.#views.get(name);
    if (!view) return;
    const reportedAt = change.report ? this.#scheduler.now() : view.reportedAt;
    this.#views.set(name, { ...view, ...change, reportedAt });
  }
}
