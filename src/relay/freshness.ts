/**
 * How current this instance's copy of a kind of objects in the store is. A copy is confirmed when
 * the store answers, and when another instance reports a copy without newer changes. Pure
 * functions, which tests call without a network.
 */

/** What an instance tells others of its copy. */
export interface CopyReport {
  /** Version of the newest change in the copy. */
  readonly newestChange: number;
  /** Time since the copy was last confirmed. */
  readonly ageMs: number;
}

export interface Freshness {
  /** Changes made before this time are in the copy. */
  readonly confirmedAt: number;
  /** A change that another instance has and this one lacks, and when this was first reported. */
  readonly missing: { readonly version: number; readonly since: number } | undefined;
}

/** Twice the time that a change takes at most to arrive through a working watch. */
export const MISSING_MS = 300;

export const NEVER_CONFIRMED: Freshness = { confirmedAt: -Infinity, missing: undefined };

/** Confirms the copy as of a time. */
export function withConfirmation(state: Freshness, at: number): Freshness {
  return { ...state, confirmedAt: Math.max(state.confirmedAt, at) };
}

/** @param position version up to which this instance's copy is complete */
export function withReport(
  state: Freshness,
  { newestChange, ageMs }: CopyReport,
  position: number,
  now: number,
): Freshness {
  const missing = state.missing && state.missing.version > position ? state.missing : undefined;
  if (newestChange <= position) return withConfirmation({ ...state, missing }, now - ageMs);
  return { ...state, missing: missing ?? { version: newestChange, since: now } };
}

/** Whether a change is missing for longer than the instance's own watch needs to deliver it. */
export function isBehind(
  { missing }: Freshness,
  position: number,
  now: number,
  missingMs = MISSING_MS,
): boolean {
  return missing !== undefined && missing.version > position && now - missing.since >= missingMs;
}
