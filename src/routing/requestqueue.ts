/**
 * The queue of requests that wait for a server. It applies queue transactions, retries placement
 * whenever a slot may have become free, and refuses entries at their deadlines.
 */
import { timer } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Limits } from '../configuration/configuration.js';
import { nextEntry, queueTransaction } from '../limits/queue.js';
import type { QueueEvent, QueueRefusal } from '../limits/queue.js';
import { EMPTY_QUEUE, entriesOf } from '../limits/queuestate.js';
import type { Entry, QueueState } from '../limits/queuestate.js';
import type { QueueSnapshot } from './snapshot.js';
import type { QueuedRequest } from './queuedrequest.js';

/** Interval for retrying placement and checking deadlines; released slots trigger a retry, too. */
const TICK_MS = 20;

/** What the queue needs from the router. */
export interface RequestQueueContext {
  readonly scheduler: SchedulerLike;
  readonly limits: () => Limits;
  /** Tries to place a request; `done` if it has left the queue. */
  readonly place: (queued: QueuedRequest) => 'done' | 'waits';
  readonly refuse: (queued: QueuedRequest, refusal: QueueRefusal) => void;
}

export class RequestQueue {
  readonly #context: RequestQueueContext;

  readonly #requests = new Map<number, QueuedRequest>();

  #state: QueueState = EMPTY_QUEUE;

  #draining = false;

  #drainAgain = false;

  #ticks: Subscription | undefined;

  private constructor(placer: RequestQueueContext) {
    this.#context = placer;
  }

  static of(placer: RequestQueueContext): RequestQueue {
    return new RequestQueue(placer);
  }

  /** Adds a request and places all that can be placed. */
  enter(queued: QueuedRequest): void {
    this.#requests.set(queued.entry.id, queued);
    this.#apply({ kind: 'enter', entry: queued.entry });
    this.drain();
  }

  /** Removes a request that was placed on a server. */
  placed({ entry }: QueuedRequest): void {
    this.#requests.delete(entry.id);
    this.#apply({ kind: 'placed', entry, now: this.#context.scheduler.now() });
  }

  /** Removes a request that was cancelled or refused. */
  leave({ entry }: QueuedRequest): void {
    if (!this.#requests.delete(entry.id)) return;
    this.#apply({ kind: 'left', entry });
  }

  stop(): void {
    this.#ticks?.unsubscribe();
  }

  snapshot(): readonly QueueSnapshot[] {
    const queues = new Map<string, QueueSnapshot>();
    entriesOf(this.#state).forEach(({ workspace, priority }) => {
      const key = `${priority} ${workspace}`;
      const waiting = (queues.get(key)?.waiting ?? 0) + 1;
      queues.set(key, { workspace, priority, waiting });
    });
    return [...queues.values()];
  }

  /** Places all that can be placed; a reentrant call by a subscriber repeats the outer pass. */
  drain(): void {
    this.#drainAgain = true;
    if (this.#draining) return;
    this.#draining = true;
    while (this.#drainAgain) {
      this.#drainAgain = false;
      this.#drainOnce();
    }
    this.#draining = false;
  }

  #drainOnce(): void {
    const blocked = new Set<string>();
    const placeable = ({ id }: Entry) => !blocked.has(this.#requests.get(id)?.group ?? '');
    for (;;) {
      const entry = nextEntry(this.#state, placeable);
      const queued = entry && this.#requests.get(entry.id);
      if (!queued) return;
      if (this.#context.place(queued) === 'waits') blocked.add(queued.group);
    }
  }

  #apply(event: QueueEvent): void {
    const tr = queueTransaction(this.#state, event, this.#context.limits());
    this.#state = tr.state;
    tr.effects.forEach((effect) => this.#refuse(effect));
    this.#updateTimer();
  }

  /** Removes a request that the queue refused, and passes the refusal on. */
  #refuse(refusal: QueueRefusal): void {
    const { entry } = refusal;
    const queued = this.#requests.get(entry.id);
    if (!queued) return;
    this.#requests.delete(entry.id);
    this.#context.refuse(queued, refusal);
  }

  #updateTimer(): void {
    const ticking = this.#ticks && !this.#ticks.closed;
    if (this.#state.length === 0) this.#ticks?.unsubscribe();
    else if (!ticking) {
      this.#ticks = timer(TICK_MS, TICK_MS, this.#context.scheduler).subscribe(() => {
        this.#apply({ kind: 'tick', now: this.#context.scheduler.now() });
        this.drain();
      });
    }
  }
}
