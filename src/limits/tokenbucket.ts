/** A token bucket whose rate and size change while it is in use. Pure. */
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: number;
}

export interface BucketSize {
  readonly perSecond: number;
  /** At least 1, so that a request can pass at all. */
  readonly capacity: number;
}

export function fullBucket({ capacity }: BucketSize, now: number): TokenBucket {
  return { tokens: capacity, updatedAt: now };
}

/** The bucket as it is now; tokens above a capacity that shrank are lost. */
export function refill(bucket: TokenBucket, size: BucketSize, now: number): TokenBucket {
  const seconds = Math.max(0, now - bucket.updatedAt) / MILLISECONDS_PER_SECOND;
  const tokens = Math.min(size.capacity, bucket.tokens + seconds * size.perSecond);
  return { tokens, updatedAt: now };
}

/** The bucket after one request, or undefined when it has no token. */
export function take(bucket: TokenBucket): TokenBucket | undefined {
  return bucket.tokens < 1 ? undefined : { ...bucket, tokens: bucket.tokens - 1 };
}

/** Time until a token is there; infinite at rate 0. */
export function waitMs(bucket: TokenBucket, { perSecond }: BucketSize): number {
  return (Math.max(0, 1 - bucket.tokens) / perSecond) * MILLISECONDS_PER_SECOND;
}
