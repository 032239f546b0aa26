/**
 * The call budget of one instance: a token bucket for reads and one for writes. Each class of calls
 * may empty a bucket only down to a reserve for the more urgent classes, so that a bucket that runs
 * low refuses status reports first and configuration reads last. When the store reports that it is
 * overloaded, the refill rate is reduced for a while.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { CallClass } from './objects.js';

/** Fraction of the bucket that a class of calls has to leave to the more urgent classes. */
const RESERVE: Readonly<Record<CallClass, number>> = {
  configuration: 0, claims: 0.2, lease: 0.4, status: 0.6,
};

/** Capacity of a bucket, in seconds of its rate. */
const BURST_SECONDS = 4;
/** Smallest capacity of a bucket, in calls, so that calls of every class can be admitted. */
const MIN_BURST_CALLS = 5;
const BACKOFF_FACTOR = 0.5;
const MIN_FACTOR = 1 / 16;
/** Fraction of the full rate regained per second after the store reported overload. */
const RECOVERY_PER_SECOND = 0.05;

/** Rates of calls per second, of all instances together or of one instance. */
export interface StoreRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

export interface Bucket {
  readonly tokens: number;
  /** When `tokens` and `factor` were last updated. */
  readonly updatedAt: number;
  /** Fraction of the rate in use; less than 1 after the store reported overload. */
  readonly factor: number;
}

/** Rates of all instances together, with room for other clients of the store and for bursts. */
export const FLEET_RATES: StoreRates = { readsPerSecond: 1_500, writesPerSecond: 300 };

/** Fraction of the writes reserved for claim shards, divided like the shards' homes. */
const CLAIM_WRITES_FRACTION = 0.6;

/**
 * One instance's share of the fleet's rates. The shares of all instances add up to the fleet's
 * rates as long as they agree on the members.
 * @param homed fraction of the claim shards that the instance is home to, from 0 to 1
 */
export function shareOf(fleet: StoreRates, members: number, homed: number): StoreRates {
  const equal = 1 / Math.max(1, members);
  const writes = CLAIM_WRITES_FRACTION * homed + (1 - CLAIM_WRITES_FRACTION) * equal;
  return {
    readsPerSecond: fleet.readsPerSecond * equal,
    writesPerSecond: fleet.writesPerSecond * writes,
  };
}

function capacityOf(rate: number): number {
  return Math.max(MIN_BURST_CALLS, rate * BURST_SECONDS);
}

/** A full bucket for `rate` calls per second. */
export function fullBucket(rate: number, now: number): Bucket {
  return { tokens: capacityOf(rate), updatedAt: now, factor: 1 };
}

function refill(bucket: Bucket, rate: number, now: number): Bucket {
  const seconds = Math.max(0, now - bucket.updatedAt) / MILLISECONDS_PER_SECOND;
  return {
    tokens: Math.min(capacityOf(rate), bucket.tokens + seconds * rate * bucket.factor),
    updatedAt: Math.max(now, bucket.updatedAt),
    factor: Math.min(1, bucket.factor + seconds * RECOVERY_PER_SECOND),
  };
}

/** `waitMs` is 0 if the call is admitted, otherwise the time until it would be. */
export interface Admission { readonly bucket: Bucket; readonly waitMs: number }

/** Takes a token for a call of `callClass`, unless that would go below the reserve of the class. */
export function admit(bucket: Bucket, rate: number, callClass: CallClass, now: number): Admission {
  const filled = refill(bucket, rate, now);
  const needed = 1 + RESERVE[callClass] * (capacityOf(rate) - 1);
  if (filled.tokens >= needed) {
    return { bucket: { ...filled, tokens: filled.tokens - 1 }, waitMs: 0 };
  }
  const seconds = (needed - filled.tokens) / (rate * filled.factor);
  return { bucket: filled, waitMs: Math.max(1, Math.ceil(seconds * MILLISECONDS_PER_SECOND)) };
}

/** The bucket after the store reported overload: empty, and refilled at a lower rate. */
export function throttle(bucket: Bucket, rate: number, now: number): Bucket {
  const filled = refill(bucket, rate, now);
  return { ...filled, tokens: 0, factor: Math.max(MIN_FACTOR, filled.factor * BACKOFF_FACTOR) };
}
