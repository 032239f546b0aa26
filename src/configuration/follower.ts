/**
 * Keeps a daemon on the latest configuration: follows the stored folder, takes it from peers when
 * the store is out, and tells the rest of the daemon what is in force.
 */
import {
  BehaviorSubject, defer, filter, from, Subscription, timeout, timer,
} from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import { formatFinding } from '../common/finding.js';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { backoffMs } from '../store/backoff.js';
import { follow } from '../store/follow.js';
import type { FollowEvent } from '../store/follow.js';
import type { ObjectApi } from '../store/objects.js';
import type { Configuration } from './configuration.js';
import {
  FIRST_WAIT_MS, initialState, knownRevision, silence, transact,
} from './followstate.js';
import type {
  Effect, Event, PeerRevision, Rejection, State,
} from './followstate.js';
import { STORED_NAME } from './stored.js';

/** Gives the store's watch time to deliver a revision that a peer already has. */
const FETCH_DELAY_MS = 200;
const FETCH_SPREAD = 0.5;
const FETCH_DEADLINE_MS = 1_000;
const LOGGED_FINDINGS = 10;

/** Asks other daemons for the stored text that they work by. */
export interface ConfigurationPeers {
  /** The stored text at the peer; rejects when there is none or no answer. */
  fetch(address: string): Promise<string>;
}

export interface FollowerContext {
  /** This daemon's name. */
  readonly name: string;
  readonly api: ObjectApi;
  readonly peers: ConfigurationPeers;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

/** The stored folder that is in force, to be handed to peers. */
export interface CurrentRevision { readonly revision: number; readonly text: string }

export interface FollowerStatus {
  /** The revision in force, 0 for none. */
  readonly revision: number;
  /** A higher revision that could not be put in force. */
  readonly rejected: Rejection | undefined;
  /** How long the store and all peers have not been heard. */
  readonly storeSilentMs: number;
  readonly peerSilentMs: number;
}

export class Follower {
  readonly #context: FollowerContext;

  readonly #configuration = new BehaviorSubject<Configuration | undefined>(undefined);

  #running = Subscription.EMPTY;

  #state: State;

  private constructor(context: FollowerContext) {
    this.#context = context;
    this.#state = initialState(context.name, context.scheduler.now());
  }

  static of(context: FollowerContext): Follower {
    return new Follower(context);
  }

  /** Each configuration that is put in force, the one in force first. */
  get configurations(): Observable<Configuration> {
    return this.#configuration
      .pipe(filter((configuration): configuration is Configuration => configuration !== undefined));
  }

  /** Follows until the subscription that it returns ends; what is in force stays in force. */
  start(): Subscription {
    const { api, scheduler, random } = this.#context;
    this.#running = new Subscription();
    this.#running.add(follow(STORED_NAME, {
      api, scheduler, random, callClass: 'configuration',
    }).subscribe((event) => this.#followed(event)));
    this.#running.add(timer(FIRST_WAIT_MS, scheduler)
      .subscribe(() => this.#dispatch({ kind: 'first_wait_ended' })));
    return this.#running;
  }

  /** Whether a configuration was ever put in force. */
  get ready(): boolean {
    return this.#state.inForce !== undefined;
  }

  /** What peers are given; undefined while nothing is in force. */
  current(): CurrentRevision | undefined {
    return this.#state.inForce;
  }

  /** Hands in a stored text that came by another way than the store. */
  offer(text: string): void {
    this.#dispatch({ kind: 'offered', text });
  }

  /** Tells that a peer has just answered; what it told of revisions is handed in before. */
  heardPeer(): void {
    this.#dispatch({ kind: 'heard', from: 'peer' });
  }

  /** Tells that the platform lists no other instance, so that the first revision need not wait. */
  beAlone(): void {
    this.#dispatch({ kind: 'alone' });
  }

  /** Tells which revisions the other daemons work by, this one not among them. */
  seePeers(peers: readonly PeerRevision[]): void {
    this.#dispatch({ kind: 'peers', peers });
  }

  status(): FollowerStatus {
    const { storeMs, peerMs } = silence(this.#state, this.#context.scheduler.now());
    return {
      revision: this.#state.inForce?.revision ?? 0,
      rejected: this.#state.rejected,
      storeSilentMs: storeMs,
      peerSilentMs: peerMs,
    };
  }

  #followed(event: FollowEvent): void {
    const { log } = this.#context;
    switch (event.kind) {
      case 'put':
        if (event.object.name === STORED_NAME) this.offer(event.object.value);
        break;
      case 'delete':
        log.event('warn', 'configuration_deleted', { object: event.name });
        break;
      case 'heard':
        this.#dispatch({ kind: 'heard', from: 'store' });
        break;
      case 'lost':
        log.event('debug', 'store_lost', { use: 'configuration', reason: event.error.message });
        break;
    }
  }

  #dispatch(event: Event): void {
    const { state, effects } = transact(this.#state, event, this.#context.scheduler.now());
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: Effect): void {
    const { log } = this.#context;
    switch (effect.kind) {
      case 'put_in_force':
        log.event('info', 'configuration', { revision: effect.configuration.revision });
        this.#configuration.next(effect.configuration);
        break;
      case 'reject':
        effect.rejection.findings.slice(0, LOGGED_FINDINGS).forEach((finding) => {
          log.event('error', 'configuration_rejected', {
            revision: effect.rejection.revision, finding: formatFinding(finding),
          });
        });
        break;
      case 'fetch':
        this.#fetch(effect);
        break;
    }
  }

  #fetch({ address, revision, failures }: Extract<Effect, { kind: 'fetch' }>): void {
    const { scheduler, random, peers } = this.#context;
    const delayMs = random.jitter(FETCH_DELAY_MS, FETCH_SPREAD)
      + (failures > 0 ? backoffMs(failures, random) : 0);
    const fetched = defer(() => from(peers.fetch(address)))
      .pipe(timeout({ first: FETCH_DEADLINE_MS, scheduler }));
    this.#running.add(timer(delayMs, scheduler).subscribe(() => {
      if (knownRevision(this.#state) >= revision) {
        this.#dispatch({ kind: 'fetch_ended' });
        return;
      }
      this.#running.add(fetched.subscribe({
        next: (text) => this.#fetched(address, text, revision),
        error: () => this.#dispatch({ kind: 'fetch_failed', address }),
      }));
    }));
  }

  #fetched(address: string, text: string, revision: number): void {
    this.heardPeer();
    this.offer(text);
    const missing = Math.max(knownRevision(this.#state), this.#state.rejected?.revision ?? 0);
    this.#dispatch(missing >= revision
      ? { kind: 'fetch_ended' }
      : { kind: 'fetch_failed', address });
  }
}
