/** Pure functions of a token bucket whose rate and capacity may change while it is in use. */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: number;
}

export interface BucketSize {
  readonly perSecond: number;
  /** At least 1; otherwise no request would pass. */
  readonly capacity: number;
}

export function fullBucket({ capacity }: BucketSize, now: number): TokenBucket {
  return { tokens: capacity, updatedAt: now };
}

/** Refills the bucket; tokens above a reduced capacity are lost. */
export function refill(bucket: TokenBucket, size: BucketSize, now: number): TokenBucket {
  const seconds = Math.max(0, now - bucket.updatedAt) / MILLISECONDS_PER_SECOND;
  const tokens = Math.min(size.capacity, bucket.tokens + seconds * size.perSecond);
  return { tokens, updatedAt: now };
}

/** Takes a token for a request; undefined if there is none. */
export function take(bucket: TokenBucket): TokenBucket | undefined {
  return bucket.tokens < 1 ? undefined : { ...bucket, tokens: bucket.tokens - 1 };
}

/** Time until a token is available; infinite at rate 0. */
export function waitMs(bucket: TokenBucket, { perSecond }: BucketSize): number {
  return (Math.max(0, 1 - bucket.tokens) / perSecond) * MILLISECONDS_PER_SECOND;
}
