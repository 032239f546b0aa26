/** The relay daemon: builds its supervisor tree from its settings and the platform's adapter. */
import type { Observable } from 'rxjs';
import { Supervisor } from '../common/supervisor.js';
import type { Drain } from '../entry/drain.js';
import { RetryWindows } from '../limits/retrywindow.js';
import { WaitingLines } from '../placementrank/waitinglines.js';
import { ZoneStays } from '../placementrank/zonestay.js';
import { MeteredReader } from '../store/meteredreader.js';
import { ActiveConfiguration } from './activeconfiguration.js';
import { AdvertisedLimits } from './advertisedlimits.js';
import { CachedPrompts } from './cachedprompts.js';
import { childrenOf } from './children.js';
import { Connections } from './connections.js';
import type { RelayContext } from './context.js';
import { CrashCheck } from './crashcheck.js';
import type { RelayDaemonContext } from './daemoncontext.js';
import { Fleet } from './fleet.js';
import { Forwarding } from './forwarding.js';
import { Frontend } from './frontend.js';
import { createMemory } from './memorylimits.js';
import type { MemoryLimits } from './memorylimits.js';
import { Meter } from './meter.js';
import { createOverload } from './overloadcheck.js';
import { createPeers } from './peerexchange.js';
import type { Peers } from './peers.js';
import { Quarantines } from './quarantine.js';
import { Reach } from './reach.js';
import { RetrySchedules } from './retryafter.js';
import { RelayRollouts } from './rollouts.js';
import type { RelayConfiguration } from './routes.js';
import { SavedOrigins } from './savedorigins.js';
import { ServerNotices } from './servernotices.js';
import { ServerPaces } from './serverpaces.js';
import { SilenceWatch } from './silencewatch.js';
import { drainOf, Stopping } from './stopping.js';
import { StoreFeed } from './storefeed.js';
import { StreamOrigins } from './streamorigins.js';
import { Throttles } from './throttles.js';
import { WorkspaceUses } from './workspaceuses.js';

export class RelayDaemon {
  readonly drain: Drain;

  /** Runs the daemon while subscribed to. */
  readonly run: Observable<never>;

  readonly #context: RelayDaemonContext;

  readonly #activeConfiguration: ActiveConfiguration;

  readonly #fleet: Fleet;

  readonly #limits: AdvertisedLimits;

  readonly #notices: ServerNotices;

  readonly #throttles: Throttles;

  readonly #peers: Peers;

  readonly #quarantines: Quarantines;

  readonly #origins: StreamOrigins;

  readonly #rollouts: RelayRollouts;

  readonly #savedOrigins: SavedOrigins;

  readonly #retries: RetryWindows;

  readonly #meter = Meter.of();

  readonly #connections = Connections.of(this.#meter);

  readonly #relayContext: RelayContext;

  readonly #reach: Reach;

  readonly #forwarding: Forwarding;

  readonly #frontend: Frontend;

  readonly #memory: MemoryLimits;

  readonly #storeFeed: StoreFeed;

  private constructor(context: RelayDaemonContext) {
    const { settings, scheduler, log } = context;
    this.#context = context;
    this.#memory = createMemory(settings, context);
    this.drain = drainOf(settings, scheduler, log);
    this.#activeConfiguration = ActiveConfiguration.of(log);
    this.#retries = RetryWindows.of({
      ratio: settings.retryRatio, slack: settings.retrySlack, windowMs: settings.retryWindowMs,
    });
    this.#retries.count(settings.seeds.length, scheduler.now());
    const peerLoads = (server: string) => this.#peers.loads(server);
    const paces = ServerPaces.of({ ...context, peerLoads, server: (id) => this.#fleet.server(id) });
    const shared = {
      scheduler,
      random: context.random,
      log,
      paces,
      onUrgentChange: () => this.#peers.sendSoon(),
      onRoutineChange: () => this.#peers.sendSoon('routine'),
    };
    const { platform } = context;
    const identity = {
      ...platform,
      scheduler,
      connections: this.#connections,
      healthPath: (service: string) => (
        this.#activeConfiguration.routes?.configuration.services[service]?.healthPath),
    };
    const overload = createOverload({
      ...shared,
      meter: this.#meter,
      routes: () => this.#activeConfiguration.routes,
      peers: () => this.#peers,
      open: () => this.#frontend.open,
    });
    this.#fleet = Fleet.of({
      ...shared,
      ...identity,
      peerLoads,
      admission: (server, load) => (
        this.#notices.admission(server, load, this.#throttles.admission(server))),
      reuseAfterMs: settings.reuseAfterMs,
      onRestart: (previous, restarted) => this.#origins.markRestarted(previous, restarted),
    });
    this.#limits = AdvertisedLimits.of({ ...shared, server: (id) => this.#fleet.server(id) });
    this.#notices = ServerNotices.of({
      ...shared,
      limits: this.#limits,
      markLeaving: ({ id, startedAt }) => this.#fleet.markLeaving(id, startedAt, 'response'),
      instances: () => this.#peers.alive.length + 1,
    });
    this.#throttles = Throttles.of({
      ...shared,
      limits: this.#limits,
      ip: settings.ip,
      hasSeeds: settings.seeds.some((ip) => ip !== settings.ip && ip !== ''),
      peers: () => ({ heard: this.#peers.alive, idle: (entry) => this.#peers.idle(entry) }),
    });
    const { horizon } = this.#fleet.successors;
    this.#quarantines = Quarantines.of({
      ...shared, horizon, crashCheck: CrashCheck.of({ ...shared, fleet: this.#fleet, identity }),
    });
    this.#origins = StreamOrigins.of({
      ...shared,
      servers: () => this.#fleet.servers,
      copyAgeMs: () => this.#storeFeed.serverCopy.ageMs,
      hasPeers: () => this.#peers.alive.length > 0,
    });
    this.#savedOrigins = SavedOrigins.of({
      ...shared,
      reader: this.#store,
      writer: this.#store.writer(platform.records, 'status'),
      kind: platform.originKind,
      name: settings.name,
      origins: this.#origins,
      instances: () => this.#peers.alive.length + 1,
      wallClock: Date.now,
    });
    this.#reach = Reach.of({
      ...shared,
      fleet: this.#fleet,
      identity,
      isRouted: (service) => this.#activeConfiguration.routes?.hasService(service) ?? true,
    });
    this.#forwarding = Forwarding.of({
      ...shared,
      settings,
      reach: this.#reach,
      instancesReaching: (service) => this.#peers.reaching(service),
      overloaded: () => this.#peers.overloaded,
    });
    const uses = WorkspaceUses.of(() => this.#peers.uses, () => this.#peers.ranks);
    this.#rollouts = RelayRollouts.of({
      ...shared,
      settings,
      orders: platform.orders,
      reader: () => this.#store,
      meter: this.#meter,
      fleet: this.#fleet,
      peerLoads,
      alive: () => this.#peers.alive,
    });
    this.#peers = createPeers({
      settings,
      ...shared,
      activeConfiguration: this.#activeConfiguration,
      fleet: this.#fleet,
      limits: this.#limits,
      throttles: this.#throttles,
      quarantines: this.#quarantines,
      origins: this.#origins,
      reach: this.#reach,
      retries: this.#retries,
      meter: this.#meter,
      uses,
      overload,
      rollouts: this.#rollouts,
      storeFeed: () => this.#storeFeed,
    });
    this.#relayContext = {
      ...shared,
      zone: settings.zone,
      dialect: platform.dialect,
      fleet: this.#fleet,
      notices: this.#notices,
      throttles: this.#throttles,
      serverCopy: () => this.#storeFeed.serverCopy,
      connections: this.#connections,
      retries: this.#retries,
      retrySchedules: RetrySchedules.of(),
      meter: this.#meter,
      cachedPrompts: CachedPrompts.of({
        ...identity, log, scheduler: context.lookupScheduler ?? scheduler,
      }),
      silence: SilenceWatch.of(this.#fleet, scheduler, log),
      quarantines: this.#quarantines,
      origins: this.#origins,
      savedOrigins: this.#savedOrigins,
      uses,
      waitingLines: WaitingLines.of(scheduler),
      zoneStays: ZoneStays.of(settings.zoneStayShare ?? 0),
      rollouts: this.#rollouts,
      peerLoads,
      reach: this.#reach,
      forwarding: this.#forwarding,
      stopping: Stopping.of(this.drain, scheduler),
      overload,
      collections: this.#memory.collections,
    };
    this.#storeFeed = this.#createStoreFeed();
    this.#frontend = Frontend.of({
      ...this.#relayContext,
      drain: this.drain,
      random: () => context.random.fraction(),
      routes: () => this.#activeConfiguration.routes,
      memory: this.#memory,
    });
    this.run = this.#supervisorTree().run;
  }

  static of(context: RelayDaemonContext): RelayDaemon {
    return new RelayDaemon(context);
  }

  /** Whether the load balancer may send connections. */
  get ready(): boolean {
    return this.#activeConfiguration.routes !== undefined && this.#fleet.loaded
      && this.drain.state === 'serving' && !this.#forwarding.isCutOff
      && !this.#relayContext.overload.isUnready;
  }

  /** Begins a graceful shutdown. */
  startDrain(): void {
    this.drain.begin();
  }

  #supervisorTree(): Supervisor {
    const children = childrenOf({
      ...this.#context,
      ...this.#relayContext,
      storeFeed: this.#storeFeed,
      peers: this.#peers,
      frontend: this.#frontend,
      savedOrigins: this.#savedOrigins,
      drain: this.drain,
      activeConfiguration: this.#activeConfiguration,
      limits: this.#limits,
      memory: this.#memory,
      isReady: () => this.ready,
    });
    return Supervisor.of('relay', children, this.#context);
  }

  get #store(): MeteredReader {
    const { platform: { objects }, scheduler } = this.#context;
    return MeteredReader.of(objects, scheduler, (call) => (
      this.#meter.record({ kind: 'store_call', call })));
  }

  #createStoreFeed(): StoreFeed {
    return StoreFeed.of({
      ...this.#context.settings,
      ...this.#context,
      platform: { ...this.#context.platform, objects: this.#store },
      fleet: this.#fleet,
      adopt: (configuration, from) => this.#applyConfiguration(configuration, from),
    });
  }

  #applyConfiguration(configuration: RelayConfiguration, from: string): void {
    this.#activeConfiguration.adopt(configuration, from);
    this.#frontend.applyHeadLimits();
  }
}
