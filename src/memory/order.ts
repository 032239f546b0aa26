/** Who gives way first when the memory for others is short. */

/** What was produced for a caller is given up after what has yet to arrive. */
export type ClaimKind = 'body' | 'answer';

export interface Claim {
  readonly kind: ClaimKind;
  /** Whether its caller has a known key. */
  readonly isKnown: boolean;
  /** Bytes held now. */
  readonly bytes: number;
  /** Bytes at its end, or at most if that is not known. */
  readonly expectedBytes: number;
  readonly startedAt: number;
  /** Whether it does not give way. */
  readonly isFixed: boolean;
}

/** An ordinary request with its prompt. */
export const SMALL_BYTES = 65_536;
/** A small request that has taken longer is no ordinary one. */
const SLOW_MS = 2_000;
/** Avoids a rate of infinity in the first moment. */
const MIN_AGE_MS = 1;

export function isSmall(bytes: number): boolean {
  return bytes <= SMALL_BYTES;
}

/** Expected time until its end at the rate at which it has advanced so far. */
function timeLeftMs({
  kind, bytes, expectedBytes, startedAt,
}: Claim, now: number): number {
  // An answer that is read as fast as it was written is not unread for long.
  if (kind === 'answer') return now - startedAt;
  const left = Math.max(0, expectedBytes - bytes);
  const bytesPerMs = bytes / Math.max(MIN_AGE_MS, now - startedAt);
  return left === 0 ? 0 : left / bytesPerMs;
}

/** A small claim is spared unless it is slow. */
function isSpared({ bytes, startedAt }: Claim, now: number): boolean {
  return isSmall(bytes) && now - startedAt < SLOW_MS;
}

/** Lower ranks give way first. */
function rankOf({ kind, isKnown, bytes }: Claim): number {
  return (kind === 'answer' ? 4 : 0) + (isSmall(bytes) ? 2 : 0) + (isKnown ? 1 : 0);
}

/**
 * Requests give way before answers, large ones before small ones, and callers without a known key
 * before those with one. Among equals it is the one with the longest time left at its speed.
 */
export function firstToGiveWay<Item extends Claim>(
  claims: readonly Item[],
  now: number,
): Item | undefined {
  return claims.filter((claim) => !claim.isFixed && claim.bytes > 0 && !isSpared(claim, now))
    .reduce<Item | undefined>((first, claim) => {
      if (!first || rankOf(claim) < rankOf(first)) return claim;
      const isLater = rankOf(claim) === rankOf(first)
        && timeLeftMs(claim, now) > timeLeftMs(first, now);
      return isLater ? claim : first;
    }, undefined);
}
