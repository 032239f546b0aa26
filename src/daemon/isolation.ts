/**
 * Notices that this instance reaches neither the object API nor any peer, though it has peers. Such
 * an instance can't learn of an accepted configuration, so it takes no new requests until it
 * reaches one of them again; open answers go on. While all of a deployment is without its object
 * API, no configuration can be accepted, and peers that still answer keep everyone serving.
 */
import type { SchedulerLike, Subscription } from 'rxjs';
import { timer } from 'rxjs';
import type { Log } from '../common/log.js';
import type { ObjectApi } from '../store/objects.js';

const CHECK_PERIOD_MS = 500;
/** Peers' silence after which the object API is asked as well. */
const PROBE_STORE_AFTER_MS = 1_500;
/** Silence of both after which new requests are refused. */
export const ISOLATED_AFTER_MS = 3_000;

export interface IsolationContext {
  readonly objects: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  /** Whether the instance knows of any peer. */
  readonly hasPeers: () => boolean;
  /** Scheduler time at which a peer last answered. */
  readonly peerHeardAt: () => number;
  /** Since the object API was last heard from. */
  readonly storeSilentMs: () => number;
}

export class Isolation {
  readonly #context: IsolationContext;

  #storeHeardAt = -Infinity;

  #probing = false;

  #isolated = false;

  private constructor(context: IsolationContext) {
    this.#context = context;
  }

  static of(context: IsolationContext): Isolation {
    return new Isolation(context);
  }

  get isolated(): boolean {
    return this.#isolated;
  }

  start(): Subscription {
    return timer(CHECK_PERIOD_MS, CHECK_PERIOD_MS, this.#context.scheduler)
      .subscribe(() => this.#check());
  }

  #check(): void {
    const {
      scheduler, log, hasPeers, peerHeardAt, storeSilentMs,
    } = this.#context;
    const now = scheduler.now();
    const peerSilenceMs = now - peerHeardAt();
    const storeSilenceMs = Math.min(storeSilentMs(), now - this.#storeHeardAt);
    const isolated = hasPeers() && Math.min(peerSilenceMs, storeSilenceMs) >= ISOLATED_AFTER_MS;
    if (isolated !== this.#isolated) {
      log.event('warn', isolated ? 'isolated' : 'rejoined', {
        peers_silent_ms: Math.round(peerSilenceMs), store_silent_ms: Math.round(storeSilenceMs),
      });
    }
    this.#isolated = isolated;
    if (hasPeers() && peerSilenceMs >= PROBE_STORE_AFTER_MS) this.#probeStore();
  }

  /** Any answer, also that there is no such object, shows that the object API is reached. */
  #probeStore(): void {
    const { objects, scheduler, log } = this.#context;
    if (this.#probing) return;
    this.#probing = true;
    objects.get('configuration', 'configuration').then((result) => {
      const reached = result.isOk() || result.error.code === 'not_found';
      if (reached) this.#storeHeardAt = scheduler.now();
    }).catch((error: unknown) => {
      log.event('error', 'isolation_check_failed', { reason: String(error) });
    }).finally(() => {
      this.#probing = false;
    });
  }
}
