/**
 * Runs several daemons in one process on one virtual clock, with fakes of their environment:
 * engines, the object API, the instance list, callers, and the network that connects them.
 */
import { silentLog } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import type { Configuration, Favour } from '../../src/configuration/configuration.js';
import { Instance } from '../../src/daemon/instance.js';
import type { InstanceSettings } from '../../src/daemon/instance.js';
import { StandInEngine } from '../../src/standin/engine.js';
import { MemoryObjects, NO_FAULTS } from '../../src/standin/objects.js';
import type { ObjectFaults } from '../../src/standin/objects.js';
import { endCall, LEAVING_BOUND_MS, Oracle } from '../fuzz/oracle.js';
import { CONFIGURATION_BOUND_MS, Revisions } from '../fuzz/revisions.js';
import { Callers } from './callers.js';
import { VirtualClock } from './clock.js';
import {
  initialConfiguration, engineEntry, fileText, MODELS, VERSIONS,
} from './worldconfiguration.js';
import {
  engineLink, LaggingList, NO_ENGINE_FAULTS, objectLink, peerLink, STORE,
} from './links.js';
import type { EngineFaults, EngineNode } from './links.js';
import { Network } from './network.js';
import { Operators, OPERATORS } from './operators.js';

const STEP_MS = 20;
const SLOTS = 4;
const DRAIN = { lagMs: 2_000, limitMs: 120_000 };
/** A watch that fell silent is replaced within this time. */
const WATCH_RENEWAL_MS = 24_500;
const EPOCH_MS = 1_700_000_000_000;

interface Daemon {
  readonly settings: InstanceSettings;
  instance: Instance | undefined;
  incarnation: number;
  /** Time at which its graceful stop began. */
  stoppedAt: number | undefined;
}

export interface WorldOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly engines: number;
  readonly favour: Favour;
}

export class World {
  readonly clock = new VirtualClock();

  readonly random: Random;

  readonly network: Network;

  readonly objects: MemoryObjects;

  readonly list: LaggingList;

  readonly oracle: Oracle;

  readonly engines = new Map<string, EngineNode>();

  readonly daemons = new Map<string, Daemon>();

  readonly revisions: Revisions;

  readonly base: Configuration;

  readonly operators: Operators;

  readonly callers: Callers;

  #storeUpSince = 0;

  #watchesRenewedAt = 0;

  #nameCount = 0;

  private constructor({
    seed, daemons, engines, favour,
  }: WorldOptions) {
    this.random = Random.of(seed);
    this.network = Network.of(this.clock, this.random);
    this.objects = MemoryObjects.of(this.clock, this.random);
    this.list = LaggingList.of(this.network);
    const servers = Array.from({ length: engines }, (_, index) => (
      engineEntry(`engine-${index}`, index % 2 === 0)));
    this.base = initialConfiguration(servers, favour);
    this.oracle = Oracle.of(() => this.clock.now(), this.base, VERSIONS);
    this.revisions = Revisions.of(() => this.clock.now(), (what) => this.oracle.report(what));
    this.operators = Operators.of(this);
    this.operators.begin(fileText(this.base));
    this.callers = Callers.of(this);
    servers.forEach((server, variant) => this.#addEngine(server.name, server.checksFence, variant));
    Array.from({ length: daemons }, (_, index) => `daemon-${index}`).forEach((name) => {
      const settings = {
        name, zone: 'lis-a', peerAddress: name, cursorKey: 'cursor-key', drain: DRAIN,
      };
      this.daemons.set(name, {
        settings, instance: undefined, incarnation: 0, stoppedAt: undefined,
      });
    });
    this.daemons.forEach((_, name) => this.startDaemon(name));
  }

  static of(options: WorldOptions): World {
    return new World(options);
  }

  daemon(name: string): Daemon {
    return this.daemons.get(name)!;
  }

  engine(name: string): EngineNode {
    return this.engines.get(name)!;
  }

  /** Whether the process is up and not paused. */
  isRunning(name: string): boolean {
    const { clock, liveness } = this.network.node(name);
    return liveness === 'up' && !clock.paused;
  }

  startDaemon(name: string): void {
    const daemon = this.daemon(name);
    daemon.incarnation += 1;
    daemon.stoppedAt = undefined;
    this.network.start(name);
    const { clock } = this.network.node(name);
    clock.wokenAt = this.clock.now();
    const links = { network: this.network, random: this.random, daemon: name };
    const instance = Instance.of(daemon.settings, {
      scheduler: clock,
      random: Random.of(this.random.integer(0, 0x7fff_ffff)),
      log: silentLog,
      dial: (server) => engineLink(links, () => this.engine(server.name), () => {
        this.oracle.checkDispatch(server.name, this.#couldKnow(name, server.name));
      }),
      objects: objectLink(links, this.objects),
      list: this.list.link(name),
      network: peerLink(links, (peer) => this.daemon(peer).instance?.handlers),
      // Incarnations are wall-clock times; a process never starts twice in one millisecond.
      wallClock: () => EPOCH_MS + clock.wall() + daemon.incarnation,
    });
    instance.run.subscribe();
    daemon.instance = instance;
    this.#publishList();
  }

  /** Kills the daemon; its callers see their connections end. */
  killDaemon(name: string, how: 'ended' | 'silent'): void {
    this.network.end(name, how);
    this.daemon(name).instance = undefined;
    this.oracle.open.filter((call) => call.daemon === name)
      .forEach((call) => endCall(call, 'daemon'));
    this.#publishList();
  }

  /** Stops the daemon gracefully: its process exits once its open answers have ended. */
  stopDaemon(name: string): void {
    const { instance } = this.daemon(name);
    const { clock } = this.network.node(name);
    clock.run(clock.epoch, () => {
      instance?.leave();
      this.daemon(name).stoppedAt = this.clock.now();
      this.#publishList();
      instance?.drain.ended.subscribe((whole) => {
        if (this.daemon(name).instance !== instance) return;
        const open = this.oracle.open.filter((call) => call.daemon === name);
        if (whole && open.length > 0) this.oracle.report(`${name} stopped and cut ${open.length}`);
        this.killDaemon(name, 'ended');
      });
    });
  }

  /** Whether the balancer still sends requests to the daemon. */
  inBalancer(name: string): boolean {
    const { instance, stoppedAt } = this.daemon(name);
    if (instance === undefined) return false;
    return stoppedAt === undefined || this.clock.now() - stoppedAt < DRAIN.lagMs;
  }

  crashEngine(name: string, how: 'ended' | 'silent'): void {
    this.network.end(name, how);
    this.engine(name).engine.crash(this.uniqueName('incarnation'));
    this.engine(name).reports.length = 0;
    this.oracle.serverReturned(name);
  }

  setEngineFaults(name: string, faults: Partial<EngineFaults>): void {
    const node = this.engine(name);
    this.engines.set(name, { ...node, faults: { ...node.faults, ...faults } });
  }

  /** Replaces the store's faults; without any, the store works again. */
  setStoreFaults(faults: Partial<ObjectFaults>): void {
    const before = this.objects.faults();
    this.objects.setFaults({ ...NO_FAULTS, ...faults });
    const now = this.clock.now();
    // A watch that missed changes delivers them only after its renewal.
    if (before.silentWatches) this.#watchesRenewedAt = now + WATCH_RENEWAL_MS;
    const healthy = Object.keys(faults).length === 0;
    if (!healthy) this.#storeUpSince = Number.POSITIVE_INFINITY;
    else if (this.#storeUpSince > now) this.#storeUpSince = Math.max(now, this.#watchesRenewedAt);
  }

  /** Makes the engine leave: it takes no new work from now on. */
  leaveEngine(name: string): void {
    this.engine(name).engine.stopAccepting();
    this.oracle.serverLeaving(name);
  }

  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
    this.oracle.checkWaits((call) => this.isRunning(call.daemon));
    this.daemons.forEach(({ instance, incarnation }, name) => {
      if (!instance || !this.isRunning(name)) return;
      // A daemon that has just started waits before it puts its first revision in force.
      const boundMs = CONFIGURATION_BOUND_MS * (instance.configuration.revision === 0 ? 2 : 1);
      const reachedStore = this.#reachedStoreSince(name, this.clock.now() - boundMs);
      this.revisions.sample(`${name}/${incarnation}`, instance.configuration, reachedStore);
    });
  }

  /** Ends all faults, lets open calls finish, and checks what the engines ran. */
  async finish(maxMs: number): Promise<void> {
    this.network.healAll();
    this.setStoreFaults({});
    [...this.engines.keys(), ...this.daemons.keys(), ...OPERATORS].forEach((name) => {
      if (this.network.node(name).clock.paused) this.network.node(name).clock.wake();
    });
    this.oracle.recordDisturbance();
    for (let passed = 0; passed < maxMs && this.oracle.open.length > 0; passed += 1_000) {
      // eslint-disable-next-line no-await-in-loop -- the steps run in sequence
      await this.advance(1_000);
    }
    const untilRenewedMs = this.#watchesRenewedAt - this.clock.now();
    await this.advance(Math.max(0, untilRenewedMs) + 2 * CONFIGURATION_BOUND_MS + 1_000);
    await this.operators.checkRefused();
    this.engines.forEach(({ engine }, name) => (
      this.oracle.checkOrders(name, engine.models.orders)));
    this.oracle.checkRuns([...this.engines.values()].flatMap(({ engine }) => engine.started));
  }

  #addEngine(name: string, checksFence: boolean, variant: number): void {
    const engine = StandInEngine.of({
      name,
      checksFence,
      variant,
      stepMs: STEP_MS,
      slots: SLOTS,
      models: MODELS.flatMap((model) => VERSIONS.map((version) => ({
        model, version, adapters: [],
      }))),
    }, this.network.node(name).clock, this.uniqueName('incarnation'));
    this.engines.set(name, {
      engine, faults: NO_ENGINE_FAULTS, reports: [],
    });
  }

  /** Whether the daemon has had time to learn of the server's leaving and operators' changes. */
  #couldKnow(daemon: string, server: string): boolean {
    const { clock } = this.network.node(daemon);
    const since = this.clock.now() - LEAVING_BOUND_MS;
    const { faults } = this.engine(server);
    return clock.wokenAt < since && faults.reportLagMs === 0
      && this.network.clearSince(daemon, server) < since && this.#reachedStoreSince(daemon, since);
  }

  /** Whether the daemon has been running, and could reach the store, since `since`. */
  #reachedStoreSince(daemon: string, since: number): boolean {
    return this.network.node(daemon).clock.wokenAt < since && this.#storeUpSince < since
      && this.network.clearSince(daemon, STORE) < since;
  }

  #publishList(): void {
    const listed = [...this.daemons.values()].filter(({ instance }) => instance)
      .map(({ settings: { name, zone, peerAddress }, instance }) => ({
        name,
        zone,
        peerAddress,
        state: instance?.drain.state === 'serving' ? 'live' as const : 'leaving' as const,
      }));
    this.list.publish(this.clock.now(), listed);
  }

  /** Returns a name that is unique in this world. */
  uniqueName(kind: string): string {
    this.#nameCount += 1;
    return `${kind}-${this.#nameCount}`;
  }
}
