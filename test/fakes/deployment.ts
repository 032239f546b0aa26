/** A gateway with stand-in engines in virtual time. */
import { BehaviorSubject } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { sha256 } from '../../src/common/hash.js';
import { silentLog } from '../../src/common/log.js';
import type { Log } from '../../src/common/log.js';
import type { Configuration, Favour, Repeat } from '../../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../../src/configuration/defaults.js';
import type { EngineClient } from '../../src/engines/engine.js';
import { EngineMonitor } from '../../src/engines/monitor.js';
import { Gateway } from '../../src/entry/gateway.js';
import type { GatewayContext } from '../../src/entry/gateway.js';
import type { AnswerEvent, GenerationRequest } from '../../src/generation/request.js';
import { LeastLoaded } from './leastloaded.js';
import { StandInEngine } from '../../src/standin/engine.js';
import type { EngineOptions } from '../../src/standin/engine.js';
import { firstInvalidToken, tokensOf } from '../../src/standin/tokens.js';
import { VirtualClock } from './clock.js';

export const KEY = 'key';

export interface DeploymentOptions {
  readonly favour?: Favour;
  readonly repeat?: Repeat;
  readonly engines?: number;
  readonly engine?: Partial<EngineOptions>;
  readonly context?: Partial<GatewayContext>;
  readonly log?: Log;
  /** Wraps an engine's client, to inject faults. */
  readonly wrap?: (engine: StandInEngine) => EngineClient;
}

export function configurationOf(
  names: readonly string[],
  { favour = 'latency', repeat = 'safe' }: DeploymentOptions,
): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    deployment: { name: 'test', favour, zones: ['a'] },
    models: {
      m: {
        name: 'm',
        version: '1',
        adapters: [],
        replicas: 1,
        memory: 1,
        maxTokens: 4_096,
        priority: 'standard',
        repeat,
      },
    },
    servers: Object.fromEntries(names.map((name) => [name, {
      name,
      kind: 'engine',
      address: name,
      zone: 'a',
      pool: 'p',
      checksFence: true,
      memory: 1,
      drained: false,
    }])),
    workspaces: {
      w: {
        name: 'w',
        keyHashes: [sha256(KEY)],
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

export function requestOf(change: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    id: 'g',
    workspace: 'w',
    model: 'm',
    adapter: undefined,
    input: { kind: 'prompt', text: 'List the ovens' },
    sampling: {
      seed: 1, temperature: 1, maxTokens: 60, stop: [],
    },
    priority: 'standard',
    repeat: 'safe',
    idempotencyKey: undefined,
    ...change,
  };
}

export interface Caller {
  readonly events: AnswerEvent[];
  /** Virtual time at which each event arrived. */
  readonly times: number[];
  text(): string;
  end(): AnswerEvent | undefined;
  leave(): void;
}

export function isCompleteAnswer(request: GenerationRequest, text: string): boolean {
  return firstInvalidToken({ ...request, version: '1' }, text) === -1
    && tokensOf(text).length === request.sampling.maxTokens;
}

export function deployment(options: DeploymentOptions = {}) {
  const clock = new VirtualClock();
  const names = Array.from({ length: options.engines ?? 3 }, (_, index) => `e${index + 1}`);
  const engines = new Map(names.map((name, index) => [name, StandInEngine.of({
    name,
    models: [{ model: 'm', version: '1', adapters: [] }],
    variant: index,
    ...options.engine,
  }, clock, `${name}/1`)]));
  const configurations = new BehaviorSubject(configurationOf(names, options));
  const wrap = options.wrap ?? ((engine: StandInEngine): EngineClient => engine);
  const log = options.log ?? silentLog;
  const paused = { forMs: 0 };
  const scheduler: SchedulerLike = {
    now: () => clock.now() + paused.forMs,
    schedule: clock.schedule.bind(clock),
  };
  const monitor = EngineMonitor.of(({ name }) => wrap(engines.get(name)!), scheduler, log);
  const running = monitor.start(configurations);
  const gateway = Gateway.of({
    dispatcher: LeastLoaded.of(monitor, () => configurations.value, log),
    directory: monitor,
    watcher: monitor,
    scheduler,
    log,
    configuration: () => configurations.value,
    cursorKey: 'secret',
    ...options.context,
  });
  const call = (request: GenerationRequest, answer = gateway.generate(request)): Caller => {
    const events: AnswerEvent[] = [];
    const times: number[] = [];
    const subscription = answer.subscribe((event) => {
      events.push(event);
      times.push(clock.now());
    });
    return {
      events,
      times,
      text: () => events.map((event) => (event.kind === 'token' ? event.text : '')).join(''),
      end: () => events.find((event) => event.kind !== 'token'),
      leave: () => subscription.unsubscribe(),
    };
  };
  const busyEngine = () => [...engines.values()].find(({ work }) => work.streamSteps > 0)!;
  return {
    clock, engines, monitor, gateway, configurations, call, busy: busyEngine, running, paused,
  };
}

/** The longest pause between two events of an answer, in milliseconds. */
export function longestPause({ times }: Caller): number {
  return Math.max(...times.slice(1).map((time, index) => time - times[index]!));
}
