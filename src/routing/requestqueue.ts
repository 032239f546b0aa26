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

/** The queue's dependencies, which the router provides. */
export interface Placer {
  readonly scheduler: SchedulerLike;
  readonly limits: () => Limits;
  /** Tries to place a request; `done` if it has left the queue. */
  readonly place: (waiting: QueuedRequest) => 'done' | 'waits';
  readonly refuse: (waiting: QueuedRequest, refusal: QueueRefusal) => void;
}

export class RequestQueue {
  readonly #placer: Placer;

  readonly #waiting = new Map<number, QueuedRequest>();

  #state: QueueState = EMPTY_QUEUE;

  #draining = false;

  #drainAgain = false;

  #ticks: Subscription | undefined;

  private constructor(placer: Placer) {
    this.#placer = placer;
  }

  static of(placer: Placer): RequestQueue {
    return new RequestQueue(placer);
  }

  /** Adds a request and places all that can be placed. */
  enter(waiting: QueuedRequest): void {
    this.#waiting.set(waiting.entry.id, waiting);
    this.#advance({ kind: 'enter', entry: waiting.entry });
    this.drain();
  }

  /** Removes a request that was placed on a server. */
  placed({ entry }: QueuedRequest): void {
    this.#waiting.delete(entry.id);
    this.#advance({ kind: 'placed', entry, now: this.#placer.scheduler.now() });
  }

  /** Removes a request that was cancelled or refused. */
  leave({ entry }: QueuedRequest): void {
    if (!this.#waiting.delete(entry.id)) return;
    this.#advance({ kind: 'left', entry });
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
    const open = ({ id }: Entry) => !blocked.has(this.#waiting.get(id)?.group ?? '');
    for (;;) {
      const entry = nextEntry(this.#state, open);
      const waiting = entry && this.#waiting.get(entry.id);
      if (!waiting) return;
      if (this.#placer.place(waiting) === 'waits') blocked.add(waiting.group);
    }
  }

  #advance(event: QueueEvent): void {
    const tr = queueTransaction(this.#state, event, this.#placer.limits());
    this.#state = tr.state;
    tr.effects.forEach((effect) => this.#giveUp(effect));
    this.#keepTicking();
  }

  /** Removes a request that the queue refused, and passes the refusal on. */
  #giveUp(refusal: QueueRefusal): void {
    const { entry } = refusal;
    const waiting = this.#waiting.get(entry.id);
    if (!waiting) return;
    this.#waiting.delete(entry.id);
    this.#placer.refuse(waiting, refusal);
  }

  #keepTicking(): void {
    const ticking = this.#ticks && !this.#ticks.closed;
    if (this.#state.length === 0) this.#ticks?.unsubscribe();
    else if (!ticking) {
      this.#ticks = timer(TICK_MS, TICK_MS, this.#placer.scheduler).subscribe(() => {
        this.#advance({ kind: 'tick', now: this.#placer.scheduler.now() });
        this.drain();
      });
    }
  }
}
