/**
 * The call budget of one instance: a token bucket for reads and one for writes. Each use of the
 * store may empty the bucket down to its own reserve only, so a bucket that runs low serves the
 * configuration longest and status reports least. A store that says it is overloaded makes the
 * budget smaller for a while.
 */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { CallClass } from './objects.js';

/** Part of the bucket that a use has to leave to the more urgent ones. */
const RESERVE: Readonly<Record<CallClass, number>> = {
  configuration: 0, claims: 0.2, lease: 0.4, status: 0.6,
};

/** Seconds of the rate that the bucket holds. */
const BURST_SECONDS = 4;
/** A bucket holds at least this many calls, so that each use can be served at all. */
const MIN_BURST_CALLS = 5;
const BACKOFF_FACTOR = 0.5;
const MIN_FACTOR = 1 / 16;
/** Part of the full rate that is regained with each second without a complaint of the store. */
const RECOVERY_PER_SECOND = 0.05;

/** What the store serves to all instances together, calls a second. */
export interface StoreRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

export interface Bucket {
  readonly tokens: number;
  /** When `tokens` and `factor` were last brought up to date. */
  readonly at: number;
  /** Part of the rate that is used, less than 1 after the store complained. */
  readonly factor: number;
}

/** Leaves room for other users of the store and for the rates being exceeded for a moment. */
export const FLEET_RATES: StoreRates = { readsPerSecond: 1_500, writesPerSecond: 300 };

/** Part of the writes that is set aside for the claim shards and follows their homes. */
const CLAIM_WRITES_PART = 0.6;

/**
 * One instance's part of the fleet's rates. The parts of all instances add up to the whole as long
 * as they agree on the members.
 * @param homed part of the claim shards that the instance is home to, from 0 to 1
 */
export function shareOf(fleet: StoreRates, members: number, homed: number): StoreRates {
  const equal = 1 / Math.max(1, members);
  const writes = CLAIM_WRITES_PART * homed + (1 - CLAIM_WRITES_PART) * equal;
  return {
    readsPerSecond: fleet.readsPerSecond * equal,
    writesPerSecond: fleet.writesPerSecond * writes,
  };
}

function capacityOf(rate: number): number {
  return Math.max(MIN_BURST_CALLS, rate * BURST_SECONDS);
}

/** A full bucket for `rate` calls a second. */
export function fullBucket(rate: number, now: number): Bucket {
  return { tokens: capacityOf(rate), at: now, factor: 1 };
}

function refill(bucket: Bucket, rate: number, now: number): Bucket {
  const seconds = Math.max(0, now - bucket.at) / MILLISECONDS_PER_SECOND;
  return {
    tokens: Math.min(capacityOf(rate), bucket.tokens + seconds * rate * bucket.factor),
    at: Math.max(now, bucket.at),
    factor: Math.min(1, bucket.factor + seconds * RECOVERY_PER_SECOND),
  };
}

/** `waitMs` is 0 when the call is admitted, else the time until it would be. */
export interface Admission { readonly bucket: Bucket; readonly waitMs: number }

/** Takes a token for `use`, unless that would go below its reserve. */
export function admit(bucket: Bucket, rate: number, use: CallClass, now: number): Admission {
  const filled = refill(bucket, rate, now);
  const needed = 1 + RESERVE[use] * (capacityOf(rate) - 1);
  if (filled.tokens >= needed) {
    return { bucket: { ...filled, tokens: filled.tokens - 1 }, waitMs: 0 };
  }
  const seconds = (needed - filled.tokens) / (rate * filled.factor);
  return { bucket: filled, waitMs: Math.max(1, Math.ceil(seconds * MILLISECONDS_PER_SECOND)) };
}

/** The bucket after the store said that it is overloaded. */
export function slowDown(bucket: Bucket, rate: number, now: number): Bucket {
  const filled = refill(bucket, rate, now);
  return { ...filled, tokens: 0, factor: Math.max(MIN_FACTOR, filled.factor * BACKOFF_FACTOR) };
}
