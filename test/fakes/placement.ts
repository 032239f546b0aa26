/**
 * Instances that place models on the same engines over one object API, in virtual time. Orders are
 * recorded when they are sent; they can be delayed, and their responses lost.
 */
import { BehaviorSubject, NEVER } from 'rxjs';
import type { Subscription } from 'rxjs';
import type { Log, LogFields } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import type { BackendServer, Configuration } from '../../src/configuration/configuration.js';
import type { EngineClient, FencedOrder, OrderOutcome } from '../../src/engines/engine.js';
import { EngineMonitor } from '../../src/engines/monitor.js';
import type { MembershipView } from '../../src/membership/instances.js';
import { SoftState } from '../../src/membership/softstate.js';
import { initialState } from '../../src/membership/state.js';
import { PlacementController } from '../../src/placement/controller.js';
import type { GrantSource } from '../../src/placement/controller.js';
import { LeaseRunner } from '../../src/placement/leaserunner.js';
import { StandInEngine } from '../../src/standin/engine.js';
import { MemoryObjects } from '../../src/standin/objects.js';
import { VirtualClock } from './clock.js';
import { NodeClock } from './nodeclock.js';

export interface SentOrder extends FencedOrder {
  readonly at: number;
  readonly by: string;
  readonly server: string;
}

export interface OrderFaults {
  /** The delay until an order reaches the engine. */
  readonly delayMs: number;
  readonly lostAnswers: boolean;
  readonly refuse: boolean;
}

const LOAD_MS = 3_000;
const LOST_AFTER_MS = 300;

export const noMembers: MembershipView = { members: NEVER, current: () => [] };

export const noSoftState = SoftState.of(NEVER, () => initialState({
  name: 'x', zone: 'z', peerAddress: 'x', incarnation: 1,
}, 0), () => undefined);

export class PlacementWorld {
  readonly clock = new VirtualClock();

  readonly objects = MemoryObjects.of(this.clock, Random.of(3));

  readonly configurations: BehaviorSubject<Configuration>;

  readonly engines = new Map<string, StandInEngine>();

  readonly orders: SentOrder[] = [];

  readonly lines: string[] = [];

  readonly nodes = new Map<string, NodeClock>();

  readonly keepers = new Map<string, LeaseRunner>();

  faults: OrderFaults = { delayMs: 0, lostAnswers: false, refuse: false };

  readonly #running: Subscription[] = [];

  private constructor(configuration: Configuration) {
    this.configurations = new BehaviorSubject(configuration);
    Object.values(configuration.servers).forEach(({ name, checksFence }) => {
      const options = {
        name, checksFence, loadMs: LOAD_MS, models: [],
      };
      this.engines.set(name, StandInEngine.of(options, this.clock, '1'));
    });
  }

  static of(configuration: Configuration): PlacementWorld {
    return new PlacementWorld(configuration);
  }

  /** Starts an instance that contends for the lease, or that uses the given grants instead. */
  start(name: string, grants?: GrantSource): void {
    const scheduler = NodeClock.of(this.clock);
    this.nodes.set(name, scheduler);
    const log: Log = {
      event: (_level, event, fields: LogFields = {}) => {
        this.lines.push(`${name} ${event} ${JSON.stringify(fields)}`);
      },
    };
    const random = Random.of(name.charCodeAt(0));
    const monitor = EngineMonitor.of((server) => this.#client(name, server), scheduler);
    this.#running.push(monitor.start(this.configurations));
    const keeper = LeaseRunner.of({
      holder: name,
      incarnation: 1,
      objects: this.objects,
      scheduler,
      wallClock: scheduler.wall,
      random,
      log,
      placement: () => this.configurations.value.placement,
      candidate: () => true,
    });
    if (!grants) this.#running.push(keeper.run.subscribe());
    this.keepers.set(name, keeper);
    this.#running.push(PlacementController.of({
      lease: grants ?? keeper,
      directory: monitor,
      membership: noMembers,
      softState: noSoftState,
      scheduler,
      log,
      configuration: () => this.configurations.value,
    }).run.subscribe());
  }

  stop(): void {
    this.#running.forEach((subscription) => subscription.unsubscribe());
  }

  holder(): string | undefined {
    return [...this.keepers].find(([, keeper]) => keeper.grant())?.[0];
  }

  held(server: string): readonly string[] {
    return this.engines.get(server)!.models.loaded
      .map(({ model, version }) => `${model}@${version}`);
  }

  #client(by: string, server: BackendServer): EngineClient {
    const engine = this.engines.get(server.name)!;
    return {
      generate: (request) => engine.generate(request),
      join: (generation, attempt, position) => engine.join(generation, attempt, position),
      cancel: (generation, attempt) => engine.cancel(generation, attempt),
      load: () => engine.load(),
      cacheEvents: () => engine.cacheEvents(),
      order: (order) => this.#order(by, engine, order),
    };
  }

  #order(by: string, engine: StandInEngine, order: FencedOrder): Promise<OrderOutcome> {
    const { delayMs, lostAnswers, refuse } = this.faults;
    this.orders.push({
      ...order, at: this.clock.now(), by, server: engine.options.name,
    });
    return new Promise((resolve) => {
      if (lostAnswers) this.clock.schedule(() => resolve('unknown'), LOST_AFTER_MS);
      this.clock.schedule(() => {
        const settle = (outcome: OrderOutcome) => !lostAnswers && resolve(outcome);
        if (refuse) settle('refused');
        else engine.order(order).then(settle, () => resolve('unknown'));
      }, delayMs);
    });
  }
}
