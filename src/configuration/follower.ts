/**
 * Keeps a daemon on the latest configuration: follows the stored folder, fetches it from peers
 * while the store is unavailable, and emits each configuration that is put in force.
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
  PEER_WAIT_MS, initialState, knownRevision, timeSinceContact, transaction,
} from './followstate.js';
import type {
  Effect, Event, PeerRevision, Rejection, State,
} from './followstate.js';
import { OBJECT_NAME } from './stored.js';

/** Delay before a fetch, for the store's watch to deliver a revision that a peer already has. */
const FETCH_DELAY_MS = 200;
const FETCH_JITTER = 0.5;
const FETCH_TIMEOUT_MS = 1_000;
const MAX_LOGGED_FINDINGS = 10;

/** Fetches the stored text that is in force at other daemons. */
export interface ConfigurationPeers {
  /** The peer's stored text; rejects if the peer has none or doesn't answer. */
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

/** The stored text in force, which is served to peers. */
export interface CurrentRevision { readonly revision: number; readonly text: string }

export interface FollowerStatus {
  /** The revision in force, 0 for none. */
  readonly revision: number;
  /** A higher revision that could not be put in force. */
  readonly rejected: Rejection | undefined;
  /** Time since the last contact with the store, and with any peer. */
  readonly storeSilentMs: number;
  readonly peerSilentMs: number;
}

export class Follower {
  readonly #context: FollowerContext;

  readonly #configuration = new BehaviorSubject<Configuration | undefined>(undefined);

  #subscription = Subscription.EMPTY;

  #state: State;

  private constructor(context: FollowerContext) {
    this.#context = context;
    this.#state = initialState(context.name, context.scheduler.now());
  }

  static of(context: FollowerContext): Follower {
    return new Follower(context);
  }

  /** The configuration in force, if any, and each one that replaces it. */
  get configurations(): Observable<Configuration> {
    return this.#configuration
      .pipe(filter((configuration): configuration is Configuration => configuration !== undefined));
  }

  /** Follows until the returned subscription ends; the configuration then stays in force. */
  start(): Subscription {
    const { api, scheduler, random } = this.#context;
    this.#subscription = new Subscription();
    this.#subscription.add(follow(OBJECT_NAME, {
      api, scheduler, random, callClass: 'configuration',
    }).subscribe((event) => this.#handleStoreEvent(event)));
    this.#subscription.add(timer(PEER_WAIT_MS, scheduler)
      .subscribe(() => this.#dispatch({ kind: 'first_wait_ended' })));
    return this.#subscription;
  }

  /** Whether a configuration was ever put in force. */
  get ready(): boolean {
    return this.#state.inForce !== undefined;
  }

  /** The revision served to peers; undefined while none is in force. */
  current(): CurrentRevision | undefined {
    return this.#state.inForce;
  }

  /** Handles a stored text, whichever way it was received. */
  offer(text: string): void {
    this.#dispatch({ kind: 'offered', text });
  }

  /**
   * Records that a peer has just answered. The revisions that it announced must have been passed to
   * `updatePeers` before.
   */
  recordPeerContact(): void {
    this.#dispatch({ kind: 'heard', from: 'peer' });
  }

  /** The platform lists no other instance, so the first revision needn't wait for a peer. */
  markAlone(): void {
    this.#dispatch({ kind: 'alone' });
  }

  /** Replaces the revisions in force at the other daemons. */
  updatePeers(peers: readonly PeerRevision[]): void {
    this.#dispatch({ kind: 'peers', peers });
  }

  status(): FollowerStatus {
    const { storeMs, peerMs } = timeSinceContact(this.#state, this.#context.scheduler.now());
    return {
      revision: this.#state.inForce?.revision ?? 0,
      rejected: this.#state.rejected,
      storeSilentMs: storeMs,
      peerSilentMs: peerMs,
    };
  }

  #handleStoreEvent(event: FollowEvent): void {
    const { log } = this.#context;
    switch (event.kind) {
      case 'put':
        if (event.object.name === OBJECT_NAME) this.offer(event.object.value);
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
    const { state, effects } = transaction(this.#state, event, this.#context.scheduler.now());
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
        effect.rejection.findings.slice(0, MAX_LOGGED_FINDINGS).forEach((finding) => {
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
    const delayMs = random.jitter(FETCH_DELAY_MS, FETCH_JITTER)
      + (failures > 0 ? backoffMs(failures, random) : 0);
    const fetched = defer(() => from(peers.fetch(address)))
      .pipe(timeout({ first: FETCH_TIMEOUT_MS, scheduler }));
    this.#subscription.add(timer(delayMs, scheduler).subscribe(() => {
      if (knownRevision(this.#state) >= revision) {
        this.#dispatch({ kind: 'fetch_ended' });
        return;
      }
      this.#subscription.add(fetched.subscribe({
        next: (text) => this.#handleFetched(address, text, revision),
        error: () => this.#dispatch({ kind: 'fetch_failed', address }),
      }));
    }));
  }

  #handleFetched(address: string, text: string, revision: number): void {
    this.recordPeerContact();
    this.offer(text);
    const known = Math.max(knownRevision(this.#state), this.#state.rejected?.revision ?? 0);
    this.#dispatch(known >= revision
      ? { kind: 'fetch_ended' }
      : { kind: 'fetch_failed', address });
  }
}
