/**
 * Decides when a silent stream or server counts as failed. An engine that prefills a long prompt
 * pauses its other runs for some hundred milliseconds, so silence alone is no failure: the server
 * is first checked with a new connection, which one that is down or partitioned does not accept.
 */

/** Silence after which a server is checked: longer than one event's pause during a prefill. */
const CHECK_AFTER_MS = 150;
/** Limits the checks of an engine that sends nothing because it only prefills prompts. */
const CHECK_INTERVAL_MS = 250;
/** Share of the pause objective after which a stream resumes from its standby copy. */
const MIGRATION_SHARE = 0.7;
/** The first event is overdue after its expected time times the factor, plus the margin. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 600;
/** A failed check is repeated once, in case a packet was lost. */
const MAX_FAILED_CHECKS = 2;

export interface StreamActivity {
  readonly startedAt: number;
  /** When the last event arrived; undefined before the first. */
  readonly eventAt: number | undefined;
  readonly expectedFirstMs: number;
  readonly pauseObjectiveMs: number | undefined;
  /** Whether the run can resume from a standby copy, without another prefill of its prompt. */
  readonly hasStandby: boolean;
}

/** Time after which a stream's first event is overdue. */
export function overdueMs(expectedFirstMs: number): number {
  return expectedFirstMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
}

/** Whether a stream should move to another engine although its server can be reached. */
export function isOverdue(stream: StreamActivity, now: number): boolean {
  if (stream.eventAt === undefined) {
    return now - stream.startedAt > overdueMs(stream.expectedFirstMs);
  }
  if (!stream.hasStandby || stream.pauseObjectiveMs === undefined) return false;
  return now - stream.eventAt > stream.pauseObjectiveMs * MIGRATION_SHARE;
}

export interface ServerActivity {
  /** When bytes last arrived from the server, or a stream was last started on it. */
  readonly heardAt: number;
  readonly checkedAt: number;
  readonly failedChecks: number;
  readonly checking: boolean;
}

export type SilenceAction = 'wait' | 'check' | 'lost';

export function nextAction(server: ServerActivity, now: number): SilenceAction {
  if (server.failedChecks >= MAX_FAILED_CHECKS) return 'lost';
  if (server.checking || now - server.heardAt < CHECK_AFTER_MS) return 'wait';
  if (server.failedChecks > 0) return 'check';
  return now - server.checkedAt < CHECK_INTERVAL_MS ? 'wait' : 'check';
}
