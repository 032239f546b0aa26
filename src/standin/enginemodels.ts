/** The models, role and fencing number of a stand-in engine, which orders change. */
import type { SchedulerLike, Subscription } from 'rxjs';
import type {
  AttemptRequest, EngineRole, FencedOrder, LoadedModel, Order, OrderOutcome,
} from '../engines/engine.js';

export interface ModelOptions {
  readonly models: readonly LoadedModel[];
  readonly loadMs: number;
  readonly checksFence: boolean;
}

/** A received order and its outcome, from which tests check fencing. */
export interface ReceivedOrder extends FencedOrder {
  readonly at: number;
  readonly outcome: OrderOutcome;
}

export class EngineModels {
  readonly orders: ReceivedOrder[] = [];

  readonly #options: ModelOptions;

  readonly #scheduler: SchedulerLike;

  readonly #loading = new Map<string, Subscription>();

  #loaded: readonly LoadedModel[];

  #role: EngineRole = 'serve';

  #fence = 0;

  private constructor(options: ModelOptions, scheduler: SchedulerLike) {
    this.#options = options;
    this.#scheduler = scheduler;
    this.#loaded = options.models;
  }

  static of(options: ModelOptions, scheduler: SchedulerLike): EngineModels {
    return new EngineModels(options, scheduler);
  }

  get loaded(): readonly LoadedModel[] {
    return this.#loaded;
  }

  get loading(): readonly string[] {
    return [...this.#loading.keys()];
  }

  get role(): EngineRole {
    return this.#role;
  }

  get fence(): number {
    return this.#fence;
  }

  isLoaded({ model, version, adapter }: AttemptRequest): boolean {
    const found = this.#find({ model, version });
    return found !== undefined && (adapter === undefined || found.adapters.includes(adapter));
  }

  stopAccepting(): void {
    this.#role = 'leaving';
  }

  /** Stops loading and resets the role and the fencing number, as in a new process. */
  restart(): void {
    this.#loading.forEach((loading) => loading.unsubscribe());
    this.#loading.clear();
    this.#fence = 0;
    this.#role = 'serve';
  }

  order(received: FencedOrder): OrderOutcome {
    const outcome = this.#checkFence(received);
    this.orders.push({ ...received, at: this.#scheduler.now(), outcome });
    return outcome;
  }

  #checkFence({ order, fence }: FencedOrder): OrderOutcome {
    if (this.#options.checksFence && fence < this.#fence) return 'fenced';
    this.#fence = Math.max(this.#fence, fence);
    return this.#execute(order);
  }

  #execute(order: Order): OrderOutcome {
    switch (order.kind) {
      case 'role':
        this.#role = order.role;
        return 'accepted';
      case 'load': {
        const name = `${order.model}@${order.version}`;
        if (this.#loading.has(name) || this.#find(order)) return 'accepted';
        this.#loading.set(name, this.#scheduler.schedule(() => {
          this.#loading.delete(name);
          this.#loaded = [...this.#loaded, {
            model: order.model, version: order.version, adapters: [],
          }];
        }, this.#options.loadMs));
        return 'accepted';
      }
      case 'unload':
        this.#loaded = this.#loaded.filter((loaded) => loaded !== this.#find(order));
        return 'accepted';
      case 'load_adapter': return this.#updateAdapters(order, (adapters) => (
        [...adapters.filter((name) => name !== order.adapter), order.adapter]));
      case 'unload_adapter': return this.#updateAdapters(order, (adapters) => (
        adapters.filter((name) => name !== order.adapter)));
    }
  }

  #find({ model, version }: { model: string; version: string }): LoadedModel | undefined {
    return this.#loaded.find((loaded) => loaded.model === model && loaded.version === version);
  }

  #updateAdapters(
    order: { model: string; version: string },
    update: (adapters: readonly string[]) => readonly string[],
  ): OrderOutcome {
    const found = this.#find(order);
    if (!found) return 'refused';
    this.#loaded = this.#loaded.map((loaded) => (
      loaded === found ? { ...loaded, adapters: update(loaded.adapters) } : loaded));
    return 'accepted';
  }
}
