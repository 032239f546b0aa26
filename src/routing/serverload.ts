/**
 * How busy a backend server is now, estimated from a load report that lags and from what this
 * daemon has sent to it and seen end since. All daemons' work is in the report; only this daemon's
 * own work since is known here.
 */
import type { LoadReport } from '../engines/engine.js';

/** A dispatch this shortly before a report came may not be counted in it. */
const REPORT_TRIP_MS = 5;

export interface ServerLoad {
  /** This daemon's requests in flight at the server. */
  readonly own: number;
  /** What other daemons had in flight there when the last report was made. */
  readonly others: number;
  /** Scheduler time of the report that `others` comes from. */
  readonly reportedAt: number;
  /** This daemon's requests in flight that the report counts. */
  readonly counted: number;
  /** Drawn with each report from 0 to 1; rounds this daemon's part of the free places. */
  readonly rounding: number;
  /** Scheduler times of the newest dispatches. */
  readonly recent: readonly number[];
  /** Scheduler time until which the server prefills prompts that this daemon sent. */
  readonly busyUntil: number;
}

export const IDLE_SERVER: ServerLoad = {
  own: 0, others: 0, reportedAt: -1, counted: 0, rounding: 0, recent: [], busyUntil: 0,
};

export function loadDispatched(load: ServerLoad, prefillMs: number, now: number): ServerLoad {
  return {
    ...load,
    own: load.own + 1,
    recent: [...load.recent.filter((at) => now - at < REPORT_TRIP_MS), now],
    busyUntil: Math.max(now, load.busyUntil) + prefillMs,
  };
}

export function loadReleased(load: ServerLoad): ServerLoad {
  return { ...load, own: Math.max(0, load.own - 1) };
}

/** Takes a report unless it is the one already taken. */
export function loadReported(
  load: ServerLoad,
  report: LoadReport | undefined,
  reportedAt: number,
  rounding: number,
): ServerLoad {
  if (!report || reportedAt === load.reportedAt) return load;
  const uncounted = load.recent.filter((at) => reportedAt - at < REPORT_TRIP_MS).length;
  const counted = Math.max(0, load.own - uncounted);
  return {
    ...load,
    reportedAt,
    counted,
    rounding,
    others: Math.max(0, report.running + report.waiting - counted),
  };
}

/** Requests in flight at the server, as far as can be told. */
export function occupancy(load: ServerLoad): number {
  return load.own + load.others;
}

/**
 * Places of `room` that this daemon may still fill before the next report. What the report shows
 * free is divided by lot between the daemons, since all see it and none sees what the others send
 * there now; a place that an own request gave back is this daemon's to fill.
 */
export function slotsLeft(load: ServerLoad, room: number, daemons: number): number {
  // A server that reports nothing is divided evenly, with a place for each daemon at least.
  if (load.reportedAt < 0) return Math.max(1, Math.floor(room / daemons)) - load.own;
  const reported = load.others + load.counted;
  const free = room - reported;
  // What is too much is given up by those who hold it.
  const part = free < 0 ? (free * load.counted) / reported : free / daemons;
  return Math.floor(part + load.rounding) - (load.own - load.counted);
}
