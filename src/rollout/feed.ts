/**
 * Follows the orders in the store by few instances; the others hear of them in messages. With a
 * watch at each instance, the calls would grow with the instances, for a kind that rarely changes.
 */
import { Subscription } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import { follow } from '../store/follow.js';
import type { FollowEvent } from '../store/follow.js';
import type { ObjectReader } from '../store/objects.js';
import { SeenVersions } from '../store/versions.js';

/** Instances that follow the orders: one may be lost, and one cut off from the store. */
const FOLLOWERS = 3;
/** Instances that follow them if nothing has been confirmed for a time. */
const MORE_FOLLOWERS = 12;
const UNCONFIRMED_MS = 5_000;
const POLL_MS = 10_000;
const MAX_BACKOFF_MS = 1_000;

export interface OrderFeedContext {
  readonly kind: string;
  readonly reader: ObjectReader;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly onEvent: (event: FollowEvent) => void;
}

export class OrderFeed {
  readonly #context: OrderFeedContext;

  readonly #seen = SeenVersions.of();

  #following: Subscription | undefined;

  private constructor(context: OrderFeedContext) {
    this.#context = context;
  }

  static of(context: OrderFeedContext): OrderFeed {
    return new OrderFeed(context);
  }

  /**
   * Begins or ends to follow, by this instance's place among the live ones.
   *
   * @param unconfirmedMs time since any instance has confirmed the orders
   */
  adjust(rank: number, unconfirmedMs: number): void {
    const followers = unconfirmedMs > UNCONFIRMED_MS ? MORE_FOLLOWERS : FOLLOWERS;
    if (rank >= followers) {
      this.stop();
      return;
    }
    if (this.#following) return;
    const {
      kind, reader, scheduler, random, onEvent,
    } = this.#context;
    this.#following = follow(kind, {
      api: reader,
      scheduler,
      random,
      callClass: 'configuration',
      pollMs: POLL_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      seen: this.#seen,
    }).subscribe(onEvent);
  }

  stop(): void {
    this.#following?.unsubscribe();
    this.#following = undefined;
  }
}
