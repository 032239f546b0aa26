/**
 * Estimates the current load of a backend server from its last load report, which lags, and from
 * the requests that this daemon has dispatched and seen end since. The report covers the requests
 * of all daemons; since then only this daemon's own requests are known.
 */
import type { LoadReport } from '../engines/engine.js';

/** A report may not include requests dispatched less than this time before it arrived. */
const REPORT_DELAY_MS = 5;

export interface ServerLoad {
  /** This daemon's requests in flight at the server. */
  readonly own: number;
  /** Other daemons' requests in flight at the time of the last report. */
  readonly others: number;
  /** Scheduler time of the last report; -1 before the first. */
  readonly reportedAt: number;
  /** This daemon's requests in flight that are included in the report. */
  readonly ownReported: number;
  /** Random number in [0, 1) per report that rounds this daemon's share of the free slots. */
  readonly rounding: number;
  /** Scheduler times of dispatches too recent to be included in a report that arrives now. */
  readonly recent: readonly number[];
  /** Scheduler time at which the server finishes prefilling this daemon's prompts. */
  readonly prefillUntil: number;
}

export const IDLE_SERVER: ServerLoad = {
  own: 0, others: 0, reportedAt: -1, ownReported: 0, rounding: 0, recent: [], prefillUntil: 0,
};

export function loadDispatched(load: ServerLoad, prefillMs: number, now: number): ServerLoad {
  return {
    ...load,
    own: load.own + 1,
    recent: [...load.recent.filter((at) => now - at < REPORT_DELAY_MS), now],
    prefillUntil: Math.max(now, load.prefillUntil) + prefillMs,
  };
}

export function loadReleased(load: ServerLoad): ServerLoad {
  return { ...load, own: Math.max(0, load.own - 1) };
}

/** Applies a report unless it was applied before. */
export function loadReported(
  load: ServerLoad,
  report: LoadReport | undefined,
  reportedAt: number,
  rounding: number,
): ServerLoad {
  if (!report || reportedAt === load.reportedAt) return load;
  const unreported = load.recent.filter((at) => reportedAt - at < REPORT_DELAY_MS).length;
  const counted = Math.max(0, load.own - unreported);
  return {
    ...load,
    reportedAt,
    ownReported: counted,
    rounding,
    others: Math.max(0, report.running + report.waiting - counted),
  };
}

/** Estimated number of requests in flight at the server. */
export function occupancy(load: ServerLoad): number {
  return load.own + load.others;
}

/**
 * The slots out of `capacity` that this daemon may still fill before the next report. All daemons
 * see the same free slots in a report and none sees what the others dispatch since, so the free
 * slots are divided evenly between the daemons with randomized rounding. A slot freed by one of
 * this daemon's own requests is reused by this daemon.
 */
export function slotsLeft(load: ServerLoad, capacity: number, daemons: number): number {
  // Without reports the capacity is divided evenly, with at least one slot per daemon.
  if (load.reportedAt < 0) return Math.max(1, Math.floor(capacity / daemons)) - load.own;
  const reported = load.others + load.ownReported;
  const free = capacity - reported;
  // Above capacity, each daemon gives up the excess in proportion to its own requests.
  const part = free < 0 ? (free * load.ownReported) / reported : free / daemons;
  return Math.floor(part + load.rounding) - (load.own - load.ownReported);
}
