/** Runs a relay daemon on loopback with fake backend servers and an in-process object store. */
import { request as httpRequest } from 'node:http';
import type { Agent } from 'node:http';
import type { ExecutionContext } from 'ava';
import { ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { map } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import { Random } from '../../src/common/random.js';
import { monotonicScheduler } from '../../src/common/time.js';
import { DEFAULT_HEAD_LIMITS } from '../../src/entry/httpserver.js';
import { RelayDaemon } from '../../src/relay/daemon.js';
import type { Platform } from '../../src/relay/platform.js';
import type { RelayConfiguration, RelayRoute } from '../../src/relay/routes.js';
import type { RelaySettings } from '../../src/relay/settings.js';
import type { ServerEntry } from '../../src/relay/serverentry.js';
import { MemoryObjects } from '../../src/standin/objects.js';
import type {
  ObjectReader, StoredObject, StoreError, WatchEvent,
} from '../../src/store/objects.js';
import { freePort } from './freeport.js';
import { expectOk } from './objects.js';
import { RecordedLog } from './recordedlog.js';
import { testDialect } from './relaydialect.js';
import { RelayEngine } from './relayengine.js';
import type { RelayEngineOptions } from './relayengine.js';

export const KEY = 'key-1';
export const HOST = 'relay.example';

export interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
  /** Whether the response was complete; without a response, false and a status of 0. */
  readonly whole: boolean;
}

export const ROUTES: Readonly<Record<'stream' | 'safe' | 'unsafe', RelayRoute>> = (() => {
  const route: RelayRoute = {
    name: 'stream',
    host: HOST,
    prefix: '/stream/',
    delivery: 'events',
    repeat: 'safe',
    targets: [{ service: 'engines', weight: 1 }],
    timeoutMs: 60_000,
    objectiveMs: 1_000,
    pauseObjectiveMs: 700,
    priority: 1,
    maxAttempts: 5,
    open: false,
  };
  const whole = {
    ...route,
    delivery: 'whole' as const,
    targets: [{ service: 'plain', weight: 1 }],
    timeoutMs: 20_000,
    objectiveMs: 400,
  };
  return {
    stream: route,
    safe: { ...whole, name: 'safe', prefix: '/safe/' },
    unsafe: {
      ...whole, name: 'unsafe', prefix: '/unsafe/', repeat: 'never',
    },
  };
})();

export function relayConfiguration(change: Partial<RelayConfiguration> = {}): RelayConfiguration {
  const engine = {
    slots: 8, memoryTokens: 1_000, standby: true,
  };
  return {
    version: 1,
    routes: Object.values(ROUTES),
    services: {
      engines: { name: 'engines', engine, healthPath: '/health' },
      plain: { name: 'plain', engine: undefined, healthPath: '/health' },
    },
    workspaces: [{ name: 'w', keys: [KEY], priority: undefined }],
    maxBodyBytes: 10_000,
    heads: DEFAULT_HEAD_LIMITS,
    ...change,
  };
}

export interface RelayFixture {
  readonly engines?: readonly RelayEngineOptions[];
  readonly plain?: readonly RelayEngineOptions[];
  /** Undefined leaves the store without a configuration. */
  readonly configuration?: RelayConfiguration | undefined;
  /** A relay whose peer this one becomes; each has a store of its own. */
  readonly peer?: Relay;
  /** A relay whose store this one shares, in place of one of its own. */
  readonly storeOf?: Relay;
  /** Times the lookups of cached prompts in place of real time. */
  readonly lookupScheduler?: SchedulerLike;
  /** The clock of the daemon in place of real time. */
  readonly clock?: SchedulerLike;
  /** Whether the store is down at first. */
  readonly outage?: boolean;
  /** Replaces parts of the test's platform, such as the store. */
  readonly platform?: Partial<Platform>;
  /** Bounds of rollouts in the settings. */
  readonly rollouts?: RelaySettings['rollouts'];
}

/** Where a relay's daemon listens, and which peer it starts with. */
interface Endpoint {
  readonly ip: string;
  readonly callersPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly metricsPort: number;
  readonly seeds: readonly string[];
}

async function endpointOf(peer: Relay | undefined): Promise<Endpoint> {
  const [callersPort, readinessPort, peerPort, metricsPort] = await Promise.all(
    [freePort(), freePort(), freePort(), freePort()],
  );
  const ports = { callersPort, readinessPort, metricsPort };
  return peer
    ? {
      ...ports, ip: '127.0.0.2', peerPort: peer.endpoint.peerPort, seeds: [peer.endpoint.ip],
    }
    : {
      ...ports, ip: '127.0.0.1', peerPort, seeds: [],
    };
}

async function put(
  objects: MemoryObjects,
  name: string,
  value: unknown,
): Promise<Result<StoredObject, StoreError>> {
  const existing = await objects.get(name, 'status');
  const expected = existing.isOk()
    ? { kind: 'version', version: existing.value.version } as const
    : { kind: 'absent' } as const;
  return objects.put(name, JSON.stringify(value), expected, 'status');
}

async function remove(objects: MemoryObjects, name: string): Promise<Result<void, StoreError>> {
  return (await objects.get(name, 'status'))
    .asyncAndThen(({ version }) => (
      new ResultAsync(objects.remove(name, version, 'status'))));
}

function withoutPrefix(name: string): string {
  return name.slice(name.indexOf('/') + 1);
}

/** Reads objects by the names that they have within their kind, as platforms with kinds do. */
export function readerOf(objects: MemoryObjects): ObjectReader {
  const shorten = (object: StoredObject) => ({ ...object, name: withoutPrefix(object.name) });
  return {
    list: async (kind, callClass) => (await objects.list(kind, callClass))
      .map((listing) => ({ ...listing, objects: listing.objects.map(shorten) })),
    watch: (kind, from, callClass) => objects.watch(kind, from, callClass).pipe(
      map((event): WatchEvent => {
        switch (event.kind) {
          case 'opened': return event;
          case 'put': return { ...event, object: shorten(event.object) };
          case 'delete': return { ...event, name: withoutPrefix(event.name) };
        }
      }),
    ),
  };
}

/** What a server's entry is made of. */
interface ListedServer {
  readonly address: string;
  readonly options: Pick<RelayEngineOptions, 'id' | 'zone' | 'software'>;
}

export class Relay {
  readonly engines: readonly RelayEngine[];

  readonly plain: readonly RelayEngine[];

  readonly log = new RecordedLog();

  readonly daemon: RelayDaemon;

  readonly objects: MemoryObjects;

  readonly endpoint: Endpoint;

  readonly #running: Subscription;

  private constructor(
    objects: MemoryObjects,
    engines: readonly RelayEngine[],
    plain: readonly RelayEngine[],
    endpoint: Endpoint,
    {
      clock = monotonicScheduler, lookupScheduler, platform = {}, rollouts,
    }: RelayFixture,
  ) {
    this.objects = objects;
    this.engines = engines;
    this.plain = plain;
    this.endpoint = endpoint;
    const { ip } = endpoint;
    this.daemon = RelayDaemon.of({
      settings: {
        name: endpoint.seeds.length === 0 ? 'd1' : 'd2',
        zone: 'a',
        ip,
        callers: `${ip}:${endpoint.callersPort}`,
        readiness: `${ip}:${endpoint.readinessPort}`,
        seeds: endpoint.seeds,
        peerPort: endpoint.peerPort,
        metricsPort: endpoint.metricsPort,
        store: '127.0.0.1:1',
        heartbeatMs: 1_000,
        reuseAfterMs: 2_000,
        leavingDelayMs: 2_000,
        configurationDelayMs: 2_000,
        stopMs: 5_000,
        retryRatio: 1,
        retryWindowMs: 10_000,
        retrySlack: 100,
        rollouts,
      },
      platform: {
        objects: readerOf(objects),
        records: {
          write: async (kind, name, value) => (
            await put(objects, `${kind}${name}`, JSON.parse(value))).map(() => undefined),
          remove: (kind, name) => remove(objects, `${kind}${name}`),
        },
        dialect: testDialect,
        cacheQuery: {
          target: '/held',
          read: (body) => new Map(body.split(',').map((id) => [id, 10])),
        },
        startQuery: { target: '/started', read: (body) => Number(body) },
        configurationKind: 'configuration',
        configurationName: 'configuration',
        serverKind: 'server/',
        originKind: 'origin/',
        readConfiguration: (value) => ok(value as RelayConfiguration),
        readServer: (name, value) => {
          const entry = value as Partial<ServerEntry> | null;
          if (entry?.address === undefined) return undefined;
          return { ...entry as ServerEntry, id: name };
        },
        ...platform,
      },
      scheduler: clock,
      lookupScheduler,
      random: Random.of(7),
      log: this.log,
      droppedLogLines: () => 3,
    });
    this.#running = this.daemon.run.subscribe();
  }

  static async of(t: ExecutionContext, fixture: RelayFixture = {}): Promise<Relay> {
    const objects = fixture.storeOf?.objects
      ?? MemoryObjects.of(monotonicScheduler, Random.of(3));
    objects.setFaults({ outage: fixture.outage ?? false });
    const engines = await RelayEngine.fleet(fixture.engines ?? []);
    const plain = await RelayEngine.fleet(fixture.plain ?? []);
    const endpoint = await endpointOf(fixture.peer);
    const relay = new Relay(objects, engines, plain, endpoint, fixture);
    t.teardown(() => relay.stop());
    await Promise.all([
      ...engines.map((engine) => relay.putEntry(engine, 'engines')),
      ...plain.map((engine) => relay.putEntry(engine, 'plain')),
    ]);
    if (!('configuration' in fixture) || fixture.configuration) {
      await relay.configure(fixture.configuration ?? relayConfiguration());
    }
    return relay;
  }

  async putEntry(
    engine: ListedServer,
    service: string,
    change: Partial<ServerEntry> = {},
  ): Promise<void> {
    const entry: ServerEntry = {
      id: engine.options.id,
      service,
      address: engine.address,
      zone: engine.options.zone,
      state: 'ready',
      slots: 8,
      startedAt: 1,
      software: engine.options.software ?? 'v1',
      weights: 1,
      ...change,
    };
    await put(this.objects, `server/${entry.id}`, entry);
  }

  async removeEntry(id: string): Promise<void> {
    const name = `server/${id}`;
    const { version } = expectOk(await this.objects.get(name, 'status'));
    expectOk(await this.objects.remove(name, version, 'status'));
  }

  async configure(configuration: RelayConfiguration): Promise<void> {
    await put(this.objects, 'configuration', configuration);
  }

  /** The text of the metrics; empty until they are served. */
  async metrics(): Promise<string> {
    try {
      const { ip, metricsPort } = this.endpoint;
      return await (await fetch(`http://${ip}:${metricsPort}/metrics`)).text();
    } catch {
      return '';
    }
  }

  stop(): void {
    this.#running.unsubscribe();
    [...this.engines, ...this.plain].forEach((engine) => engine.end());
  }

  /** Sends one request; resolves when its response has ended or was cut off. */
  call(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
    onData?: (text: string, disconnect: () => void) => void,
    agent: Agent | false = false,
  ): Promise<Reply> {
    return new Promise((resolve) => {
      const request = httpRequest({
        host: this.endpoint.ip,
        port: this.endpoint.callersPort,
        path,
        method: body === undefined ? 'GET' : 'POST',
        headers: {
          host: HOST, 'x-id': 'r1', 'x-key': KEY, ...headers,
        },
        agent,
      });
      request.on('error', () => resolve({
        status: 0, headers: {}, text: '', whole: false,
      }));
      request.on('response', (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          text += part;
          onData?.(text, () => request.destroy());
        });
        response.on('error', () => undefined);
        response.on('close', () => resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text,
          whole: response.complete,
        }));
      });
      request.end(body);
    });
  }
}

/** The text of a stream of `count` events, from event `from` on. */
export function eventsText(count: number, from = 1): string {
  return Array.from({ length: count - from + 1 }, (_, index) => (
    `id: ${from + index}\ndata: text ${from + index}\n\n`)).join('');
}
