/**
 * An instance's share of a server's rate limit, which all instances keep together. Pure functions.
 *
 * Instances don't ask each other before they send a request. Each takes an equal share of the
 * limit, on the assumption that every instance that it does not know to be idle takes one too. So
 * the shares add up to at most the limit while instances don't reach each other.
 *
 * A share below one request a second still sends whole requests, so the more instances share a
 * limit, the more they may send at the same moment. A small limit is therefore left to a few of
 * them, chosen by rendezvous hashing.
 */
import { rendezvousOrder } from '../common/hash.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { refill, take, waitMs } from './tokenbucket.js';
import type { BucketSize, TokenBucket } from './tokenbucket.js';

/** A server that takes nothing is still asked this often whether that holds. */
const MIN_PER_SECOND = 0.05;
/** Instances that may share a limit, beyond one for each request a second. */
const EXTRA_USERS = 2;
/** Unused permits are kept for this time, so that uneven arrivals can use the whole share. */
const BURST_MS = 500;

/** The instances that use a server, or may do so. */
export interface Users {
  readonly self: string;
  /** Other live instances that are not known to be idle. */
  readonly others: readonly string[];
  /** Instances that were alive lately and are not heard of. */
  readonly unheard: number;
}

/** Requests per second that this instance may send to a server with this limit. */
export function shareOf(
  limitPerSecond: number,
  server: string,
  { self, others, unheard }: Users,
): number {
  const perSecond = Math.max(limitPerSecond, MIN_PER_SECOND);
  const known = 1 + others.length;
  const users = known + unheard;
  const maxUsers = Math.floor(perSecond + EXTRA_USERS);
  if (users <= maxUsers) return perSecond / users;
  const chosen = Math.max(1, Math.floor((maxUsers * known) / users));
  const rank = rendezvousOrder(server, [self, ...others]).indexOf(self);
  return rank < chosen ? (perSecond * known) / users / chosen : 0;
}

/** The permits of one instance for one server. */
export interface Throttle {
  /** This instance's share of the limit, in requests per second. */
  readonly share: number;
  readonly bucket: TokenBucket;
}

/** A throttle without permits: requests sent before the limit was known may still arrive. */
export function emptyThrottle(now: number): Throttle {
  return { share: 0, bucket: { tokens: 0, updatedAt: now } };
}

function sizeOf(share: number): BucketSize {
  return {
    perSecond: share,
    capacity: Math.max(1, (share * BURST_MS) / MILLISECONDS_PER_SECOND),
  };
}

/** Adds the permits gained at the former share, and applies a new one. */
export function withShare(throttle: Throttle, share: number, now: number): Throttle {
  const gained = refill(throttle.bucket, sizeOf(throttle.share), now);
  return { share, bucket: refill(gained, sizeOf(share), now) };
}

/** Time until a request may be sent; infinite without a share. */
export function permitDelayMs({ share, bucket }: Throttle): number {
  return share === 0 ? Infinity : waitMs(bucket, sizeOf(share));
}

/** Takes a permit; without one, later requests wait for longer. */
export function withRequest({ share, bucket }: Throttle): Throttle {
  return { share, bucket: take(bucket) ?? { ...bucket, tokens: bucket.tokens - 1 } };
}
