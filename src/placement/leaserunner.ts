/** Runs the lease's state machine against the object API. */
import { ignoreElements, tap, timer } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Placement } from '../configuration/configuration.js';
import type { Child } from '../common/supervisor.js';
import type { ObjectApi, StoreError } from '../store/objects.js';
import { grantAt, leaseTransaction } from './lease.js';
import type { LeaseGrant } from './lease.js';
import type {
  Instant, LeaseEffect, LeaseEvent, ReadOutcome, WriteOutcome,
} from './leaseevents.js';
import { leaseOf } from './leasestate.js';
import type { Lease } from './leasestate.js';

const LEASE_NAME = 'lease/placement';

const TICK_MS = 250;
const TICK_JITTER = 0.2;

export interface LeaseRunnerOptions {
  /** This instance. */
  readonly holder: string;
  readonly incarnation: number;
  readonly objects: ObjectApi;
  readonly scheduler: SchedulerLike;
  /** Milliseconds of the wall clock; the scheduler's clock is the monotonic one. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly placement: () => Placement;
  /** Whether this instance is among the first that should acquire an expired lease. */
  readonly candidate: () => boolean;
}

/** The lease's holder and fencing token, as last read. */
export interface LeaseView { readonly holder: string | undefined; readonly fence: number }

function failedWriteOutcome({ code }: StoreError): WriteOutcome {
  switch (code) {
    case 'conflict': return { kind: 'conflict' };
    case 'ambiguous': return { kind: 'ambiguous' };
    case 'unavailable':
    case 'not_found':
    case 'too_large':
    case 'rate_limited':
    case 'version_too_old':
    case 'budget':
      return { kind: 'failed' };
  }
}

export class LeaseRunner implements Child {
  readonly name = 'lease';

  readonly run: Observable<never>;

  readonly #options: LeaseRunnerOptions;

  #lease: Lease;

  private constructor(options: LeaseRunnerOptions) {
    const { leaseMs, orderTimeoutMs } = options.placement();
    this.#options = options;
    this.#lease = leaseOf({
      holder: options.holder,
      incarnation: options.incarnation,
      durationMs: leaseMs,
      orderMs: orderTimeoutMs,
    });
    const period = Math.round(options.random.jitter(TICK_MS, TICK_JITTER));
    this.run = timer(0, period, options.scheduler).pipe(
      tap(() => this.#tick()),
      ignoreElements(),
    );
  }

  static of(options: LeaseRunnerOptions): LeaseRunner {
    return new LeaseRunner(options);
  }

  /** This instance's grant at the current time. */
  grant(): LeaseGrant | undefined {
    return grantAt(this.#lease, this.#now());
  }

  view(): LeaseView {
    const { held, observed, holder } = this.#lease;
    if (held) return { holder, fence: held.version };
    const other = observed?.record.holder;
    return { holder: other === '' ? undefined : other, fence: observed?.version ?? 0 };
  }

  /** Releases the lease and stops acquiring it, as when the instance leaves. */
  release(): void {
    this.#apply({ kind: 'release', nonce: this.#options.random.identifier() });
  }

  #now(): Instant {
    return { monotonic: this.#options.scheduler.now(), wall: this.#options.wallClock() };
  }

  #tick(): void {
    const { placement, candidate, random } = this.#options;
    const { leaseMs, orderTimeoutMs } = placement();
    // Changed settings apply from the next write.
    this.#lease = { ...this.#lease, durationMs: leaseMs, orderMs: orderTimeoutMs };
    this.#apply({ kind: 'tick', nonce: random.identifier(), candidate: candidate() });
  }

  #apply(event: LeaseEvent): void {
    const { lease, effects } = leaseTransaction(this.#lease, event, this.#now());
    this.#lease = lease;
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: LeaseEffect): void {
    const { log } = this.#options;
    switch (effect.kind) {
      case 'read':
        this.#applyOutcome(this.#read(), { kind: 'failed' }, (outcome) => ({
          kind: 'read', outcome,
        }));
        break;
      case 'write': {
        const { nonce } = effect;
        this.#applyOutcome(this.#write(effect), { kind: 'ambiguous' }, (outcome) => ({
          kind: 'written', nonce, outcome,
        }));
        break;
      }
      case 'taken':
        log.event('info', 'lease_taken', { fence: effect.fence });
        break;
      case 'lost':
        log.event('info', 'lease_lost', { reason: effect.reason });
        break;
    }
  }

  /** Applies the call's outcome exactly once; `fallback` if it fails or times out. */
  #applyOutcome<Outcome>(
    call: Promise<Outcome>,
    fallback: Outcome,
    eventOf: (outcome: Outcome) => LeaseEvent,
  ): void {
    const { scheduler, log } = this.#options;
    let pending = true;
    const finish = (outcome: Outcome) => {
      if (pending) this.#apply(eventOf(outcome));
      pending = false;
    };
    const deadline = scheduler.schedule(() => finish(fallback), this.#lease.durationMs);
    call.catch((error: unknown) => {
      log.event('error', 'lease_call_failed', { reason: String(error) });
      return fallback;
    }).then((outcome) => {
      deadline.unsubscribe();
      finish(outcome);
    }).catch((error: unknown) => {
      log.event('error', 'lease_failed', { reason: String(error) });
    });
  }

  async #read(): Promise<ReadOutcome> {
    const result = await this.#options.objects.get(LEASE_NAME, 'lease');
    return result.match<ReadOutcome>(
      ({ version, value }) => ({ kind: 'found', version, value }),
      ({ code }) => ({ kind: code === 'not_found' ? 'absent' : 'failed' }),
    );
  }

  async #write(effect: Extract<LeaseEffect, { kind: 'write' }>): Promise<WriteOutcome> {
    const { value, expected } = effect;
    const result = await this.#options.objects.put(LEASE_NAME, value, expected, 'lease');
    return result.match<WriteOutcome>(
      ({ version }) => ({ kind: 'done', version }),
      failedWriteOutcome,
    );
  }
}
