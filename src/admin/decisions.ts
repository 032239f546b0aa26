/**
 * Keeps the log events of recent requests, so that an operator can look up how a request was
 * handled. It wraps a log: every event is passed on, and those with a `request` field are kept.
 */
import { LRUCache } from 'lru-cache';
import type { SchedulerLike } from 'rxjs';
import type { Log, LogFields, LogLevel } from '../common/log.js';

const MAX_REQUESTS = 2_000;
const MAX_EVENTS_PER_REQUEST = 32;

export interface Decision {
  /** Scheduler time. */
  readonly atMs: number;
  readonly event: string;
  readonly fields: LogFields;
}

export class DecisionLog implements Log {
  readonly #target: Log;

  readonly #scheduler: SchedulerLike;

  readonly #requests = new LRUCache<string, readonly Decision[]>({ max: MAX_REQUESTS });

  private constructor(target: Log, scheduler: SchedulerLike) {
    this.#target = target;
    this.#scheduler = scheduler;
  }

  static of(target: Log, scheduler: SchedulerLike): DecisionLog {
    return new DecisionLog(target, scheduler);
  }

  event(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#target.event(level, event, fields);
    const { request } = fields;
    if (typeof request !== 'string') return;
    const decision: Decision = { atMs: this.#scheduler.now(), event, fields };
    const kept = this.#requests.get(request) ?? [];
    if (kept.length < MAX_EVENTS_PER_REQUEST) this.#requests.set(request, [...kept, decision]);
  }

  /** The decisions about a request, oldest first; empty if it is unknown or no longer kept. */
  decisionsFor(request: string): readonly Decision[] {
    return this.#requests.get(request) ?? [];
  }
}
