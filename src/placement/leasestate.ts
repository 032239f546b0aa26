/** What one instance knows of the placement lease. */
import type { Instant, LeaseRecord } from './leasemessage.js';

export interface Observed {
  /** 0 when there is no record. */
  readonly version: number;
  readonly record: LeaseRecord;
  /** Monotonic time at which this version was first seen. */
  readonly seenAt: number;
}

export interface Held {
  readonly version: number;
  readonly since: Instant;
  readonly durationMs: number;
  readonly orderMs: number;
}

export interface Write {
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
  readonly observed: Observed | undefined;
  readonly held: Held | undefined;
  /** Monotonic time from which no order of an earlier holder can take effect. */
  readonly settledAt: number;
  /** Whether the record may have changed under the holder; until it is read, nothing is held. */
  readonly doubtful: boolean;
  /** The call under way. */
  readonly call: 'none' | 'read' | 'write';
  /** Whether this instance has given the lease up for good. */
  readonly resigned: boolean;
  /** Writes that may have taken effect, or may still. */
  readonly unsettled: readonly Write[];
  readonly readAt: number;
  /** Calls that failed one after the other. */
  readonly failures: number;
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
    settledAt: -Infinity,
    doubtful: false,
    call: 'none',
    resigned: false,
    unsettled: [],
    readAt: -Infinity,
    failures: 0,
    retryAt: -Infinity,
  };
}
