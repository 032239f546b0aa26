/**
 * Several daemons in one process under one virtual clock, with small fakes of what they meet:
 * engines, the object API, the instance list, callers, and the network between all of them.
 */
import { BehaviorSubject } from 'rxjs';
import type { Subscription } from 'rxjs';
import { silentLog } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import type { Configuration, Favour } from '../../src/configuration/configuration.js';
import { encodeStored, parseStored, STORED_NAME } from '../../src/configuration/stored.js';
import { Instance } from '../../src/daemon/instance.js';
import type { Priority } from '../../src/engines/engine.js';
import type { GenerationRequest } from '../../src/generation/request.js';
import type { InstanceSettings } from '../../src/daemon/instance.js';
import { StandInEngine } from '../../src/standin/engine.js';
import { MemoryObjects } from '../../src/standin/objects.js';
import { cut, LEAVING_BOUND_MS, Oracle } from '../fuzz/oracle.js';
import type { Call } from '../fuzz/oracle.js';
import { VirtualClock } from './clock.js';
import {
  deployment, engineEntry, fileText, MODELS, VERSIONS, WORKSPACE,
} from './worldconfiguration.js';
import {
  engineLink, LaggingList, NO_ENGINE_FAULTS, objectLink, peerLink, STORE,
} from './links.js';
import type { EngineFaults, EngineNode } from './links.js';
import { Network } from './network.js';

const STEP_MS = 20;
const SLOTS = 4;

/** Names the engine that runs the most generations at that moment. */
export const BUSIEST = 'busiest';

interface Daemon {
  readonly settings: InstanceSettings;
  instance: Instance | undefined;
  incarnation: number;
}

export interface WorldOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly engines: number;
  readonly favour: Favour;
}

export interface Question {
  readonly daemon: string;
  readonly model: typeof MODELS[number];
  readonly tokens: number;
  readonly priority: Priority;
  readonly stop: readonly string[];
}

function revisionOf(text: string): number {
  return parseStored(text).map(({ revision }) => revision).unwrapOr(0);
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

  readonly configuration: BehaviorSubject<Configuration>;

  readonly #answers = new Map<Call, Subscription>();

  #names = 0;

  private constructor({
    seed, daemons, engines, favour,
  }: WorldOptions) {
    this.random = Random.of(seed);
    this.network = Network.of(this.clock, this.random);
    this.objects = MemoryObjects.of(this.clock, this.random);
    this.list = LaggingList.of(this.network);
    const servers = Array.from({ length: engines }, (_, index) => (
      engineEntry(`engine-${index}`, index % 2 === 0)));
    this.configuration = new BehaviorSubject(deployment(servers, favour));
    this.#store(this.configuration.value, 0).catch(() => undefined);
    this.oracle = Oracle.of(() => this.clock.now(), () => this.configuration.value, VERSIONS);
    servers.forEach((server, variant) => this.#addEngine(server.name, server.checksFence, variant));
    Array.from({ length: daemons }, (_, index) => `daemon-${index}`).forEach((name) => {
      const settings = { name, zone: 'lis-a', peerAddress: name };
      this.daemons.set(name, { settings, instance: undefined, incarnation: 0 });
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

  /** The process that a step's name stands for. */
  place(name: string): string {
    if (name !== BUSIEST) return name;
    const [first] = [...this.engines.values()].map(({ engine }) => engine)
      .sort((left, right) => right.running.length - left.running.length);
    return first!.options.name;
  }

  /** Whether the process runs and is not paused. */
  runs(name: string): boolean {
    const { clock, liveness } = this.network.node(name);
    return liveness === 'up' && !clock.paused;
  }

  startDaemon(name: string): void {
    const daemon = this.daemon(name);
    daemon.incarnation += 1;
    this.network.start(name);
    const { clock } = this.network.node(name);
    const links = { network: this.network, random: this.random, daemon: name };
    const instance = Instance.of(daemon.settings, {
      scheduler: clock,
      random: Random.of(this.random.integer(0, 0x7fff_ffff)),
      log: silentLog,
      dial: (server) => engineLink(links, () => this.engine(server.name), () => {
        this.oracle.dispatched(server.name, this.#informed(name, server.name));
      }),
      objects: objectLink(links, this.objects),
      list: this.list.link(name),
      network: peerLink(links, (peer) => this.daemon(peer).instance?.handlers),
      wallClock: () => clock.wall(),
    });
    instance.run.subscribe();
    daemon.instance = instance;
    this.#publishList();
  }

  /** Ends the daemon at once; its callers see their connections end. */
  killDaemon(name: string, how: 'ended' | 'silent'): void {
    this.network.end(name, how);
    this.daemon(name).instance = undefined;
    this.oracle.open.filter((call) => call.daemon === name).forEach((call) => cut(call));
    this.#publishList();
  }

  crashEngine(name: string, how: 'ended' | 'silent'): void {
    this.network.end(name, how);
    this.engine(name).engine.crash(this.#name('incarnation'));
    this.engine(name).reports.length = 0;
    if (!this.configuration.value.servers[name]!.drained) this.oracle.returns(name);
  }

  setFaults(name: string, faults: Partial<EngineFaults>): void {
    const node = this.engine(name);
    this.engines.set(name, { ...node, faults: { ...node.faults, ...faults } });
  }

  /** An operator changes the stored configuration; `accepted` is called if the store takes it. */
  configure(
    change: (configuration: Configuration) => Partial<Configuration>,
    accepted: () => void = () => undefined,
  ): void {
    const { value } = this.configuration;
    const next = { ...value, ...change(value), revision: value.revision + 1 };
    this.#store(next, value.revision).then((stored) => {
      if (!stored) return;
      this.configuration.next(next);
      accepted();
    }).catch((error: unknown) => this.oracle.violations.push(String(error)));
  }

  /** Takes a server out of use, or back, by configuration. */
  drain(name: string, drained: boolean): void {
    this.configure(({ servers }) => ({
      servers: { ...servers, [name]: { ...servers[name]!, drained } },
    }), () => {
      if (drained) this.oracle.leaves(name);
      else if (this.engine(name).engine.models.role !== 'leaving') this.oracle.returns(name);
    });
  }

  /** The engine takes nothing new from now on. */
  leaveEngine(name: string): void {
    this.engine(name).engine.leave();
    this.oracle.leaves(name);
  }

  ask({
    daemon, model, tokens, priority, stop,
  }: Question): void {
    const { instance } = this.daemon(daemon);
    if (!instance) return;
    const name = this.#name('request');
    const { repeat } = this.configuration.value.models[model]!;
    const request: GenerationRequest = {
      id: name,
      workspace: WORKSPACE,
      model,
      adapter: undefined,
      input: { kind: 'prompt', text: `${name} `.repeat(40) },
      sampling: {
        seed: this.#names, temperature: 1, maxTokens: tokens, stop,
      },
      priority,
      repeat,
      idempotencyKey: undefined,
    };
    const call = this.oracle.asked(daemon, name, request);
    const { clock } = this.network.node(daemon);
    const { epoch } = clock;
    clock.run(epoch, () => {
      if (call.outcome.kind !== 'open') return;
      this.#answers.set(call, instance.gateway.generate(request).subscribe((event) => {
        if (clock.epoch === epoch) this.oracle.answered(call, event);
      }));
    });
  }

  /** The caller of an open request goes away. */
  hangUp(call: Call): void {
    const { clock } = this.network.node(call.daemon);
    cut(call);
    clock.run(clock.epoch, () => this.#answers.get(call)?.unsubscribe());
    this.#answers.delete(call);
  }

  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
    this.oracle.checkWaiting((call) => this.runs(call.daemon));
  }

  /** Ends every fault and lets what is open end; then checks what has run. */
  async finish(maxMs: number): Promise<void> {
    this.network.mendAll();
    [...this.engines.keys(), ...this.daemons.keys()].forEach((name) => {
      if (this.network.node(name).clock.paused) this.network.node(name).clock.wake();
    });
    this.oracle.disturb();
    for (let passed = 0; passed < maxMs && this.oracle.open.length > 0; passed += 1_000) {
      // eslint-disable-next-line no-await-in-loop -- time passes in order
      await this.advance(1_000);
    }
    await this.advance(3_000);
    this.oracle.checkRuns([...this.engines.values()].flatMap(({ engine }) => engine.begun));
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
    }, this.network.node(name).clock, this.#name('incarnation'));
    this.engines.set(name, {
      engine, faults: NO_ENGINE_FAULTS, reports: [],
    });
  }

  /** Stores the configuration over revision `over`, 0 for none; false if it was not taken. */
  async #store(configuration: Configuration, over: number): Promise<boolean> {
    const text = encodeStored({
      revision: configuration.revision,
      files: { 'world.toml': fileText(configuration) },
      history: [],
    }).unwrapOr('');
    const read = await this.objects.get(STORED_NAME, 'configuration');
    if (over > 0 && !read.map(({ value }) => revisionOf(value) === over).unwrapOr(false)) {
      return false;
    }
    const expected = read.isOk()
      ? { kind: 'version', version: read.value.version } as const
      : { kind: 'absent' } as const;
    const put = await this.objects.put(STORED_NAME, text, expected, 'configuration');
    if (put.isOk()) return true;
    const after = await this.objects.get(STORED_NAME, 'configuration');
    return after.map(({ value }) => value === text).unwrapOr(false);
  }

  /** Whether the daemon can have known for a while what the server and the operators said. */
  #informed(daemon: string, server: string): boolean {
    const { clock } = this.network.node(daemon);
    const since = this.clock.now() - LEAVING_BOUND_MS;
    const { faults } = this.engine(server);
    return clock.wokenAt < since && faults.reportLagMs === 0
      && [server, STORE].every((other) => this.network.clearSince(daemon, other) < since);
  }

  #publishList(): void {
    const listed = [...this.daemons.values()].filter(({ instance }) => instance)
      .map(({ settings }) => ({ ...settings, state: 'live' as const }));
    this.list.publish(this.clock.now(), listed);
  }

  #name(kind: string): string {
    this.#names += 1;
    return `${kind}-${this.#names}`;
  }
}
