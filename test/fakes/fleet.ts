/**
 * Simulates engines that execute placement orders in steps: a load takes a few steps, and so do the
 * last streams on a copy that gets no new ones. Counts loads and unloads, and records violations.
 */
import type {
  BackendServer, Configuration, Model,
} from '../../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../../src/configuration/defaults.js';
import type { EngineRole, LoadedModel, Order } from '../../src/engines/engine.js';
import { versionedName } from '../../src/placement/inventory.js';
import type { Decision, EngineState } from '../../src/placement/inventory.js';
import type { Plan } from '../../src/placement/plan.js';
import type { PlanInput } from '../../src/placement/plancontext.js';
import type { DeploymentDemand } from '../../src/placement/targets.js';

const LOAD_STEPS = 4;
const STREAM_STEPS = 3;
export const SLOTS = 10;

interface Engine {
  readonly server: BackendServer;
  readonly role: EngineRole;
  readonly up: boolean;
  readonly models: LoadedModel[];
  /** Steps left until each copy is loaded. */
  loading: Map<string, number>;
  /** Steps left until the streams end on each copy that gets no new ones. */
  ending: Map<string, number>;
}

export function modelOf(name: string, change: Partial<Model> = {}): Model {
  return {
    name,
    version: '1',
    adapters: [],
    replicas: 2,
    memory: 1,
    maxTokens: 100,
    priority: 'standard',
    repeat: 'safe',
    ...change,
  };
}

export function serverOf(name: string, change: Partial<BackendServer> = {}): BackendServer {
  return {
    name,
    kind: 'engine',
    address: name,
    zone: 'z',
    pool: 'p',
    checksFence: true,
    memory: 1,
    drained: false,
    ...change,
  };
}

export function configurationOf(
  models: readonly Model[],
  servers: readonly BackendServer[],
  change: Partial<Configuration> = {},
): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    models: Object.fromEntries(models.map((model) => [model.name, model])),
    servers: Object.fromEntries(servers.map((server) => [server.name, server])),
    ...change,
  };
}

export class Fleet {
  configuration: Configuration;

  demand = new Map<string, DeploymentDemand>();

  loads = 0;

  unloads = 0;

  /** Orders that a plan must never contain. */
  readonly violations: string[] = [];

  readonly engines = new Map<string, Engine>();

  /** The fewest engines in service per model since `resetMinServing`. */
  minServing = new Map<string, number>();

  private constructor(configuration: Configuration) {
    this.configuration = configuration;
    Object.values(configuration.servers).forEach((server) => this.engines.set(server.name, {
      server, role: 'serve', up: true, models: [], loading: new Map(), ending: new Map(),
    }));
  }

  static of(configuration: Configuration): Fleet {
    return new Fleet(configuration);
  }

  /** Places a model's configured version on the engines without a load. */
  preload(model: string, names: readonly string[]): void {
    const { version } = this.configuration.models[model]!;
    names.forEach((name) => this.engines.get(name)!.models.push({ model, version, adapters: [] }));
  }

  update(model: string, change: Partial<Model>): void {
    const { models } = this.configuration;
    this.configuration = {
      ...this.configuration,
      models: { ...models, [model]: { ...models[model]!, ...change } },
    };
  }

  resetMinServing(): void {
    this.minServing = new Map();
    this.#recordServing();
  }

  serving(model: string): number {
    return this.#up().filter((engine) => engine.role === 'serve'
      && engine.models.some((held) => held.model === model)).length;
  }

  current(model: string): number {
    const version = this.configuration.models[model]?.version;
    return this.#up().filter((engine) => engine.role === 'serve'
      && engine.models.some((held) => held.model === model && held.version === version)).length;
  }

  states(): readonly EngineState[] {
    return this.#up().map((engine) => ({
      server: engine.server,
      pendingLoads: [],
      orderPending: false,
      report: {
        incarnation: '1',
        running: engine.models.filter((held) => this.#streams(engine, held) > 0).length,
        waiting: 0,
        slots: SLOTS,
        stepMs: 2,
        cachedTokens: 0,
        cacheCapacityTokens: 1,
        role: engine.role,
        models: [...engine.models],
        loading: [...engine.loading.keys()],
        fence: 0,
      },
    }));
  }

  /** Makes a plan with `make`, executes its orders and advances the engines by one step. */
  step(make: (input: PlanInput) => Plan, loads = 2): Plan {
    const loading = this.#up().reduce((sum, engine) => sum + engine.loading.size, 0);
    const plan = make({
      configuration: this.configuration,
      engines: this.states(),
      demand: this.demand,
      streams: (server, model, version) => {
        const engine = this.engines.get(server)!;
        const held = engine.models
          .find((copy) => copy.model === model && copy.version === version);
        return held ? this.#streams(engine, held) : 0;
      },
      loads: Math.max(0, loads - loading),
    });
    this.execute(plan);
    this.#advance();
    return plan;
  }

  execute(plan: Plan): void {
    plan.decisions.forEach((decision) => this.#execute(decision));
  }

  #up(): readonly Engine[] {
    return [...this.engines.values()].filter((engine) => engine.up);
  }

  /** A copy receives streams while its engine serves and holds no newer version of the model. */
  #receivesStreams(engine: Engine, held: LoadedModel): boolean {
    const model = this.configuration.models[held.model];
    if (!model || engine.role !== 'serve') return false;
    const newer = engine.models
      .some((copy) => copy.model === held.model && copy.version === model.version);
    return (held.version === model.version || !newer) && this.demand.has(held.model);
  }

  #streams(engine: Engine, held: LoadedModel): number {
    if (this.#receivesStreams(engine, held)) return 1;
    return engine.ending.get(versionedName(held.model, held.version)) ?? 0;
  }

  #execute({ server, order, reason }: Decision): void {
    const engine = this.engines.get(server)!;
    if (order.kind === 'role') {
      this.#streamingCopies(engine).forEach((copy) => engine.ending.set(copy, STREAM_STEPS));
      Object.assign(engine, { role: order.role });
    } else if (order.kind === 'load') this.#load(engine, order, reason);
    else if (order.kind === 'unload') this.#unload(engine, order);
    else {
      const models = engine.models.map((held) => ({
        ...held,
        adapters: order.kind === 'load_adapter'
          ? [...held.adapters, order.adapter]
          : held.adapters.filter((adapter) => adapter !== order.adapter),
      }));
      Object.assign(engine, { models });
    }
  }

  #streamingCopies(engine: Engine): readonly string[] {
    return engine.models.filter((held) => this.#receivesStreams(engine, held))
      .map((held) => versionedName(held.model, held.version));
  }

  #load(engine: Engine, order: Extract<Order, { kind: 'load' }>, reason: string): void {
    this.loads += 1;
    const names = [
      ...engine.models.map((held) => held.model),
      ...[...engine.loading.keys()].map((copy) => copy.split('@')[0]!),
      order.model,
    ];
    const taken = names.reduce((sum, name) => (
      sum + (this.configuration.models[name]?.memory ?? engine.server.memory)), 0);
    if (taken > engine.server.memory) this.violations.push(`no memory: ${order.model} (${reason})`);
    engine.loading.set(versionedName(order.model, order.version), LOAD_STEPS);
  }

  #unload(engine: Engine, order: Extract<Order, { kind: 'unload' }>): void {
    this.unloads += 1;
    const held = engine.models
      .find((copy) => copy.model === order.model && copy.version === order.version);
    if (!held) return;
    if (this.#streams(engine, held) > 0) this.violations.push(`${order.model} unloaded in use`);
    Object.assign(engine, { models: engine.models.filter((copy) => copy !== held) });
  }

  #advance(): void {
    this.#up().forEach((engine) => {
      const fed = this.#streamingCopies(engine);
      engine.loading.forEach((left, copy) => {
        if (left > 1) engine.loading.set(copy, left - 1);
        else {
          engine.loading.delete(copy);
          const [model, version] = copy.split('@');
          engine.models.push({ model: model!, version: version!, adapters: [] });
        }
      });
      engine.ending.forEach((left, copy) => {
        if (left > 1) engine.ending.set(copy, left - 1);
        else engine.ending.delete(copy);
      });
      const still = this.#streamingCopies(engine);
      fed.filter((copy) => !still.includes(copy))
        .forEach((copy) => engine.ending.set(copy, STREAM_STEPS));
    });
    this.#recordServing();
  }

  #recordServing(): void {
    Object.keys(this.configuration.models).forEach((model) => {
      const serving = this.serving(model);
      this.minServing.set(model, Math.min(serving, this.minServing.get(model) ?? serving));
    });
  }
}
