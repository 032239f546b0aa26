/**
 * The retry budget of a whole deployment over a sliding window: requests sent to a second backend
 * server, resumes among them, stay under a ratio of the requests and a fixed number besides.
 *
 * No instance asks another before it retries. Each keeps to the ratio of its own requests and to
 * its part of the fixed number, so the sums over all instances keep to the whole. While instances
 * don't hear each other, a part is only as safe as the count of instances: it is the largest that
 * was known in the last window.
 */

/** Part of the budget that is used; the rest covers instances that have just come. */
const USED_SHARE = 0.8;

export interface RetryLimit {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

export interface RetryWindow {
  readonly requests: readonly number[];
  readonly retries: readonly number[];
  /** Counts of instances and when each was last seen. */
  readonly members: readonly { readonly count: number; readonly at: number }[];
}

export const EMPTY_WINDOW: RetryWindow = { requests: [], retries: [], members: [] };

/** The times after `from`, of times in their order. */
export function since(times: readonly number[], from: number): readonly number[] {
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}

/** The window with what has left it dropped. */
function current(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const from = now - limit.windowMs;
  return {
    requests: since(window.requests, from),
    retries: since(window.retries, from),
    members: window.members.filter(({ at }) => at > from),
  };
}

export function requested(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const kept = current(window, limit, now);
  return { ...kept, requests: [...kept.requests, now] };
}

/** Notes how many instances are alive. */
export function counted(window: RetryWindow, count: number, now: number): RetryWindow {
  const larger = window.members.filter((other) => other.count > count);
  return { ...window, members: [...larger, { count, at: now }] };
}

/** Retries that this instance may still send in the window. */
export function retriesLeft(window: RetryWindow, limit: RetryLimit, now: number): number {
  const { requests, retries, members } = current(window, limit, now);
  const instances = Math.max(1, ...members.map(({ count }) => count));
  const allowed = limit.ratio * requests.length + limit.slack / instances;
  return Math.floor(allowed * USED_SHARE) - retries.length;
}

export function retried(window: RetryWindow, limit: RetryLimit, now: number): RetryWindow {
  const kept = current(window, limit, now);
  return { ...kept, retries: [...kept.retries, now] };
}

/** The windows of all services. */
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

  /** @param instances how many instances are alive, this one included */
  count(instances: number, now: number): void {
    this.#members = instances;
    this.#windows.forEach((window, service) => {
      this.#windows.set(service, counted(window, instances, now));
    });
  }

  request(service: string, now: number): void {
    this.#windows.set(service, requested(this.#window(service, now), this.#limit, now));
  }

  left(service: string, now: number): number {
    return retriesLeft(this.#window(service, now), this.#limit, now);
  }

  /** What is left for the service that has the least. */
  least(now: number): number {
    const unused = retriesLeft(counted(EMPTY_WINDOW, this.#members, now), this.#limit, now);
    return Math.min(unused, ...[...this.#windows.keys()].map((service) => this.left(service, now)));
  }

  retry(service: string, now: number): void {
    this.#windows.set(service, retried(this.#window(service, now), this.#limit, now));
  }

  #window(service: string, now: number): RetryWindow {
    return this.#windows.get(service) ?? counted(EMPTY_WINDOW, this.#members, now);
  }
}
