/**
 * Instances that keep one server's rate limit together, under virtual time. They exchange their
 * reports at intervals; links can be cut, and instances can start late, stand still and end.
 */
import { interval, timer } from 'rxjs';
import { Random } from '../../src/common/random.js';
import type { AdvertisedLimit } from '../../src/relay/dialect.js';
import { VirtualClock } from './clock.js';
import { ThrottleInstance } from './throttleinstance.js';

const MESSAGE_INTERVAL_MS = 100;
const RESPONSE_MS = 20;

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
      this.#request(used[this.#random.integer(0, used.length - 1)]!);
    }
  }

  #request({
    isStopped, throttles, limits, entry,
  }: ThrottleInstance): void {
    if (isStopped) return;
    if (throttles.admission(entry).delayMs > 0) {
      this.refused += 1;
      return;
    }
    throttles.take(entry);
    this.arrivals.push(this.clock.now());
    const { limit } = this;
    timer(RESPONSE_MS, this.clock).subscribe(() => limits.observe(entry, {
      kind: 'answer',
      response: {
        id: 'r', signature: 's', notRun: false, server: undefined, weights: undefined, limit,
      },
    }));
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
