/**
 * Detects that this instance has peers but reaches neither the object API nor any of them. Such an
 * instance can't learn of an accepted configuration, so it refuses new requests until it reaches
 * one of them again; open answers continue. During an outage of the object API no configuration
 * can be accepted, so instances that still reach a peer go on serving.
 */
import type { SchedulerLike, Subscription } from 'rxjs';
import { timer } from 'rxjs';
import type { Log } from '../common/log.js';
import type { ObjectApi } from '../store/objects.js';

const CHECK_PERIOD_MS = 500;
/** Time without contact to any peer after which the object API is probed. */
const PROBE_STORE_AFTER_MS = 1_500;
/** Time without contact to peers and object API after which new requests are refused. */
export const ISOLATED_AFTER_MS = 3_000;

export interface IsolationContext {
  readonly objects: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  /** Whether the instance knows of any peer. */
  readonly hasPeers: () => boolean;
  /** Scheduler time at which a peer last answered. */
  readonly peerHeardAt: () => number;
  /** Time since the object API last answered. */
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

  /** Any answer shows that the object API is reachable, including that the object is missing. */
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
