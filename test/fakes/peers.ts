/**
 * A cluster of daemons that run the membership state machine over a network in virtual time. The
 * network can lose all messages from one daemon to another. A daemon can crash, restart, or be
 * paused, and processes the timers and messages of the meantime when it wakes.
 */
import type { SchedulerLike } from 'rxjs';
import { Random } from '../../src/common/random.js';
import type { Member } from '../../src/membership/instances.js';
import {
  EXCHANGE_DEADLINE_MS, PERIOD_MS, PROBE_DEADLINE_MS, transaction,
} from '../../src/membership/membership.js';
import type { Effect, Event } from '../../src/membership/membership.js';
import { plainHeartbeat } from '../../src/membership/merge.js';
import { PROTOCOL } from '../../src/membership/message.js';
import type { Heartbeat, PeerAnswer, PeerRequest } from '../../src/membership/message.js';
import { initialState, membersOf } from '../../src/membership/state.js';
import type { State } from '../../src/membership/state.js';

const LATENCY_MS = 2;

export interface Options {
  readonly scheduler: SchedulerLike;
  readonly names: readonly string[];
  readonly seed: number;
  /** Called with every message when it is sent. */
  readonly onMessage?: (from: string, to: string, message: PeerRequest | PeerAnswer) => void;
  /** Wraps each daemon's transactions, so that a benchmark can measure them. */
  readonly measure?: <Value>(name: string, run: () => Value) => Value;
}

interface Daemon {
  state: State;
  running: boolean;
  paused: boolean;
  /** Increases with each start, so that timers of an earlier run are ignored. */
  run: number;
  readonly timers: (() => void)[];
  readonly arrivals: (() => void)[];
}

export class Cluster {
  readonly log: string[] = [];

  readonly #options: Options;

  readonly #random: Random;

  readonly #daemons = new Map<string, Daemon>();

  readonly #cut = new Set<string>();

  private constructor(options: Options) {
    this.#options = options;
    this.#random = Random.of(options.seed);
  }

  /** Starts all daemons, each with an instance list that contains all of them. */
  static of(options: Options): Cluster {
    const cluster = new Cluster(options);
    options.names.forEach((name) => cluster.start(name));
    return cluster;
  }

  start(name: string): void {
    const now = this.#options.scheduler.now();
    const run = (this.#daemons.get(name)?.run ?? 0) + 1;
    const identity = {
      name, zone: 'z', peerAddress: name, incarnation: run,
    };
    this.#daemons.set(name, {
      state: initialState(identity, now),
      running: true,
      paused: false,
      run,
      timers: [],
      arrivals: [],
    });
    this.list(name, this.#options.names);
    this.#schedule(name, this.#random.integer(0, PERIOD_MS), () => this.#tick(name));
  }

  list(name: string, names: readonly string[]): void {
    const instances = names.map((other) => ({
      name: other, zone: 'z', peerAddress: other, state: 'live' as const,
    }));
    this.event(name, { kind: 'listed', instances });
  }

  crash(name: string): void {
    this.#daemon(name).running = false;
  }

  pause(name: string): void {
    this.#daemon(name).paused = true;
  }

  /** Resumes as an event loop does: first the timers that are due, then received messages. */
  wake(name: string): void {
    const daemon = this.#daemon(name);
    daemon.paused = false;
    [...daemon.timers.splice(0), ...daemon.arrivals.splice(0)].forEach((action) => action());
  }

  /** Drops all messages from any of `from` to any of `to`. */
  cut(from: readonly string[], to: readonly string[]): void {
    from.forEach((name) => to.forEach((other) => this.#cut.add(`${name}>${other}`)));
  }

  heal(): void {
    this.#cut.clear();
  }

  state(name: string): State {
    return this.#daemon(name).state;
  }

  members(name: string): readonly Member[] {
    return membersOf(this.state(name));
  }

  /** The members in the view of `name`, each with its state unless it is alive. */
  view(name: string): string {
    return this.members(name)
      .map((member) => (member.state === 'alive' ? member.name : `${member.name}:${member.state}`))
      .join(' ');
  }

  event(name: string, event: Event): Heartbeat | undefined {
    const daemon = this.#daemon(name);
    const context = { now: this.#options.scheduler.now(), random: this.#random };
    const run = () => transaction(daemon.state, event, context);
    const tr = this.#options.measure ? this.#options.measure(name, run) : run();
    daemon.state = tr.state;
    tr.effects.forEach((effect) => this.#perform(name, effect));
    return tr.reply;
  }

  #daemon(name: string): Daemon {
    return this.#daemons.get(name)!;
  }

  #tick(name: string): void {
    this.event(name, { kind: 'tick' });
    this.#schedule(name, PERIOD_MS, () => this.#tick(name));
  }

  /** Runs `action` on the daemon after `delayMs`, on waking if paused, not at all if it crashed. */
  #schedule(
    name: string,
    delayMs: number,
    action: () => void,
    queue: 'timers' | 'arrivals' = 'timers',
  ): void {
    const { run } = this.#daemon(name);
    const guarded = () => {
      const daemon = this.#daemon(name);
      if (!daemon.running || daemon.run !== run) return;
      if (daemon.paused) daemon[queue].push(guarded);
      else action();
    };
    this.#options.scheduler.schedule(guarded, delayMs);
  }

  #perform(name: string, effect: Effect): void {
    const sentAt = this.#options.scheduler.now();
    switch (effect.kind) {
      case 'exchange':
        this.#call(name, effect.peer, effect.message, EXCHANGE_DEADLINE_MS, (answer) => {
          this.event(name, answer
            ? { kind: 'answered', peer: effect.peer, answer }
            : { kind: 'lost', peer: effect.peer, sentAt });
        });
        break;
      case 'probe':
        this.#call(name, effect.relay, effect.message, PROBE_DEADLINE_MS, (answer) => {
          const reached = answer?.kind === 'probed' ? answer.reached : undefined;
          const { target } = effect.message;
          this.event(name, {
            kind: 'probed', target, reached, sentAt,
          });
        });
        break;
      case 'condition':
        this.log.push(`${name}: ${effect.name} ${effect.condition} ${effect.reason}`);
        break;
      case 'resumed':
        this.log.push(`${name}: resumed`);
        break;
    }
  }

  #call(
    from: string,
    to: string,
    message: PeerRequest,
    deadlineMs: number,
    done: (answer: PeerAnswer | undefined) => void,
  ): void {
    let open = true;
    const finish = (answer: PeerAnswer | undefined) => {
      if (open) done(answer);
      open = false;
    };
    this.#send(from, to, message, () => this.#answer(to, message, (answer) => {
      this.#send(to, from, answer, () => finish(answer));
    }));
    this.#schedule(from, deadlineMs, () => finish(undefined));
  }

  #send(from: string, to: string, message: PeerRequest | PeerAnswer, arrive: () => void): void {
    this.#options.onMessage?.(from, to, message);
    if (this.#cut.has(`${from}>${to}`)) return;
    if (this.#daemons.has(to)) this.#schedule(to, LATENCY_MS, arrive, 'arrivals');
  }

  #answer(name: string, message: PeerRequest, reply: (answer: PeerAnswer) => void): void {
    if (message.kind === 'heartbeat') {
      reply(this.event(name, { kind: 'received', heartbeat: message })!);
      return;
    }
    const { target } = message;
    const heartbeat = plainHeartbeat(this.state(name), target, PROTOCOL);
    this.#call(name, target, heartbeat, EXCHANGE_DEADLINE_MS, (answer) => reply({
      kind: 'probed', protocol: PROTOCOL, target, reached: answer !== undefined,
    }));
  }
}

/** `count` distinct names in sorted order. */
export function namesOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `d${String(index).padStart(3, '0')}`);
}

interface VirtualTime { maxFrames: number; frame: number; flush(): void }

/** Runs the scheduler up to `until`, from where a test can continue. */
export function runTo(scheduler: VirtualTime, until: number): void {
  Object.assign(scheduler, { maxFrames: until });
  scheduler.flush();
  Object.assign(scheduler, { frame: until });
}
