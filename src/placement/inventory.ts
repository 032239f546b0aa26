/**
 * The models that the engines hold, according to their reports and to orders still in progress, and
 * how each order of a plan changes that. Every plan builds an inventory of its own.
 */
import type { BackendServer, Configuration } from '../configuration/configuration.js';
import type { LoadReport, Order } from '../engines/engine.js';

/** A reachable engine at the time of planning. */
export interface EngineState {
  readonly server: BackendServer;
  readonly report: LoadReport;
  /** Loads that were ordered and that the report doesn't show yet, as `model@version`. */
  readonly pendingLoads: readonly string[];
  /** Whether an order may be in progress whose effect isn't known yet; no other is sent. */
  readonly orderPending: boolean;
}

/** Why a plan contains an order; these values are logged. */
export type OrderReason = 'replica_missing' | 'version_rollout' | 'starved' | 'version_replaced'
  | 'model_removed' | 'make_room' | 'adapter_missing' | 'adapter_removed' | 'back_in_service';

export interface Decision {
  readonly server: string;
  readonly order: Order;
  readonly reason: OrderReason;
}

export function versionedName(model: string, version: string): string {
  return `${model}@${version}`;
}

function modelName(copy: string): string {
  return copy.slice(0, copy.lastIndexOf('@'));
}

function isUsable({ server, report }: EngineState): boolean {
  return !server.drained && report.role !== 'leaving';
}

function increment(counts: Map<string, number>, model: string, change: number): void {
  counts.set(model, (counts.get(model) ?? 0) + change);
}

/** Whether the engine holds the model version, is loading it, or was ordered to load it. */
export function holdsOrLoads(engine: EngineState, model: string, version: string): boolean {
  const copy = versionedName(model, version);
  return engine.pendingLoads.includes(copy) || engine.report.loading.includes(copy)
    || engine.report.models.some((held) => held.model === model && held.version === version);
}

export class Inventory {
  /** Engines that are neither drained nor leaving, including those out of service for now. */
  readonly usable: readonly EngineState[];

  readonly #configuration: Configuration;

  readonly #serving = new Map<string, number>();

  readonly #current = new Map<string, number>();

  readonly #pending = new Map<string, number>();

  readonly #freeMemory = new Map<EngineState, number>();

  readonly #withOrder = new Set<string>();

  readonly #decisions: Decision[] = [];

  private constructor(configuration: Configuration, engines: readonly EngineState[]) {
    this.#configuration = configuration;
    this.usable = engines.filter(isUsable);
    this.usable.forEach((engine) => this.#count(engine, 1));
  }

  static of(configuration: Configuration, engines: readonly EngineState[]): Inventory {
    return new Inventory(configuration, engines);
  }

  get decisions(): readonly Decision[] {
    return this.#decisions;
  }

  /** Engines in service that hold the model in any version. */
  serving(model: string): number {
    return this.#serving.get(model) ?? 0;
  }

  /** Engines in service that hold the model's configured version. */
  current(model: string): number {
    return this.#current.get(model) ?? 0;
  }

  /** Engines that are loading the model's configured version, or hold it while out of service. */
  pending(model: string): number {
    return this.#pending.get(model) ?? 0;
  }

  canTakeOrder(engine: EngineState): boolean {
    return !engine.orderPending && !this.#withOrder.has(engine.server.name);
  }

  addOrder(engine: EngineState, order: Order, reason: OrderReason): void {
    this.#withOrder.add(engine.server.name);
    this.#decisions.push({ server: engine.server.name, order, reason });
    switch (order.kind) {
      case 'load':
        increment(this.#pending, order.model, 1);
        break;
      case 'role':
        this.#count(engine, -1);
        this.#count({ ...engine, report: { ...engine.report, role: order.role } }, 1);
        break;
      case 'unload': {
        this.#count(engine, -1);
        const models = engine.report.models
          .filter((held) => held.model !== order.model || held.version !== order.version);
        this.#count({ ...engine, report: { ...engine.report, models } }, 1);
        break;
      }
      case 'load_adapter':
      case 'unload_adapter':
        break;
    }
  }

  /** The engine's unused memory; a model missing from the configuration counts as using all. */
  freeMemory(engine: EngineState): number {
    const known = this.#freeMemory.get(engine);
    if (known !== undefined) return known;
    const { server, report, pendingLoads } = engine;
    const copies = new Set([
      ...report.models.map((held) => versionedName(held.model, held.version)),
      ...report.loading,
      ...pendingLoads,
    ]);
    const used = [...copies].map((copy) => (
      this.#configuration.models[modelName(copy)]?.memory ?? server.memory));
    const free = server.memory - used.reduce((sum, memory) => sum + memory, 0);
    this.#freeMemory.set(engine, free);
    return free;
  }

  #count({ report, pendingLoads }: EngineState, change: number): void {
    const serves = report.role === 'serve';
    if (serves) {
      new Set(report.models.map((held) => held.model))
        .forEach((model) => increment(this.#serving, model, change));
    }
    report.models.filter((held) => this.#isCurrent(versionedName(held.model, held.version)))
      .forEach((held) => increment(serves ? this.#current : this.#pending, held.model, change));
    [...new Set([...report.loading, ...pendingLoads])].filter((copy) => this.#isCurrent(copy))
      .forEach((copy) => increment(this.#pending, modelName(copy), change));
  }

  #isCurrent(copy: string): boolean {
    const model = this.#configuration.models[modelName(copy)];
    return model !== undefined && versionedName(model.name, model.version) === copy;
  }
}
