/**
 * Simulates instances that contend for one lease, a record with conditional updates, in virtual
 * time. Each has its own clocks; calls can be slow, fail, or lose their response.
 */
import { VirtualTimeScheduler } from 'rxjs';
import { Random } from '../../src/common/random.js';
import { grantAt, leaseTransaction } from '../../src/placement/lease.js';
import { leaseOf } from '../../src/placement/leasestate.js';
import type { Lease } from '../../src/placement/leasestate.js';
import type {
  Instant, LeaseEffect, LeaseEvent, ReadOutcome, WriteOutcome,
} from '../../src/placement/leaseevents.js';
import { runTo } from './peers.js';

export const DURATION_MS = 5_000;
export const ORDER_MS = 2_000;
const TICK_MS = 100;

export interface Faults {
  readonly out: boolean;
  readonly latencyMs: number;
  /** Fraction of writes that take effect and whose response is lost. */
  readonly lostAnswers: number;
  /** How much later than its lost response a write takes effect. */
  readonly lateMs: number;
}

interface LeaseInstance {
  lease: Lease;
  paused: boolean;
  dead: boolean;
  inbox: (() => void)[];
  /** Rate of the monotonic clock. */
  rate: number;
  wallMs: number;
  /** Time that the monotonic clock missed because the machine was suspended. */
  suspendedMs: number;
  nonces: number;
  log: string[];
}

export class LeaseSimulation {
  readonly scheduler = new VirtualTimeScheduler(undefined, 0);

  readonly random: Random;

  faults: Faults = {
    out: false, latencyMs: 2, lostAnswers: 0, lateMs: 0,
  };

  record: { version: number; value: string } | undefined;

  readonly instances = new Map<string, LeaseInstance>();

  calls = 0;

  /** The instances that should acquire an expired lease first; all if empty. */
  candidates: readonly string[] = [];

  /** The times at which more than one instance held the lease. */
  readonly overlaps: number[] = [];

  private constructor(names: readonly string[], seed: number) {
    this.random = Random.of(seed);
    names.forEach((name) => this.start(name));
  }

  static of(names: readonly string[], seed = 1): LeaseSimulation {
    return new LeaseSimulation(names, seed);
  }

  start(name: string): void {
    const lease = leaseOf({
      holder: name, incarnation: 1, durationMs: DURATION_MS, orderMs: ORDER_MS,
    });
    this.instances.set(name, {
      lease,
      paused: false,
      dead: false,
      inbox: [],
      rate: 1,
      wallMs: 0,
      suspendedMs: 0,
      nonces: 0,
      log: [],
    });
    this.#later(name, this.random.integer(1, TICK_MS), () => this.#tick(name));
  }

  get(name: string): LeaseInstance {
    return this.instances.get(name)!;
  }

  clock(name: string): Instant {
    const { rate, wallMs, suspendedMs } = this.get(name);
    const now = this.scheduler.now();
    return { monotonic: now * rate - suspendedMs, wall: now + wallMs };
  }

  holders(): readonly string[] {
    return [...this.instances.keys()].filter((name) => this.holding(name));
  }

  holding(name: string) {
    const { lease, dead } = this.get(name);
    return dead ? undefined : grantAt(lease, this.clock(name));
  }

  wake(name: string): void {
    const instance = this.get(name);
    instance.paused = false;
    instance.inbox.splice(0).forEach((action) => action());
  }

  run(ms: number): void {
    const until = this.scheduler.frame + ms;
    while (this.scheduler.frame < until) {
      runTo(this.scheduler, Math.min(until, this.scheduler.frame + TICK_MS));
      if (this.holders().length > 1) this.overlaps.push(this.scheduler.frame);
    }
  }

  event(name: string, event: LeaseEvent): void {
    const instance = this.get(name);
    const { lease, effects } = leaseTransaction(instance.lease, event, this.clock(name));
    instance.lease = lease;
    effects.forEach((effect) => this.#perform(name, effect));
  }

  release(name: string): void {
    this.event(name, { kind: 'release', nonce: this.#nonce(name) });
  }

  #nonce(name: string): string {
    const instance = this.get(name);
    instance.nonces += 1;
    return `${name}-${instance.nonces}`;
  }

  #tick(name: string): void {
    const candidate = this.candidates.length === 0 || this.candidates.includes(name);
    this.event(name, { kind: 'tick', nonce: this.#nonce(name), candidate });
    this.#later(name, TICK_MS, () => this.#tick(name));
  }

  #later(name: string, ms: number, action: () => void): void {
    const run = () => {
      const instance = this.get(name);
      if (instance.dead) return;
      if (instance.paused) instance.inbox.push(run);
      else action();
    };
    this.scheduler.schedule(run, ms);
  }

  #perform(name: string, effect: LeaseEffect): void {
    const { latencyMs } = this.faults;
    if (effect.kind === 'read' || effect.kind === 'write') this.calls += 1;
    switch (effect.kind) {
      case 'read':
        this.scheduler.schedule(() => {
          const outcome = this.#read();
          this.#later(name, latencyMs, () => this.event(name, { kind: 'read', outcome }));
        }, latencyMs);
        break;
      case 'write':
        this.scheduler.schedule(() => {
          const outcome = this.#write(effect);
          const { nonce } = effect;
          this.#later(name, latencyMs, () => this.event(name, { kind: 'written', nonce, outcome }));
        }, latencyMs);
        break;
      case 'taken':
        this.get(name).log.push('taken');
        break;
      case 'lost':
        this.get(name).log.push(effect.reason);
        break;
    }
  }

  #read(): ReadOutcome {
    if (this.faults.out) return { kind: 'failed' };
    return this.record ? { kind: 'found', ...this.record } : { kind: 'absent' };
  }

  #write(effect: Extract<LeaseEffect, { kind: 'write' }>): WriteOutcome {
    if (this.faults.out) return { kind: 'failed' };
    if (this.random.fraction() < this.faults.lostAnswers) {
      this.scheduler.schedule(() => this.#update(effect), this.faults.lateMs);
      return { kind: 'ambiguous' };
    }
    return this.#update(effect);
  }

  #update({ expected, value }: Extract<LeaseEffect, { kind: 'write' }>): WriteOutcome {
    const current = this.record?.version ?? 0;
    if (current !== (expected.kind === 'version' ? expected.version : 0)) {
      return { kind: 'conflict' };
    }
    this.record = { version: current + 1, value };
    return { kind: 'done', version: current + 1 };
  }
}
