/** Whether a request is admitted, by its rank, workspace and the time that it has left. */
import { standing } from './cut.js';
import type { Cut } from './cut.js';

/**
 * Turns of the event loop that a request takes from its head to its answer: its body, the choice of
 * a server, two turns before it is sent, the head and the body of the answer.
 */
export const PASSES = 6;

export interface Applicant {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Place of its workspace, as `placeOf` gives it. */
  readonly place: number;
  /** How long it has waited, and how long its caller still waits. */
  readonly waitedMs: number;
  readonly remainingMs: number;
  readonly objectiveMs: number;
}

/**
 * `deadline`: it can't be answered in time. `late`: it can't meet its objective, and gives way.
 * `rank` and `workspace`: it is below the level by its rank, or in its rank. `share`: it is one of
 * those at the level that are too many.
 */
export type ShedReason = 'deadline' | 'late' | 'rank' | 'workspace' | 'share';

export interface LoadState {
  /** Undefined if all demand can be served. */
  readonly cut: Cut | undefined;
  /** The queueing delay of one turn; 0 unless the instance is overloaded. */
  readonly delayMs: number;
  /** Parts of requests at the level that were not admitted yet, from 0 to 1. */
  readonly credit: number;
}

/** @property credit what is left for the next request at the level */
export interface Verdict {
  readonly refused: ShedReason | undefined;
  readonly credit: number;
}

/** Turns that are left when a server is to be chosen. */
const PASSES_LEFT = PASSES - 2;

/** Whether a request that has been read can't be answered in time, given the delay of a turn. */
export function isTooLate(remainingMs: number, delayMs: number): boolean {
  return remainingMs <= delayMs * PASSES_LEFT;
}

export function decide(
  {
    rank, place, waitedMs, remainingMs, objectiveMs,
  }: Applicant,
  { cut, delayMs, credit }: LoadState,
): Verdict {
  const aheadMs = delayMs * PASSES;
  if (remainingMs <= aheadMs) return { refused: 'deadline', credit };
  if (!cut) return { refused: undefined, credit };
  const isLate = waitedMs + aheadMs > objectiveMs;
  switch (standing(cut, rank, place)) {
    case 'above':
      // Nothing gives way to the ranks that are refused anyway.
      return { refused: isLate && rank > 0 && rank === cut.rank ? 'late' : undefined, credit };
    case 'below':
      return { refused: rank > cut.rank ? 'rank' : 'workspace', credit };
    case 'at': {
      if (isLate) return { refused: 'late', credit };
      const next = credit + cut.share;
      return next >= 1
        ? { refused: undefined, credit: next - 1 } : { refused: 'share', credit: next };
    }
  }
}

/** Callers honour a delay up to this share of their remaining time. */
const HONOURED_SHARE = 1 / 3;
/** Spreads the callers of one second, at the least and the most overload. */
const MIN_SPREAD_MS = 400;
const MAX_SPREAD_MS = 1_600;
/** The most urgent come back within the first part of the spread, the others after it. */
const URGENT_SHARE = 0.3;

/**
 * When the caller may come back: soon, since that is likely at another instance, and spread out.
 *
 * @param refused share of the demand that is refused  @param fraction random, from 0 to 1
 */
export function retryAfterMs(
  { rank, remainingMs }: Pick<Applicant, 'rank' | 'remainingMs'>,
  refused: number,
  fraction: number,
): number {
  const spreadMs = MIN_SPREAD_MS + (MAX_SPREAD_MS - MIN_SPREAD_MS) * refused;
  const longestMs = Math.min(spreadMs, Math.max(0, remainingMs) * HONOURED_SHARE);
  const [from, to] = rank === 0 ? [0, URGENT_SHARE] : [URGENT_SHARE, 1];
  return Math.round(longestMs * (from + (to - from) * fraction));
}
