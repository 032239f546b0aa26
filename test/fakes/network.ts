/**
 * A simulated network of named processes. A message on a cut link is held, as TCP retransmission
 * would, and delivered late when the link is healed. Messages of one channel keep their order;
 * those of different channels may be reordered. A process that has ended resets its connections;
 * one whose machine has failed doesn't respond.
 */
import { Observable } from 'rxjs';
import type { Random } from '../../src/common/random.js';
import { Channel } from './channel.js';
import type { VirtualClock } from './clock.js';
import { NodeClock } from './nodeclock.js';

const MIN_LATENCY_MS = 1;
const MAX_LATENCY_MS = 3;

export type Liveness = 'up' | 'ended' | 'silent';

/** How a connection failed. */
export type ConnectionFailure = 'refused' | 'reset';

interface Node { readonly clock: NodeClock; liveness: Liveness }

interface Link {
  cut: boolean;
  delayMs: number;
  readonly held: (() => void)[];
  /** When the link was last cut or slow. */
  clearSince: number;
}

export class Network {
  readonly #clock: VirtualClock;

  readonly #random: Random;

  readonly #nodes = new Map<string, Node>();

  readonly #links = new Map<string, Link>();

  readonly #resets = new Map<string, Set<() => void>>();

  private constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static of(clock: VirtualClock, random: Random): Network {
    return new Network(clock, random);
  }

  node(name: string): Node {
    let node = this.#nodes.get(name);
    if (!node) {
      node = { clock: NodeClock.of(this.#clock), liveness: 'up' };
      this.#nodes.set(name, node);
    }
    return node;
  }

  /** @param how whether the machine still resets connections to the ended process */
  end(name: string, how: 'ended' | 'silent'): void {
    const node = this.node(name);
    node.liveness = how;
    node.clock.end();
    const resets = this.#resets.get(name);
    this.#resets.delete(name);
    if (how === 'ended') resets?.forEach((reset) => reset());
  }

  start(name: string): void {
    this.node(name).liveness = 'up';
  }

  cut(from: string, to: string): void {
    this.#link(from, to).cut = true;
  }

  delay(from: string, to: string, delayMs: number): void {
    this.#link(from, to).delayMs = delayMs;
  }

  heal(from: string, to: string): void {
    const link = this.#link(from, to);
    if (link.cut || link.delayMs > 0) link.clearSince = this.#clock.now();
    link.cut = false;
    link.delayMs = 0;
    link.held.splice(0).forEach((send) => send());
  }

  healAll(): void {
    [...this.#links.keys()].forEach((key) => {
      const [from = '', to = ''] = key.split('>');
      this.heal(from, to);
    });
  }

  /** When either direction was last cut or slow; infinite while one is. */
  clearSince(one: string, other: string): number {
    return Math.max(...[this.#link(one, other), this.#link(other, one)]
      .map((link) => (link.cut || link.delayMs > 0 ? Number.POSITIVE_INFINITY : link.clearSince)));
  }

  /**
   * Runs `work` at `to` and returns its result; rejects if the connection fails or the deadline
   * passes.
   *
   * @param resets whether a request that has not arrived by the deadline is dropped
   */
  call<Value>(
    from: string,
    to: string,
    deadlineMs: number,
    work: () => Promise<Value>,
    resets = false,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const { clock } = this.node(from);
      const { epoch } = clock;
      let dropped = false;
      const deadline = clock.schedule(() => {
        dropped = resets;
        reject(new Error('deadline'));
      }, deadlineMs);
      const back = (settleCall: () => void) => this.#send(to, from, new Channel(), () => {
        if (epoch !== clock.epoch) return;
        deadline.unsubscribe();
        settleCall();
      });
      const fail = (failure: ConnectionFailure) => back(() => reject(new Error(failure)));
      this.#send(from, to, new Channel(), () => {
        if (dropped) return;
        const forget = this.#onReset(to, () => fail('reset'));
        const done = (settleCall: () => void) => {
          if (forget()) back(settleCall);
        };
        work().then(
          (value) => done(() => resolve(value)),
          (error: unknown) => done(() => reject(error)),
        );
      }, () => fail('refused'));
    });
  }

  /** Subscribes at `to`; `onFailure` returns the value emitted if the connection fails. */
  stream<Value>(
    from: string,
    to: string,
    open: () => Observable<Value>,
    onFailure: (loss: ConnectionFailure) => Value | undefined,
  ): Observable<Value> {
    return new Observable((subscriber) => {
      const there = new Channel();
      const back = new Channel();
      let close = () => {};
      const { clock } = this.node(from);
      const { epoch } = clock;
      const reply = (action: () => void) => this.#send(to, from, back, () => {
        if (epoch === clock.epoch && !subscriber.closed) action();
      });
      const fail = (failure: ConnectionFailure) => {
        const value = onFailure(failure);
        if (value === undefined) subscriber.error(new Error(failure));
        else subscriber.next(value);
        subscriber.complete();
      };
      const accept = () => {
        const forget = this.#onReset(to, () => reply(() => fail('reset')));
        const serving = open().subscribe({
          next: (value) => reply(() => subscriber.next(value)),
          error: (error: unknown) => {
            if (forget()) reply(() => subscriber.error(error));
          },
          complete: () => {
            if (forget()) reply(() => fail('reset'));
          },
        });
        close = () => {
          forget();
          serving.unsubscribe();
        };
      };
      const refuse = () => reply(() => fail('refused'));
      // The request is sent once the connection is established, and may arrive at any time then.
      this.#send(from, to, there, () => reply(() => this.#send(from, to, there, accept)), refuse);
      return () => this.#send(from, to, there, () => close());
    });
  }

  #link(from: string, to: string): Link {
    const key = `${from}>${to}`;
    let link = this.#links.get(key);
    if (!link) {
      link = {
        cut: false, delayMs: 0, held: [], clearSince: 0,
      };
      this.#links.set(key, link);
    }
    return link;
  }

  #send(
    from: string,
    to: string,
    channel: Channel,
    deliver: () => void,
    refused?: () => void,
  ): void {
    if (this.node(from).liveness === 'silent') return;
    const link = this.#link(from, to);
    const latency = this.#random.integer(MIN_LATENCY_MS, MAX_LATENCY_MS) + link.delayMs;
    this.#clock.at(channel.arrivalOf(this.#clock.now() + latency), () => {
      if (link.cut) link.held.push(() => this.#send(from, to, channel, deliver, refused));
      else this.#arrive(to, deliver, refused);
    });
  }

  #arrive(to: string, deliver: () => void, refused?: () => void): void {
    const { clock, liveness } = this.node(to);
    switch (liveness) {
      case 'up':
        clock.run(clock.epoch, deliver);
        break;
      case 'ended':
        refused?.();
        break;
      case 'silent': break;
    }
  }

  /**
   * Calls `reset` when the process ends. The returned function cancels that, and returns whether
   * the process has not ended yet.
   */
  #onReset(name: string, reset: () => void): () => boolean {
    const resets = this.#resets.get(name) ?? new Set();
    this.#resets.set(name, resets);
    resets.add(reset);
    return () => resets.delete(reset) && this.#resets.get(name) === resets;
  }
}
