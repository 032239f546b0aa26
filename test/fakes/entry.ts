/** The HTTP server for callers on loopback, with stand-in engines and services in this process. */
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders, RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { BehaviorSubject } from 'rxjs';
import { silentLog } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import { monotonicScheduler } from '../../src/common/time.js';
import type {
  BackendServer, Configuration, Service,
} from '../../src/configuration/configuration.js';
import { HttpEngineClient } from '../../src/engines/client.js';
import type { EngineClient } from '../../src/engines/engine.js';
import { EngineMonitor } from '../../src/engines/monitor.js';
import { Drain } from '../../src/entry/drain.js';
import { Gateway } from '../../src/entry/gateway.js';
import type { GatewayContext } from '../../src/entry/gateway.js';
import { RequestMetrics } from '../../src/entry/metrics.js';
import { EntryServer } from '../../src/entry/server.js';
import { LeastLoaded } from './leastloaded.js';
import { StandInEngine } from '../../src/standin/engine.js';
import type { EngineOptions } from '../../src/standin/engine.js';
import { engineServer } from '../../src/standin/engineserver.js';
import { configurationOf, KEY } from './deployment.js';
import { ServiceDispatcher } from './dispatcher.js';
import { eventually } from './eventually.js';

const LOOPBACK = '127.0.0.1';

export function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () => {
      resolve(`${LOOPBACK}:${(server.address() as AddressInfo).port}`);
    });
  });
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export interface EntryFixture {
  readonly engine?: Partial<EngineOptions>;
  readonly engines?: number;
  readonly change?: (configuration: Configuration) => Configuration;
  /** Request listeners, one for each server of the service `stock`. */
  readonly services?: readonly RequestListener[];
  readonly routes?: Service['routes'];
  readonly context?: Partial<GatewayContext>;
  /** How long the balancer may still send requests in a stop; 100 ms by default. */
  readonly lagMs?: number;
  /** Methods that replace those of every engine's client. */
  readonly client?: Partial<EngineClient>;
}

export interface Reply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the response was complete. */
  readonly whole: boolean;
}

export async function startEntry(fixture: EntryFixture = {}) {
  const names = Array.from({ length: fixture.engines ?? 2 }, (_, index) => `e${index + 1}`);
  const engines = names.map((name) => StandInEngine.of({
    name, models: [{ model: 'm', version: '1', adapters: [] }], ...fixture.engine,
  }, monotonicScheduler, `${name}/1`));
  const engineServers = engines.map(engineServer);
  const serviceServers = (fixture.services ?? []).map((listener) => createServer(listener));
  const addresses = await Promise.all([...engineServers, ...serviceServers].map(listen));
  const base = configurationOf(names, {});
  const servers: Record<string, BackendServer> = Object.fromEntries(names.map((name, index) => [
    name, { ...base.servers[name]!, address: addresses[index]! }]));
  serviceServers.forEach((_, index) => {
    const name = `s${index + 1}`;
    servers[name] = {
      ...base.servers[names[0]!]!,
      name,
      kind: 'service',
      pool: 'stock',
      address: addresses[names.length + index]!,
    };
  });
  const change = fixture.change ?? ((configuration: Configuration) => configuration);
  const configurations = new BehaviorSubject(change({
    ...base,
    servers,
    services: { stock: { name: 'stock', pool: 'stock', routes: fixture.routes ?? [] } },
  }));
  const connectEngine = ({ address }: BackendServer) => (
    Object.assign(HttpEngineClient.of(address), fixture.client));
  const monitor = EngineMonitor.of(connectEngine, monotonicScheduler);
  const monitoring = monitor.start(configurations);
  const metrics = RequestMetrics.of();
  const drain = Drain.of(monotonicScheduler, silentLog, {
    lagMs: fixture.lagMs ?? 100, limitMs: 5_000,
  });
  const dispatcher = LeastLoaded.of(monitor, () => configurations.value, silentLog);
  const gateway = Gateway.of({
    dispatcher: ServiceDispatcher.of(dispatcher, () => configurations.value),
    directory: monitor,
    watcher: monitor,
    log: silentLog,
    configuration: () => configurations.value,
    cursorKey: 'secret',
    meter: metrics,
    ...fixture.context,
  });
  const server = EntryServer.of(gateway, Random.of(7), { metrics, drain });
  const address = await listen(server);
  // Requests can be dispatched once each engine has sent its first load report.
  await eventually(async () => monitor.engines().every(({ report }) => report !== undefined));
  const stop = () => {
    monitoring.unsubscribe();
    [server, ...engineServers, ...serviceServers].forEach((each) => {
      each.close();
      each.closeAllConnections();
    });
  };
  return {
    address, engines, engineServers, serviceServers, configurations, metrics, drain, gateway, stop,
  };
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

export function call(address: string, path: string, options: CallOptions = {}): Promise<Reply> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = httpRequest({
      host,
      port,
      path,
      agent: false,
      method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
      headers: { authorization: `Bearer ${KEY}`, ...options.headers },
    }, (res) => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        text += chunk;
      });
      res.on('error', () => undefined);
      res.on('close', () => resolve({
        status: res.statusCode ?? 0, headers: res.headers, text, whole: res.complete,
      }));
    });
    req.on('error', reject);
    req.end(options.body);
  });
}

export function post(
  address: string,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Reply> {
  return call(address, path, { body: JSON.stringify(body), headers });
}

/** Parses the data of a streamed answer's events, without the final `[DONE]`. */
export function chunksOf({ text }: Reply): readonly Record<string, never>[] {
  return text.split('\n').filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as Record<string, never>);
}
