/**
 * Runs the membership protocol: timers, polls of the platform's instance list, and heartbeats to
 * and from peers. The decisions are made by the state machine in `membership`; this class feeds it
 * events and performs its effects.
 */
import {
  BehaviorSubject, catchError, defer, distinctUntilChanged, EMPTY, ignoreElements, map, merge,
  repeat, tap, timer,
} from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Child } from '../common/supervisor.js';
import type {
  InstanceList, Member, MembershipView, PeerNetwork,
} from './instances.js';
import {
  EXCHANGE_DEADLINE_MS, PERIOD_MS, PROBE_DEADLINE_MS, transaction,
} from './membership.js';
import type { Effect, Event } from './membership.js';
import { plainHeartbeat } from './merge.js';
import { answerSchema, MAX_KEY, PROTOCOL } from './message.js';
import type { PeerAnswer, PeerRequest, Probe } from './message.js';
import { SoftState } from './softstate.js';
import { initialState, membersOf } from './state.js';
import type { Identity, State } from './state.js';

/** Interval between reads of the platform's instance list. */
const LIST_PERIOD_MS = 30_000;
/** The same interval while no other member is known. */
const DISCOVERY_PERIOD_MS = 2_000;
const JITTER = 0.1;

export interface HeartbeatsOptions {
  /** This daemon. Its incarnation must be higher than in any earlier run. */
  readonly identity: Identity;
  readonly list: InstanceList;
  readonly network: PeerNetwork;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

function sameMembers(left: readonly Member[], right: readonly Member[]): boolean {
  return left.length === right.length && left.every((member, index) => {
    const other = right[index]!;
    return member.name === other.name && member.state === other.state
      && member.incarnation === other.incarnation && member.revision === other.revision
      && member.peerAddress === other.peerAddress;
  });
}

export class Heartbeats implements MembershipView, Child {
  readonly name = 'heartbeats';

  readonly run: Observable<never>;

  readonly members: Observable<readonly Member[]>;

  readonly softState: SoftState;

  readonly #options: HeartbeatsOptions;

  readonly #states: BehaviorSubject<State>;

  readonly #unsupported = new Set<string>();

  #listRead = false;

  #cached: { readonly state: State; readonly members: readonly Member[] } | undefined;

  private constructor(options: HeartbeatsOptions) {
    this.#options = options;
    // A wall clock may return fractions of a millisecond; the message schema requires an integer.
    const incarnation = Math.floor(options.identity.incarnation);
    const identity = { ...options.identity, incarnation };
    this.#states = new BehaviorSubject(initialState(identity, options.scheduler.now()));
    this.members = this.#states.pipe(
      map(() => this.current()),
      distinctUntilChanged(sameMembers),
    );
    this.softState = SoftState.of(
      this.#states,
      () => this.#states.value,
      (key, value) => this.#publish(key, value),
    );
    this.run = merge(this.#ticks(), this.#listReads());
  }

  static of(options: HeartbeatsOptions): Heartbeats {
    return new Heartbeats(options);
  }

  /** Cached per state, because routing calls this for every decision. */
  current(): readonly Member[] {
    const state = this.#states.value;
    if (this.#cached?.state !== state) this.#cached = { state, members: membersOf(state) };
    return this.#cached.members;
  }

  /** Whether another instance is a member or is listed as live by the platform. */
  get expectsPeers(): boolean {
    const { listed } = this.#states.value;
    return this.current().length > 1 || [...listed.values()].some(({ state }) => state === 'live');
  }

  /** Names of the other instances in the platform's list; undefined until the first read. */
  listed(): readonly string[] | undefined {
    return this.#listRead ? [...this.#states.value.listed.keys()] : undefined;
  }

  /** Scheduler time of the last contact with any peer; the start time if there was none. */
  lastContactAt(): number {
    return this.#states.value.lastContactAt;
  }

  /** Announces to all members that this daemon is leaving. */
  leave(): void {
    this.#apply({ kind: 'leave' });
  }

  /** Answers a peer's heartbeat or probe. */
  async receive(request: PeerRequest): Promise<PeerAnswer> {
    if (request.kind === 'probe') return this.#answerProbe(request);
    return this.#apply({ kind: 'received', heartbeat: request })!;
  }

  #ticks(): Observable<never> {
    const { scheduler, random } = this.#options;
    return defer(() => timer(random.jitter(PERIOD_MS, JITTER), scheduler)).pipe(
      tap(() => this.#apply({ kind: 'tick' })),
      repeat(),
      ignoreElements(),
    );
  }

  #listReads(): Observable<never> {
    const { scheduler, random } = this.#options;
    const pause = () => {
      const alone = this.current().length <= 1;
      return timer(random.jitter(alone ? DISCOVERY_PERIOD_MS : LIST_PERIOD_MS, JITTER), scheduler);
    };
    return defer(() => this.#options.list.read()).pipe(
      tap((instances) => {
        this.#listRead = true;
        this.#apply({ kind: 'listed', instances });
      }),
      catchError((error: unknown) => {
        this.#options.log.event('warn', 'list_unread', { reason: String(error) });
        return EMPTY;
      }),
      repeat({ delay: pause }),
      ignoreElements(),
    );
  }

  /** Rejects invalid keys here: peers would refuse every heartbeat that contains one. */
  #publish(key: string, value: unknown): void {
    if (key.length > 0 && key.length <= MAX_KEY) this.#apply({ kind: 'publish', key, value });
    else this.#options.log.event('error', 'key_refused', { key: key.slice(0, MAX_KEY) });
  }

  #apply(event: Event) {
    const { scheduler, random } = this.#options;
    const { state, effects, reply } = transaction(
      this.#states.value,
      event,
      { now: scheduler.now(), random },
    );
    if (state !== this.#states.value) this.#states.next(state);
    effects.forEach((effect) => this.#perform(effect));
    return reply;
  }

  #perform(effect: Effect): void {
    const { log } = this.#options;
    switch (effect.kind) {
      case 'exchange':
        this.#exchange(effect).catch((error: unknown) => {
          log.event('error', 'heartbeat_failed', { peer: effect.peer, reason: String(error) });
        });
        break;
      case 'probe':
        this.#requestProbe(effect).catch((error: unknown) => {
          log.event('error', 'probe_failed', { relay: effect.relay, reason: String(error) });
        });
        break;
      case 'condition':
        log.event(effect.condition === 'alive' ? 'info' : 'warn', 'member', {
          member: effect.name, condition: effect.condition, reason: effect.reason,
        });
        break;
      case 'resumed':
        log.event('warn', 'resumed', { paused_ms: Math.round(effect.pausedMs) });
        break;
    }
  }

  async #send(
    address: string,
    message: PeerRequest,
    deadlineMs: number,
  ): Promise<PeerAnswer | undefined> {
    try {
      return answerSchema.parse(await this.#options.network.exchange(address, message, deadlineMs));
    } catch (error) {
      this.#options.log.event('debug', 'peer_silent', { peer: address, reason: String(error) });
      return undefined;
    }
  }

  async #exchange(effect: Extract<Effect, { kind: 'exchange' }>): Promise<void> {
    const { peer, peerAddress, message } = effect;
    const sentAt = this.#options.scheduler.now();
    const answer = await this.#send(peerAddress, message, EXCHANGE_DEADLINE_MS);
    this.#logUnsupported(peer, answer);
    this.#apply(answer ? { kind: 'answered', peer, answer } : { kind: 'lost', peer, sentAt });
  }

  /** Logs a peer's different protocol version, once until it answers in this version. */
  #logUnsupported(peer: string, answer: PeerAnswer | undefined): void {
    if (answer?.kind !== 'unsupported') {
      if (answer) this.#unsupported.delete(peer);
      return;
    }
    if (this.#unsupported.has(peer)) return;
    this.#unsupported.add(peer);
    this.#options.log.event('warn', 'peer_protocol', {
      peer, theirs: answer.protocol, ours: PROTOCOL,
    });
  }

  async #requestProbe(effect: Extract<Effect, { kind: 'probe' }>): Promise<void> {
    const sentAt = this.#options.scheduler.now();
    const answer = await this.#send(effect.peerAddress, effect.message, PROBE_DEADLINE_MS);
    const reached = answer?.kind === 'probed' ? answer.reached : undefined;
    this.#apply({
      kind: 'probed', target: effect.message.target, reached, sentAt,
    });
  }

  async #answerProbe({ target }: Probe): Promise<PeerAnswer> {
    // Only members are probed, so that a peer can't make this daemon call arbitrary addresses.
    const record = this.#states.value.records.get(target);
    const answer = record && await this.#send(
      record.peerAddress,
      plainHeartbeat(this.#states.value, target, PROTOCOL),
      EXCHANGE_DEADLINE_MS,
    );
    return {
      kind: 'probed', protocol: PROTOCOL, target, reached: answer !== undefined,
    };
  }
}
