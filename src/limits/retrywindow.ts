/**
 * The retry budget of a deployment over a sliding window: the number of requests sent to another
 * backend server, including resumes, is limited to a ratio of all requests plus a fixed slack.
 *
 * Instances don't coordinate before a retry. Each applies the ratio to its own requests and uses an
 * even part of the slack, so that all instances together stay within the budget. During a partition
 * an instance may count too few others, so the slack is divided by the largest number of instances
 * seen in the last window.
 */

import { largest, samplesSince, withSample } from './slidingmax.js';
import type { SlidingMax } from './slidingmax.js';

/** Fraction of the budget that is used; the rest covers instances that have just started. */
const USED_FRACTION = 0.8;

export interface RetryLimit {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

export interface RetryWindow {
  readonly requests: readonly number[];
  readonly retries: readonly number[];
  /** Numbers of live instances. */
  readonly members: SlidingMax;
}

export const EMPTY_WINDOW: RetryWindow = { requests: [], retries: [], members: [] };

/** The times after `from`, out of `times` in ascending order. */
export function since(times: readonly number[], from: number): readonly number[] {
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}

/** Drops what is older than the window. */
function current(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const from = now - limit.windowMs;
  return {
    requests: since(window.requests, from),
    retries: since(window.retries, from),
    members: samplesSince(window.members, from),
  };
}

export function recordRequest(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const kept = current(window, limit, now);
  return { ...kept, requests: [...kept.requests, now] };
}

/** Records the number of live instances. */
export function recordMembers(window: RetryWindow, count: number, now: number): RetryWindow {
  return { ...window, members: withSample(window.members, count, now) };
}

/** Number of retries that this instance may still send in the window. */
export function retriesLeft(window: RetryWindow, limit: RetryLimit, now: number): number {
  const { requests, retries, members } = current(window, limit, now);
  const allowed = limit.ratio * requests.length + limit.slack / largest(members, 1);
  return Math.floor(allowed * USED_FRACTION) - retries.length;
}

export function recordRetry(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const kept = current(window, limit, now);
  return { ...kept, retries: [...kept.retries, now] };
}

/** The retry windows of all services. */
export class RetryWindows {
  readonly #limit: RetryLimit;

  readonly #windows = new Map<string, RetryWindow>();

  #members = 1;

  private constructor(limit: RetryLimit) {
    this.#limit = limit;
  }

  static of(limit: RetryLimit): RetryWindows {
    return new RetryWindows(limit);
  }

  /** @param instances number of live instances, including this one */
  count(instances: number, now: number): void {
    this.#members = instances;
    this.#windows.forEach((window, service) => {
      this.#windows.set(service, recordMembers(window, instances, now));
    });
  }

  request(service: string, now: number): void {
    this.#windows.set(service, recordRequest(this.#window(service, now), this.#limit, now));
  }

  left(service: string, now: number): number {
    return retriesLeft(this.#window(service, now), this.#limit, now);
  }

  /** Retries left for the service with the fewest. */
  minLeft(now: number): number {
    const unused = retriesLeft(recordMembers(EMPTY_WINDOW, this.#members, now), this.#limit, now);
    return Math.min(unused, ...[...this.#windows.keys()].map((service) => this.left(service, now)));
  }

  retry(service: string, now: number): void {
    this.#windows.set(service, recordRetry(this.#window(service, now), this.#limit, now));
  }

  #window(service: string, now: number): RetryWindow {
    return this.#windows.get(service) ?? recordMembers(EMPTY_WINDOW, this.#members, now);
  }
}
