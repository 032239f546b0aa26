/** How the pace of servers enters their choice. Pure functions over plain values. */
import type { Load, ServerState } from './serverstate.js';

/** What is known of a server beside its load. */
export interface Pacing {
  /** Time against the service's mean; exactly 1 within noise. */
  readonly factor: number;
  /** Requests that the server takes well at the same time; its slots if nothing else is known. */
  readonly limit: number;
  /** Whether the factor rests on recent observations; otherwise the server counts as the mean. */
  readonly isKnown: boolean;
}

interface Paced {
  readonly server: ServerState;
  readonly load: Load;
  readonly isLimited: boolean;
  readonly pace?: Pacing | undefined;
}

/** Growth of a call's time past the limit: the rate falls, so that each takes about this longer. */
const PAST_LIMIT_FACTOR = 2;

/** A duration that is longer than the mean by this isn't noise. */
const STALE_RATIO = 1.25;

export function paceFactor({ pace }: Pick<Paced, 'pace'>): number {
  return pace?.factor ?? 1;
}

/** Requests more than the server takes well if it gets one more; 0 unless its slots are more. */
export function runsPastLimit({ server, load, pace }: Omit<Paced, 'isLimited'>): number {
  if (!pace || pace.limit >= server.entry.slots) return 0;
  return Math.max(0, load.running + 1 - pace.limit);
}

function isKnown({ pace }: Paced): boolean {
  return pace?.isKnown ?? false;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Whether an old duration keeps a server unused of which nothing recent is known. */
function isNeglected(candidate: Paced, all: readonly Paced[]): boolean {
  if (isKnown(candidate) || !all.some(isKnown)) return false;
  return candidate.server.meanDurationMs
    > STALE_RATIO * mean(all.map(({ server }) => server.meanDurationMs));
}

/**
 * The expected delay of a call at servers that are not alike: its duration at the server's pace,
 * times the requests there, this one included, against those at the mean server. With it, servers
 * get requests in proportion to their speed also where they have free slots. Undefined while all
 * are alike, when the choice needs no more than their own durations. A server with a rate limit has
 * a duration of its own.
 */
export function delayPerLoad<Item extends Paced>(
  candidates: readonly Item[],
): ((candidate: Item) => number | undefined) | undefined {
  const paced = candidates.filter(({ isLimited }) => !isLimited);
  const isAlike = paced.every((candidate) => (
    paceFactor(candidate) === 1 && runsPastLimit(candidate) === 0
    && !isNeglected(candidate, paced)));
  if (isAlike) return undefined;
  const known = paced.some(isKnown) ? paced.filter(isKnown) : paced;
  const meanMs = mean(known.map(({ server, pace }) => (
    server.meanDurationMs / paceFactor({ pace }))));
  const meanRequests = mean(paced.map(({ load }) => load.running + 1));
  return (candidate) => {
    if (candidate.isLimited) return undefined;
    const past = runsPastLimit(candidate) > 0 ? PAST_LIMIT_FACTOR : 1;
    return meanMs * paceFactor(candidate) * past * ((candidate.load.running + 1) / meanRequests);
  };
}
