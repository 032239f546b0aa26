/** What one instance knows of the placement lease. */
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
  /** 0 when the write gives the lease up. */
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
  /** Monotonic time from which no order of an earlier holder can take effect. */
  readonly earlierOrdersExpireAt: number;
  /** Whether the record may have changed under the holder; until it is read, nothing is held. */
  readonly unverified: boolean;
  /** The call under way. */
  readonly call: 'none' | 'read' | 'write';
  /** Whether this instance has given the lease up for good. */
  readonly released: boolean;
  /** Writes that may have taken effect, or may still. */
  readonly unconfirmedWrites: readonly LeaseWrite[];
  readonly lastReadAt: number;
  /** Calls that failed one after the other. */
  readonly consecutiveFailures: number;
  /** Monotonic time before which no call is tried again. */
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
