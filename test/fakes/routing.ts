/** A router under virtual time, over engines whose reports the test sets. */
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { BehaviorSubject, NEVER, Subject } from 'rxjs';
import type { Subscription } from 'rxjs';
import type { Log, LogFields } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import type { Refusal } from '../../src/common/refusal.js';
import type {
  BackendServer, Configuration, Favour, Pool,
} from '../../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../../src/configuration/defaults.js';
import type { Directory, EngineView, Health } from '../../src/engines/directory.js';
import type { CacheEvent, EngineClient, LoadReport } from '../../src/engines/engine.js';
import type { Assignment, AssignmentRequest } from '../../src/routing/dispatcher.js';
import { Router } from '../../src/routing/router.js';
import type { RouterContext } from '../../src/routing/router.js';
import { VirtualClock } from './clock.js';

export const REPORT: LoadReport = {
  incarnation: 'i1',
  running: 0,
  waiting: 0,
  slots: 10,
  stepMs: 2,
  cachedTokens: 0,
  cacheCapacityTokens: 1_000,
  role: 'serve',
  models: [{ model: 'm', version: '1', adapters: ['lora'] }],
  loading: [],
  fence: 0,
};

export interface FakeEngine {
  readonly name: string;
  readonly zone?: string;
  readonly pool?: string;
  readonly drained?: boolean;
  readonly health?: Health;
  readonly report?: Partial<LoadReport> | 'none';
}

export function serverOf({
  name, zone = 'a', pool = 'p', drained = false,
}: FakeEngine, kind: BackendServer['kind'] = 'engine'): BackendServer {
  return {
    name, kind, address: name, zone, pool, checksFence: true, memory: 1, drained,
  };
}

function poolOf(name: string, change: Partial<Pool> = {}): Pool {
  return {
    name, kind: 'engine', models: [], retryRatio: 0, concurrencyPerServer: 10, ...change,
  };
}

export const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  revision: 1,
  deployment: { name: 'test', favour: 'latency', zones: ['a', 'b'] },
  models: {
    m: {
      name: 'm',
      version: '1',
      adapters: ['lora'],
      replicas: 1,
      memory: 1,
      maxTokens: 4_096,
      priority: 'standard',
      repeat: 'safe',
    },
  },
  pools: { p: poolOf('p'), other: poolOf('other', { models: ['n'] }) },
};

export function requestOf(change: Partial<AssignmentRequest> = {}): AssignmentRequest {
  return {
    requestId: 'r',
    workspace: 'w',
    priority: 'standard',
    target: {
      kind: 'model',
      model: 'm',
      version: undefined,
      adapter: undefined,
      input: { kind: 'prompt', text: 'x' },
    },
    resume: false,
    exclude: [],
    ...change,
  };
}

/** The result of a request; `outcome` is the server's name or the refusal's code. */
export interface AssignmentResult {
  outcome: string | undefined;
  refusal: Refusal | undefined;
  assignment: Assignment | undefined;
  readonly subscription: Subscription;
}

export class RoutingHarness implements Directory {
  readonly clock = new VirtualClock();

  readonly router: Router;

  readonly leaving = new Set<string>();

  readonly configurations: BehaviorSubject<Configuration>;

  readonly routes: LogFields[] = [];

  readonly events = new Map<string, Subject<CacheEvent>>();

  #views: EngineView[] = [];

  constructor(
    engines: readonly FakeEngine[],
    change: Partial<Configuration> = {},
    context: Partial<RouterContext> = {},
  ) {
    const servers = Object.fromEntries(engines.map((engine) => [engine.name, serverOf(engine)]));
    this.configurations = new BehaviorSubject<Configuration>({
      ...CONFIGURATION, servers, ...change,
    });
    this.report(engines);
    const log: Log = {
      event: (level, event, fields = {}) => {
        if (event === 'route') this.routes.push(fields);
      },
    };
    this.router = Router.of({
      directory: this,
      configurations: this.configurations,
      admissions: { admit: () => ok({ release: () => undefined }) },
      scheduler: this.clock,
      random: Random.of(1),
      log,
      leaving: () => this.leaving,
      daemons: () => 1,
      zone: 'a',
      ...context,
    });
    this.router.start();
  }

  static favouring(favour: Favour, engines: readonly FakeEngine[]): RoutingHarness {
    return new RoutingHarness(engines, { deployment: { ...CONFIGURATION.deployment, favour } });
  }

  /** Replaces what the engines report. */
  report(engines: readonly FakeEngine[]): void {
    this.#views = engines.map((engine) => ({
      server: serverOf(engine),
      client: this.#client(engine.name),
      health: engine.health ?? 'up',
      report: engine.report === 'none' ? undefined : { ...REPORT, ...engine.report },
      reportedAt: this.clock.now(),
    }));
  }

  engines(): readonly EngineView[] {
    return this.#views;
  }

  engine(name: string): EngineView | undefined {
    return this.#views.find(({ server }) => server.name === name);
  }

  assign(change: Partial<AssignmentRequest> = {}): AssignmentResult {
    let pending: AssignmentResult | undefined;
    let early: Result<Assignment, Refusal> | undefined;
    const take = (result: Result<Assignment, Refusal>) => {
      early = result;
      if (!pending) return;
      result.match(
        (assignment) => Object.assign(pending!, { outcome: assignment.server, assignment }),
        (refusal) => Object.assign(pending!, { outcome: refusal.code, refusal }),
      );
    };
    const subscription = this.router.assign(requestOf(change)).subscribe(take);
    pending = {
      outcome: undefined, refusal: undefined, assignment: undefined, subscription,
    };
    if (early) take(early);
    return pending;
  }

  assignMany(count: number, change: Partial<AssignmentRequest> = {}): readonly AssignmentResult[] {
    return Array.from({ length: count }, () => this.assign(change));
  }

  #client(name: string): EngineClient {
    const known = this.engine(name)?.client;
    if (known) return known;
    const events = new Subject<CacheEvent>();
    this.events.set(name, events);
    return {
      generate: () => NEVER,
      join: () => NEVER,
      cancel: () => Promise.resolve({ kind: 'unknown' }),
      load: () => Promise.reject(new Error('not implemented')),
      cacheEvents: () => events,
      order: () => Promise.resolve('unknown'),
    };
  }
}
