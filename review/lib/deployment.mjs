// A small deployment on loopback: the store, engines in three zones, and the project's processes.
import { address, freePorts } from './base.mjs';
import { HOST } from './client.mjs';
import { Engine } from './engine.mjs';
import { Relay } from './relay.mjs';
import { Store } from './store.mjs';

const ZONES = ['z-a', 'z-b', 'z-c'];
export const WRITERS = 'huvo11a';
export const PLAIN = 'wuno96b';

/** The routes of the sheet: a resumable stream, unsafe and safe calls. */
export function routes() {
  const route = (name, kind, service, more) => ({
    Name: `r-${name}`,
    Hostname: HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    Service: service,
    Public: false,
    Priority: 1,
    ...more,
  });
  const plain = { TimeoutMs: 600, TargetLatencyMs: 121, MaxAttempts: 3 };
  return [
    route('stream', 'streaming', WRITERS, {
      TimeoutMs: 25_000,
      TargetLatencyMs: 4_500,
      TargetGapMs: 700,
      MaxAttempts: 5,
      Sticky: true,
      Resumable: true,
    }),
    route('unsafe', 'unsafe', PLAIN, plain),
    route('safe', 'safe', PLAIN, plain),
  ];
}

/** A version of the configuration. */
export function configuration(version, { backups = false, ...changes } = {}) {
  return {
    Version: version,
    Routes: routes(),
    Services: [
      {
        Name: WRITERS,
        HealthPath: '/health',
        MaxConns: 360,
        Protocol: 'h1',
        Tls: false,
        Engine: {
          Slots: 64, KvCapacity: 88_000, Backups: backups, Models: [{ Name: 'm' }],
        },
      },
      {
        Name: PLAIN, HealthPath: '/health', MaxConns: 96, Protocol: 'h1', Tls: false,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: 'huka270', ApiKeys: ['key-1'], Priority: 1 }],
    ...changes,
  };
}

export class Deployment {
  store = new Store();

  engines = [];

  relays = [];

  /**
   * @param options numbers of `relays`, of `writers` and `plain` engines in each zone, and what the
   * engines do beside what is usual; `setUp` may change engines before they start
   */
  static async start({
    relays = 3, writers = 2, plain = 1, writer = {}, plainServer = {}, config = {},
    setUp = () => undefined,
  } = {}) {
    const deployment = new Deployment();
    await deployment.#start({
      relays, writers, plain, writer, plainServer, config, setUp,
    });
    return deployment;
  }

  async #start({
    relays, writers, plain, writer, plainServer, config, setUp,
  }) {
    await this.store.listen(address(250));
    this.store.put('config', 'main', configuration(7, config));
    const kinds = [
      ...Array(writers).fill({ service: WRITERS, slots: 64, ...writer }),
      ...Array(plain).fill({ service: PLAIN, slots: 6, ...plainServer }),
    ];
    this.engines = ZONES.flatMap((zone) => kinds.map((kind) => ({ zone, ...kind })))
      .map((kind, index) => new Engine({ store: this.store, ip: address(index + 100), ...kind }));
    this.engines.forEach((engine) => Object.assign(engine, { peers: this.engines }));
    setUp(this.engines);
    await Promise.all(this.engines.map((engine) => engine.start()));
    const ips = Array.from({ length: relays }, (_, index) => address(index + 1));
    const [front, ready, control, first, last] = await freePorts(5, ips);
    const ports = {
      front, ready, control, first, last,
    };
    this.relays = ips.map((ip, index) => new Relay({
      name: `front-${index + 1}`,
      ip,
      zone: ZONES[index % ZONES.length],
      seeds: ips.slice(0, 3),
      store: this.store.address,
      ports,
    }));
    this.relays.forEach((relay) => relay.start());
  }

  /** Resolves to whether all processes have become ready. */
  async untilReady() {
    const ready = await Promise.all(this.relays.map((relay) => relay.untilReady()));
    return ready.every(Boolean);
  }

  of(service) {
    return this.engines.filter((engine) => engine.service === service);
  }

  /** Everything that arrived at the engines of a service, in order. */
  arrivals(service) {
    return this.of(service).flatMap(({ arrivals }) => arrivals)
      .sort((left, right) => left.at - right.at);
  }

  close() {
    this.relays.forEach((relay) => relay.signal('SIGKILL'));
    this.engines.forEach((engine) => engine.close());
    this.store.close();
  }
}
