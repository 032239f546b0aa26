/**
 * Several daemons' dispatchers before stand-in engines under virtual time, and callers that send
 * price checks and inventories through a balancer that picks a daemon at random.
 */
import { ok } from 'neverthrow';
import { BehaviorSubject } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import type { Configuration } from '../src/configuration/configuration.js';
import type { Directory } from '../src/engines/directory.js';
import type { Priority } from '../src/common/priority.js';
import { BLOCK_CHARACTERS } from '../src/engines/prefix.js';
import { EngineMonitor } from '../src/engines/monitor.js';
import type { Chooser } from '../src/routing/choice.js';
import type { Dispatcher } from '../src/routing/dispatcher.js';
import { Router } from '../src/routing/router.js';
import { StandInEngine } from '../src/standin/engine.js';
import type { WorkCount } from '../src/standin/engine.js';
import { VirtualClock } from '../test/fakes/clock.js';
import { Baseline } from './baselines.js';
import type { Rule } from './baselines.js';
import { configurationOf, SLOTS, WORKSPACES } from './routingsite.js';
import type { Setting } from './routingsite.js';

export type Policy =
  | { readonly kind: 'router'; readonly choose?: Chooser }
  | { readonly kind: 'baseline'; readonly rule: Rule };

/** What callers send; rates are requests per second. */
export interface Traffic {
  readonly checksPerSecond: number;
  /** Model that price checks ask for: the long pool's engines hold `long`, the others `short`. */
  readonly checksModel: 'long' | 'short';
  readonly inventoriesPerSecond: number;
  /** Shares of the inventories by workspace, the large ones first. */
  readonly workspaceShares: readonly number[];
  readonly seconds: number;
  /** Resumes with long prompts that come at once, as after the loss of several engines. */
  readonly resumes?: number;
}

export interface Sample {
  readonly kind: 'check' | 'inventory' | 'resume';
  readonly workspace: string;
  readonly firstTokenMs: number;
}

export interface Measured {
  readonly samples: readonly Sample[];
  readonly refused: Readonly<Record<Sample['kind'], number>>;
  /** Inventories sent, by workspace. */
  readonly offered: Readonly<Record<string, number>>;
  /** Inventories that got their first token, whenever they were asked for. */
  readonly begun: number;
  /** Tokens made by the engines. */
  readonly steps: number;
  readonly prefillTokens: number;
  readonly crossZone: number;
}

const CACHE_BLOCKS = 512;
const CROSS_ZONE_MS = 3;
const TEMPLATES = 4;
const TEMPLATE_BLOCKS = 24;
const MILLISECONDS = 1_000;
const WARM_UP_MS = 2_000;

/** A text of whole blocks that begins no other one. */
function textOf(seed: number, blocks: number): string {
  const word = `${seed.toString(36).padStart(8, '0')} `;
  return word.repeat(blocks * BLOCK_CHARACTERS).slice(0, blocks * BLOCK_CHARACTERS);
}

export class RoutingWorld {
  readonly #setting: Setting;

  readonly #random: Random;

  readonly #clock = new VirtualClock();

  readonly #configuration: Configuration;

  readonly #engines: ReadonlyMap<string, StandInEngine>;

  readonly #dispatchers: readonly Dispatcher[];

  readonly #samples: Sample[] = [];

  readonly #refused = { check: 0, inventory: 0, resume: 0 };

  /** First tokens of inventories while measuring, whenever they were asked for. */
  #begun = 0;

  readonly #offered: Record<string, number> = {};

  #sent = 0;

  #crossZone = 0;

  #measuring = false;

  private constructor(setting: Setting, policy: Policy, seed: number) {
    this.#setting = setting;
    this.#random = Random.of(seed);
    this.#configuration = configurationOf(setting);
    this.#engines = new Map(Object.values(this.#configuration.servers)
      .map(({ name, pool: kind }) => [name, StandInEngine.of({
        name,
        stepMs: setting.stepMs,
        slots: SLOTS,
        cacheCapacityBlocks: CACHE_BLOCKS,
        models: [{ model: kind, version: '1', adapters: [] }],
      }, this.#clock, 'i1')]));
    this.#dispatchers = Array.from({ length: setting.daemons }, (_, index) => (
      this.#daemon(policy, index, seed)));
  }

  static of(setting: Setting, policy: Policy, seed: number): RoutingWorld {
    return new RoutingWorld(setting, policy, seed);
  }

  async run(traffic: Traffic): Promise<Measured> {
    this.#arrive(traffic.checksPerSecond, () => this.#check(traffic));
    this.#arrive(traffic.inventoriesPerSecond, () => this.#inventory(traffic));
    await this.#clock.advance(WARM_UP_MS);
    const before = this.#work();
    this.#measuring = true;
    for (let resume = 0; resume < (traffic.resumes ?? 0); resume += 1) this.#resume();
    await this.#clock.advance(traffic.seconds * MILLISECONDS);
    this.#measuring = false;
    return {
      samples: this.#samples,
      refused: this.#refused,
      offered: this.#offered,
      begun: this.#begun,
      steps: this.#work().streamSteps - before.streamSteps,
      prefillTokens: this.#work().prefillTokens - before.prefillTokens,
      crossZone: this.#crossZone,
    };
  }

  #work(): WorkCount {
    const works = [...this.#engines.values()].map(({ work }) => work);
    return {
      streamSteps: works.reduce((sum, { streamSteps }) => sum + streamSteps, 0),
      prefillTokens: works.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0),
    };
  }

  #zone(daemon: number): string {
    return this.#setting.zones[daemon % this.#setting.zones.length]!;
  }

  #daemon(policy: Policy, index: number, seed: number): Dispatcher {
    const scheduler = this.#clock;
    const random = Random.of(seed * 100 + index);
    const configurations = new BehaviorSubject(this.#configuration);
    const monitor = EngineMonitor.of(({ name }) => this.#engines.get(name)!, scheduler);
    // Daemons ask for reports at different times.
    this.#clock.schedule(() => monitor.start(configurations), random.integer(0, 200));
    const directory: Directory = monitor;
    switch (policy.kind) {
      case 'baseline': return Baseline.of(policy.rule, {
        directory,
        scheduler,
        random,
        configuration: () => this.#configuration,
        perEngine: Math.ceil(SLOTS / this.#setting.daemons),
      });
      case 'router': {
        const router = Router.of({
          directory,
          configurations,
          admissions: { admit: () => ok({ release: () => undefined }) },
          scheduler,
          random,
          log: silentLog,
          leaving: () => new Set(),
          daemons: () => this.#setting.daemons,
          zone: this.#zone(index),
          ...(policy.choose ? { choose: policy.choose } : {}),
        });
        router.start();
        return router;
      }
    }
  }

  /** Calls `send` at random times, `perSecond` on average. */
  #arrive(perSecond: number, send: () => void): void {
    if (perSecond === 0) return;
    const next = () => {
      send();
      this.#clock.schedule(next, this.#gap(perSecond));
    };
    this.#clock.schedule(next, this.#gap(perSecond));
  }

  #gap(perSecond: number): number {
    return (-Math.log(1 - this.#random.fraction()) / perSecond) * MILLISECONDS;
  }

  #check({ checksModel }: Traffic): void {
    const name = this.#random.integer(0, WORKSPACES - 1);
    const text = textOf(name, 2) + textOf(1_000_000 + this.#sent, 2);
    this.#send('check', `w${name}`, 'interactive', checksModel, text, 24);
  }

  #inventory({ workspaceShares }: Traffic): void {
    let rest = this.#random.fraction();
    const found = workspaceShares.findIndex((share) => {
      rest -= share;
      return rest < 0;
    });
    const name = found < 0 ? workspaceShares.length : found;
    const template = textOf(
      1_000 + name * TEMPLATES + this.#random.integer(0, TEMPLATES - 1), (
        TEMPLATE_BLOCKS),
    );
    const workspaceName = `w${name}`;
    if (this.#measuring) {
      this.#offered[workspaceName] = (this.#offered[workspaceName] ?? 0) + 1;
    }
    const own = textOf(2_000_000 + this.#sent, this.#random.integer(4, 24));
    this.#send('inventory', workspaceName, 'batch', 'long', template + own, 4_096);
  }

  #resume(): void {
    this.#send('resume', 'w0', 'batch', 'long', textOf(3_000_000 + this.#sent, 160), 4_096);
  }

  #send(
    kind: Sample['kind'],
    name: string,
    priority: Priority,
    asked: string,
    text: string,
    maxTokens: number,
  ): void {
    const daemon = this.#random.integer(0, this.#dispatchers.length - 1);
    const sentAt = this.#clock.now();
    const measuring = this.#measuring;
    const request = `r${this.#sent}`;
    const input = { kind: 'prompt', text } as const;
    this.#sent += 1;
    this.#dispatchers[daemon]!.assign({
      requestId: request,
      workspace: name,
      priority,
      target: {
        kind: 'model', model: asked, version: undefined, adapter: undefined, input,
      },
      resume: kind === 'resume',
      exclude: [],
    }).subscribe((result) => {
      if (result.isErr()) {
        if (measuring) this.#refused[kind] += 1;
        return;
      }
      const { server, release } = result.value;
      const far = this.#configuration.servers[server]?.zone !== this.#zone(daemon);
      if (measuring && far) this.#crossZone += 1;
      this.#engines.get(server)!.generate({
        generation: request,
        attempt: 1,
        model: asked,
        version: '1',
        adapter: undefined,
        input,
        accepted: { text: '', tokens: 0 },
        sampling: {
          seed: 1, temperature: 1, maxTokens, stop: [],
        },
        priority,
      }).subscribe((event) => {
        const first = event.kind === 'token' && event.position === 0;
        if (first && kind === 'inventory' && this.#measuring) this.#begun += 1;
        if (first && measuring) {
          const firstTokenMs = this.#clock.now() - sentAt + (far ? CROSS_ZONE_MS : 0);
          this.#samples.push({ kind, workspace: name, firstTokenMs });
        }
        if (event.kind === 'finish') release('answered');
        if (event.kind === 'failed') release('failed');
      });
    });
  }
}
