/**
 * What silence of a stream means. An engine that reads a long prompt between the tokens of its
 * other runs pauses them for some hundred milliseconds, so silence alone is no loss: first the
 * engine is asked for a connection, which one that is dark or cut off doesn't accept.
 */

/** Silence of a server after which it is checked: past the pause of one event beside a prompt. */
const CHECK_AFTER_MS = 150;
/** While an engine only reads prompts, checks would come one after the other. */
const CHECK_INTERVAL_MS = 250;
/** Part of the longest pause aimed at, after which a stream goes on from its standby copy. */
const MIGRATION_SHARE = 0.7;
/** The first event is overdue after so many times its expected time, and this much besides. */
const OVERDUE_FACTOR = 2;
const OVERDUE_MARGIN_MS = 600;
/** A check that fails is made once more, for a lost packet. */
const MAX_FAILED_CHECKS = 2;

export interface StreamActivity {
  readonly startedAt: number;
  /** When the last event came; undefined before the first. */
  readonly eventAt: number | undefined;
  readonly expectedFirstMs: number;
  readonly pauseObjectiveMs: number | undefined;
  /** Whether the run can go on without its prompt being read anew. */
  readonly hasStandby: boolean;
}

/** Whether a stream is to go on elsewhere though its server is reached. */
export function overdue(stream: StreamActivity, now: number): boolean {
  if (stream.eventAt === undefined) {
    return now - stream.startedAt > stream.expectedFirstMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
  }
  if (!stream.hasStandby || stream.pauseObjectiveMs === undefined) return false;
  return now - stream.eventAt > stream.pauseObjectiveMs * MIGRATION_SHARE;
}

export interface ServerActivity {
  /** When anything last came from the server, or work was given to it. */
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
