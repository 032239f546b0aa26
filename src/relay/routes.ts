/**
 * The configuration of a deployment whose requests are relayed unchanged: routes by host and path,
 * the services behind them, and the workspaces' keys. Each version is immutable.
 */
import type { Repeat } from '../configuration/configuration.js';
import type { HeadLimits } from '../entry/httpserver.js';

/** `whole` responses are buffered until they are complete, `events` are streamed. */
export type Delivery = 'whole' | 'events';

export interface Target {
  readonly service: string;
  /** Share of the route's requests, relative to its other targets. */
  readonly weight: number;
}

export interface RelayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly delivery: Delivery;
  readonly repeat: Repeat;
  readonly targets: readonly Target[];
  /** Longest time that a caller waits for the end of its response. */
  readonly timeoutMs: number;
  /** Objective for the time to the complete response or to the first event. */
  readonly objectiveMs: number;
  /** Objective for the longest pause between events. */
  readonly pauseObjectiveMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Limit on backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly open: boolean;
}

/** Capacity of each of a service's engines. */
export interface EngineCapacity {
  readonly slots: number;
  readonly memoryTokens: number;
  /** Whether engines keep standby copies of each other's runs. */
  readonly standby: boolean;
}

export interface RelayService {
  readonly name: string;
  /** Undefined for plain services. */
  readonly engine: EngineCapacity | undefined;
  readonly healthPath: string | undefined;
}

export interface RelayWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's. */
  readonly priority: number | undefined;
}

export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly RelayRoute[];
  readonly services: Readonly<Record<string, RelayService>>;
  /** Undefined where requests carry no keys. */
  readonly workspaces: readonly RelayWorkspace[] | undefined;
  readonly maxBodyBytes: number;
  readonly heads: HeadLimits;
}

/** Looks up routes and workspaces in one version of the configuration. */
export class RouteTable {
  readonly configuration: RelayConfiguration;

  /** The routes of each host, longest prefix first. */
  readonly #byHost = new Map<string, RelayRoute[]>();

  readonly #byKey = new Map<string, RelayWorkspace>();

  readonly #services: ReadonlySet<string>;

  private constructor(configuration: RelayConfiguration) {
    this.configuration = configuration;
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.#byHost.set(host, [...this.#byHost.get(host) ?? [], route]);
    });
    this.#byHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    this.#services = new Set(configuration.routes.flatMap(({ targets }) => (
      targets.map(({ service }) => service))));
    configuration.workspaces?.forEach((workspace) => {
      workspace.keys.forEach((key) => this.#byKey.set(key, workspace));
    });
  }

  static of(configuration: RelayConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  /** @param host without its port  @param path without its query */
  route(host: string, path: string): RelayRoute | undefined {
    return this.#byHost.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** Whether requests of any route go to a service. */
  hasService(service: string): boolean {
    return this.#services.has(service);
  }

  workspace(key: string): RelayWorkspace | undefined {
    return this.#byKey.get(key);
  }
}
