/**
 * Connects the configuration follower to the rest of the instance: passes it the peers' revisions,
 * exposes the configuration in force, and publishes its revision to the peers.
 */
import { BehaviorSubject, map, timer } from 'rxjs';
import type { Observable, SchedulerLike, Subscription } from 'rxjs';
import type { Configuration } from '../configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../configuration/defaults.js';
import { Follower } from '../configuration/follower.js';
import type { FollowerContext, FollowerStatus } from '../configuration/follower.js';
import type { Heartbeats } from '../membership/heartbeats.js';
import type { PeerNetwork } from '../membership/instances.js';
import { CONFIGURATION_KEY } from '../membership/state.js';
import type { ObjectApi } from '../store/objects.js';

const FETCH_DEADLINE_MS = 1_000;
const CONTACT_POLL_PERIOD_MS = 500;

export interface FeedContext extends Omit<FollowerContext, 'api' | 'peers'> {
  readonly objects: ObjectApi;
  readonly heartbeats: Heartbeats;
  readonly network: PeerNetwork;
}

/** Fetches a peer's stored text; rejects if the peer has none or doesn't answer. */
async function fetchStoredText(network: PeerNetwork, address: string): Promise<string> {
  const text = await network.call('configuration', address, {}, FETCH_DEADLINE_MS);
  if (typeof text !== 'string' || text === '') throw new Error('the peer has no configuration');
  return text;
}

export class ConfigurationFeed {
  readonly #context: FeedContext;

  readonly #follower: Follower;

  readonly #current = new BehaviorSubject(EMPTY_CONFIGURATION);

  private constructor(context: FeedContext) {
    this.#context = context;
    this.#follower = Follower.of({
      ...context,
      api: context.objects,
      peers: { fetch: (address) => fetchStoredText(context.network, address) },
    });
  }

  static of(context: FeedContext): ConfigurationFeed {
    return new ConfigurationFeed(context);
  }

  /** Emits the configuration in force and each one that replaces it. */
  get changes(): Observable<Configuration> {
    return this.#current;
  }

  get current(): Configuration {
    return this.#current.value;
  }

  get status(): FollowerStatus {
    return this.#follower.status();
  }

  /** Whether a configuration has been in force since the start. */
  get ready(): boolean {
    return this.#follower.ready;
  }

  /** The stored text in force, for peers that fetch it; empty while there is none. */
  text(): string {
    return this.#follower.current()?.text ?? '';
  }

  /** Follows the object API and the peers until the subscription ends. */
  start(): Subscription {
    const { scheduler, heartbeats } = this.#context;
    const running = this.#follower.start();
    running.add(this.#follower.configurations.subscribe((configuration) => {
      this.#current.next(configuration);
      heartbeats.softState.publish(CONFIGURATION_KEY, { revision: configuration.revision });
    }));
    running.add(this.#followPeers());
    running.add(this.#pollContact(scheduler));
    return running;
  }

  #followPeers(): Subscription {
    const { heartbeats, name } = this.#context;
    return heartbeats.members.pipe(
      map((members) => members.filter((member) => member.name !== name)),
    ).subscribe((peers) => {
      this.#follower.updatePeers(peers.map(({ peerAddress, revision }) => (
        { address: peerAddress, revision })));
    });
  }

  #pollContact(scheduler: SchedulerLike): Subscription {
    const { heartbeats } = this.#context;
    let lastContactAt = heartbeats.lastContactAt();
    return timer(CONTACT_POLL_PERIOD_MS, CONTACT_POLL_PERIOD_MS, scheduler).subscribe(() => {
      if (heartbeats.listed()?.length === 0) this.#follower.markAlone();
      if (heartbeats.lastContactAt() === lastContactAt) return;
      lastContactAt = heartbeats.lastContactAt();
      this.#follower.recordPeerContact();
    });
  }
}
