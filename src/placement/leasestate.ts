/** One instance's state of the placement lease. */
import type { Instant, LeaseRecord } from './leaseevents.js';

export interface ObservedRecord {
  /** 0 when there is no record. */
  readonly version: number;
  readonly record: LeaseRecord;
  /** Monotonic time at which this version was first seen. */
  readonly firstSeenAt: number;
}

export interface HeldLease {
  readonly version: number;
  readonly since: Instant;
  readonly durationMs: number;
  readonly orderMs: number;
}

export interface LeaseWrite {
  readonly nonce: string;
  readonly sentAt: Instant;
  /** 0 if the write releases the lease. */
  readonly durationMs: number;
  readonly orderMs: number;
}

export interface Lease {
  readonly holder: string;
  readonly incarnation: number;
  readonly durationMs: number;
  readonly orderMs: number;
  readonly observed: ObservedRecord | undefined;
  readonly held: HeldLease | undefined;
  /** Monotonic time from which no earlier holder's order can take effect. */
  readonly earlierOrdersExpireAt: number;
  /** Whether an update conflicted; nothing is granted until the record has been read again. */
  readonly unverified: boolean;
  /** The call in progress. */
  readonly call: 'none' | 'read' | 'write';
  /** Whether this instance has released the lease and won't acquire it again. */
  readonly released: boolean;
  /** Writes that may have taken effect or may still do so. */
  readonly unconfirmedWrites: readonly LeaseWrite[];
  readonly lastReadAt: number;
  readonly consecutiveFailures: number;
  /** Monotonic time before which no call is retried. */
  readonly retryAt: number;
}

export interface LeaseOptions {
  readonly holder: string;
  readonly incarnation: number;
  readonly durationMs: number;
  readonly orderMs: number;
}

export function leaseOf(options: LeaseOptions): Lease {
  return {
    ...options,
    observed: undefined,
    held: undefined,
    earlierOrdersExpireAt: -Infinity,
    unverified: false,
    call: 'none',
    released: false,
    unconfirmedWrites: [],
    lastReadAt: -Infinity,
    consecutiveFailures: 0,
    retryAt: -Infinity,
  };
}
