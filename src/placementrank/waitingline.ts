/**
 * Requests that wait a short time for room at a service's engines, the more urgent ranks first, and
 * within a rank the one with the least time left. A wait is a small share of what the caller allows
 * for its first event: with long waits, requests were served late that would have been served in
 * time elsewhere or after a retry.
 */

/** Share of the objective for the first event that a request may wait. */
const WAIT_SHARE = 0.05;
/** More are not served within their wait by an instance of this size. */
const MAX_WAITING = 64;
/** Only the first in line are tried at a time, since each try looks at every engine. */
const TRIED_AT_ONCE = 4;

export interface Wait {
  readonly rank: number;
  /** Room that the request needs. */
  readonly tokens: number;
  /** When its first event is due. */
  readonly dueAt: number;
  /** When it is refused if there is still no room. */
  readonly leaveAt: number;
}

export interface WaitInput {
  readonly rank: number;
  readonly tokens: number;
  readonly receivedAt: number;
  readonly objectiveMs: number;
  /** From its placement to the first event. */
  readonly firstEventMs: number;
  /** Room that comes free in a millisecond at all engines. */
  readonly freedTokensPerMs: number;
}

export function inOrder<Each extends Wait>(waiting: readonly Each[]): readonly Each[] {
  return [...waiting].sort((left, right) => left.rank - right.rank || left.dueAt - right.dueAt);
}

/** The wait of a request; undefined if it is refused at once. */
export function waitOf(
  {
    rank, tokens, receivedAt, objectiveMs, firstEventMs, freedTokensPerMs,
  }: WaitInput,
  waiting: readonly Wait[],
  now: number,
): Wait | undefined {
  const dueAt = receivedAt + objectiveMs;
  const leaveAt = Math.min(now + objectiveMs * WAIT_SHARE, dueAt - firstEventMs);
  const ahead = waiting.filter((other) => (
    other.rank < rank || (other.rank === rank && other.dueAt <= dueAt)));
  const neededTokens = ahead.reduce((sum, other) => sum + other.tokens, tokens);
  if (waiting.length >= MAX_WAITING) return undefined;
  if (now + neededTokens / freedTokensPerMs > leaveAt) return undefined;
  return {
    rank, tokens, dueAt, leaveAt,
  };
}

/** Who is refused now, and who is tried next, in order. */
export function nextOf<Each extends Wait>(
  waiting: readonly Each[],
  now: number,
): { readonly leaving: readonly Each[]; readonly tried: readonly Each[] } {
  return {
    leaving: waiting.filter(({ leaveAt }) => leaveAt <= now),
    tried: inOrder(waiting.filter(({ leaveAt }) => leaveAt > now)).slice(0, TRIED_AT_ONCE),
  };
}
