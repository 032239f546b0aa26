/** Daemons that exchange shares over a network with loss, delay, reordering and partitions. */
import { Random } from '../../src/common/random.js';
import {
  effectiveShare, shareState, shareTransaction,
} from '../../src/limits/shares.js';
import type { ShareRow, ShareState } from '../../src/limits/shares.js';

const KEY = 'hotel/rate';
export const NAMES = Array.from({ length: 9 }, (_, index) => `d${index}`);
const TICK_MS = 500;

interface RowMessage { readonly to: string; readonly row: ShareRow; readonly at: number }

export class ShareFleet {
  readonly #random: Random;

  readonly #states = new Map<string, ShareState>();

  readonly demands = new Map<string, number>();

  readonly paused = new Set<string>();

  #inFlight: RowMessage[] = [];

  #now = 0;

  #partitionedAt = 0;

  #incarnation = 1;

  loss = 0.3;

  maxDelayMs = 2_000;

  /** Whether unreachable members are removed from the list, which the platform never does. */
  dropsUnreachable = false;

  readonly #sides = new Map<string, number>();

  /** The largest sum of effective shares so far. */
  peakTotal = 0;

  constructor(seed: number) {
    this.#random = Random.of(seed);
    NAMES.forEach((name) => this.start(name));
  }

  start(name: string): void {
    this.#incarnation += 1;
    this.#states.set(name, shareState(name, this.#incarnation, this.#now));
  }

  /** Separates daemons whose names sort before `cut` from the others; without it, rejoins all. */
  partition(cut = ''): void {
    this.#partitionedAt = this.#now;
    NAMES.forEach((name) => this.#sides.set(name, name < cut ? 0 : 1));
  }

  share(name: string): number {
    return effectiveShare(this.#states.get(name)!, KEY, this.#now);
  }

  get total(): number {
    return NAMES.reduce((sum, name) => sum + this.share(name), 0);
  }

  run(ms: number): void {
    for (const end = this.#now + ms; this.#now < end; this.#now += TICK_MS) {
      this.#deliver();
      NAMES.filter((name) => !this.paused.has(name)).forEach((name) => this.#step(name));
      this.peakTotal = Math.max(this.peakTotal, this.total);
    }
  }

  #deliver(): void {
    const due = this.#inFlight.filter(({ at }) => at <= this.#now);
    this.#inFlight = this.#inFlight.filter(({ at }) => at > this.#now);
    due.filter(({ to }) => !this.paused.has(to)).forEach(({ to, row }) => {
      const event = { kind: 'row', row, now: this.#now } as const;
      this.#states.set(to, shareTransaction(this.#states.get(to)!, event));
    });
  }

  #step(name: string): void {
    const now = this.#now;
    const connected = NAMES.filter((other) => (
      this.#sides.get(other) === this.#sides.get(name) && !this.paused.has(other)));
    // Daemons detect a partition at different times.
    const noticed = now - this.#partitionedAt >= NAMES.indexOf(name) * TICK_MS;
    const reachable = noticed ? connected : NAMES;
    const listed = shareTransaction(this.#states.get(name)!, {
      kind: 'members', members: this.dropsUnreachable ? reachable : NAMES, reachable, now,
    });
    const demand = this.demands.get(name) ?? 0;
    const state = shareTransaction(listed, {
      kind: 'tick', needs: { [KEY]: { demand, inUse: 0 } }, now,
    });
    this.#states.set(name, state);
    connected.filter((to) => to !== name && this.#random.fraction() >= this.loss)
      .forEach((to) => this.#inFlight.push({
        to, row: state.row, at: now + this.#random.integer(0, this.maxDelayMs),
      }));
  }
}
