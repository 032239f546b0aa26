/**
 * The demonstration deployment: one daemon and three stand-in engines in one process on loopback.
 * It is for trying the daemon out; a real deployment names its own backend servers.
 */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { BehaviorSubject } from 'rxjs';
import { sha256 } from '../common/hash.js';
import { ConsoleLog } from '../common/log.js';
import { Random } from '../common/random.js';
import { monotonicScheduler } from '../common/time.js';
import type { BackendServer, Configuration } from '../configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../configuration/defaults.js';
import { HttpEngineClient } from '../engines/client.js';
import { EngineMonitor } from '../engines/monitor.js';
import { EntryServer } from '../entry/server.js';
import { Gateway } from '../entry/gateway.js';
import { LeastLoaded } from '../routing/leastloaded.js';
import { StandInEngine } from '../standin/engine.js';
import { engineServer } from '../standin/engineserver.js';

const LOOPBACK = '127.0.0.1';
const ENGINES = 3;
const STEP_MS = 20;
const MODEL = 'listing';
const VERSION = '1';
export const DEMO_KEY = 'demo-key';

export interface DemoEngine { readonly engine: StandInEngine; readonly server: Server }

export interface Demo {
  readonly address: string;
  readonly engines: readonly DemoEngine[];
  stop(): void;
}

function listen(server: Server, port: number): Promise<string> {
  return new Promise((resolve) => {
    server.listen(port, LOOPBACK, () => {
      resolve(`${LOOPBACK}:${(server.address() as AddressInfo).port}`);
    });
  });
}

function backendServer(name: string, address: string): BackendServer {
  return {
    name,
    kind: 'engine',
    address,
    zone: 'demo-a',
    pool: 'listing',
    checksFence: true,
    memory: 1,
    drained: false,
  };
}

function configuration(servers: readonly BackendServer[]): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    deployment: { name: 'demo', favour: 'latency', zones: ['demo-a'] },
    models: {
      [MODEL]: {
        name: MODEL,
        version: VERSION,
        adapters: [],
        replicas: ENGINES,
        memory: 1,
        maxTokens: 4_096,
        priority: 'standard',
        repeat: 'safe',
      },
    },
    servers: Object.fromEntries(servers.map((server) => [server.name, server])),
    workspaces: {
      demo: {
        name: 'demo',
        keyHashes: [sha256(DEMO_KEY)],
        weight: 1,
        requestsPerSecond: 100,
        burst: 100,
        concurrency: 100,
        priority: 'standard',
        models: [],
      },
    },
  };
}

/** @param port the callers' port; 0 takes a free one */
export async function startDemo(port: number): Promise<Demo> {
  const log = ConsoleLog.of('info', { instance: 'demo' });
  const random = Random.of(Date.now() % 0x7fff_ffff);
  const engines = Array.from({ length: ENGINES }, (_, index): DemoEngine => {
    const engine = StandInEngine.of({
      name: `engine-${index + 1}`,
      stepMs: STEP_MS,
      models: [{ model: MODEL, version: VERSION, adapters: [] }],
    }, monotonicScheduler, random.identifier());
    return { engine, server: engineServer(engine) };
  });
  const servers = await Promise.all(engines.map(async ({ engine, server }) => (
    backendServer(engine.options.name, await listen(server, 0)))));
  const configurations = new BehaviorSubject(configuration(servers));
  const dial = ({ address }: BackendServer) => HttpEngineClient.of(address);
  const monitor = EngineMonitor.of(dial, monotonicScheduler, log);
  const running = monitor.start(configurations);
  const dispatcher = LeastLoaded.of(monitor, () => configurations.value, log);
  const gateway = Gateway.of({
    dispatcher,
    directory: monitor,
    watcher: monitor,
    log,
    configuration: () => configurations.value,
  });
  const entry = EntryServer.of(gateway, random);
  const address = await listen(entry, port);
  return {
    address,
    engines,
    stop: () => {
      running.unsubscribe();
      [entry, ...engines.map(({ server }) => server)].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}
