/**
 * Instances that keep one server's rate limit together, under virtual time. They exchange their
 * reports at intervals; links can be cut, and instances can start late, stand still and end.
 */
import { interval, timer } from 'rxjs';
import { Random } from '../../src/common/random.js';
import type { AdvertisedLimit } from '../../src/relay/dialect.js';
import { NO_LOAD, serverState } from '../../src/relay/serverstate.js';
import { VirtualClock } from './clock.js';
import { ThrottleInstance } from './throttleinstance.js';

const MESSAGE_INTERVAL_MS = 100;
const RESPONSE_MS = 20;
/** Time that callers have left, of calls and of generations. */
const IMPATIENT_MS = 600;
const PATIENT_MS = 25_000;

export class ThrottleFleet {
  readonly clock = new VirtualClock();

  readonly instances: ThrottleInstance[] = [];

  /** When requests arrived at the server. */
  readonly arrivals: number[] = [];

  /** Requests that found the server at its limit. */
  refused = 0;

  limit: AdvertisedLimit = { kind: 'none' };

  readonly #hasSeeds: boolean;

  readonly #random = Random.of(5);

  readonly #cut = new Set<string>();

  constructor(count: number) {
    this.#hasSeeds = count > 1;
    for (let index = 0; index < count; index += 1) this.add();
    interval(MESSAGE_INTERVAL_MS, this.clock).subscribe(() => this.#exchange());
  }

  add(): ThrottleInstance {
    const ip = `10.0.0.${this.instances.length + 1}`;
    const instance = new ThrottleInstance(ip, this.clock, this.#hasSeeds);
    this.instances.push(instance);
    return instance;
  }

  /** Cuts the links between instances for which `isCut` holds, and mends all others. */
  cut(isCut: (left: number, right: number) => boolean): void {
    this.#cut.clear();
    this.instances.forEach((from, left) => this.instances.forEach((to, right) => {
      if (left !== right && (isCut(left, right) || isCut(right, left))) {
        this.#cut.add(`${from.ip} ${to.ip}`);
      }
    }));
  }

  #exchange(): void {
    const now = this.clock.now();
    this.instances.filter(({ isStopped }) => !isStopped).forEach((from) => {
      const { count } = from;
      from.throttles.countInstances(count);
      const { reports } = from.throttles;
      this.instances.filter((to) => (
        to !== from && !to.isStopped && !this.#cut.has(`${from.ip} ${to.ip}`))).forEach((to) => {
        to.messages.set(from.ip, { at: now, reports });
        to.throttles.adoptCount(count);
        to.limits.adopt(reports, from.ip);
      });
    });
  }

  /** Requests at random instances, or those that `isUsed` gives, for a time. */
  async load(
    perSecond: number,
    forMs: number,
    isUsed: (index: number) => boolean = () => true,
  ): Promise<void> {
    const used = this.instances.filter((_, index) => isUsed(index));
    const until = this.clock.now() + forMs;
    while (this.clock.now() < until) {
      const pauseMs = (-Math.log(1 - this.#random.fraction()) * 1_000) / perSecond;
      // eslint-disable-next-line no-await-in-loop -- one request after another
      await this.clock.advance(pauseMs);
      this.#request(used[this.#random.integer(0, used.length - 1)]!, IMPATIENT_MS);
    }
  }

  /**
   * Sends as many requests at once, each of which comes back once at any instance when it is told.
   * Returns how many were refused, and how many of those were served when they came back.
   */
  async burst(count: number, forMs: number): Promise<{ refused: number; served: number }> {
    const result = { refused: 0, served: 0 };
    const atRandom = () => this.instances[this.#random.integer(0, this.instances.length - 1)]!;
    for (let index = 0; index < count; index += 1) {
      const retryAfterMs = this.#request(atRandom(), PATIENT_MS);
      if (retryAfterMs !== undefined) {
        result.refused += 1;
        timer(retryAfterMs, this.clock).subscribe(() => {
          if (this.#request(atRandom(), PATIENT_MS) === undefined) result.served += 1;
        });
      }
    }
    await this.clock.advance(forMs);
    return result;
  }

  /** Returns when a refused request may come back; undefined if it was sent. */
  #request({
    isStopped, throttles, limits, entry,
  }: ThrottleInstance, remainingMs: number): number | undefined {
    if (isStopped) return undefined;
    const admission = throttles.admission(entry);
    if (admission.delayMs > 0) {
      this.refused += 1;
      const candidate = {
        ...admission, server: serverState(entry), load: NO_LOAD, zoneSuspect: false,
      };
      return throttles.retryAfterMs(entry.service, [candidate], remainingMs);
    }
    throttles.take(entry);
    this.arrivals.push(this.clock.now());
    const { limit } = this;
    timer(RESPONSE_MS, this.clock).subscribe(() => limits.observe(entry, {
      kind: 'answer',
      response: {
        id: 'r',
        signature: 's',
        notRun: false,
        server: undefined,
        limit,
        leaving: false,
        pauseMs: undefined,
        brittle: undefined,
      },
    }));
    return undefined;
  }

  /** Arrivals from a time on. */
  since(from: number): readonly number[] {
    return this.arrivals.filter((at) => at >= from);
  }

  /** The most arrivals in any window of this length that begins at `from` or later. */
  mostInWindow(windowMs: number, from: number): number {
    const counted = this.since(from);
    let first = 0;
    return counted.reduce((most, at, index) => {
      while (counted[first]! <= at - windowMs) first += 1;
      return Math.max(most, index - first + 1);
    }, 0);
  }
}
