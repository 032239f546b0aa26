/**
 * Tells a standing queue of the event loop from a short one, as CoDel does: by the least delay over
 * an interval, not by the length of the queue or a single long wait. The delay is how late the loop
 * runs a periodic timer: a request waits as long in each of its passes through the loop.
 *
 * A loop that has time to wait for input has no standing queue, however late its timers are: its
 * processor is slow to wake it up. A process that was paused finds a backlog that says nothing of
 * the load; it is given the time to work that off.
 */

/** One run of the periodic timer. Times are in milliseconds; `now` never goes back. */
export interface DelaySample {
  readonly now: number;
  /** How late the timer ran. */
  readonly lateMs: number;
  /** Time that the loop has waited for input since the process began. */
  readonly idleMs: number;
  /** Processor time that the process has used since it began. */
  readonly processorMs: number;
}

export interface QueueDelay {
  readonly last: DelaySample | undefined;
  /** The last sample before the delay rose above the target; undefined while it is below. */
  readonly risen: DelaySample | undefined;
  /** Samples above the target since then. */
  readonly overCount: number;
  /** Samples in a row that were not above it. */
  readonly underCount: number;
  /** The delay of late: the least of the last two samples. */
  readonly delayMs: number;
  /** Until when delays are taken for the backlog of a pause. */
  readonly excusedUntil: number;
}

/** Several periods of a processor quota (100 ms), which holds a process back for most of one. */
export const INTERVAL_MS = 500;
/** A single long task gives one late sample, or two. */
const MIN_SAMPLES = 3;
/** One short turn of the loop between long ones does not end a standing queue. */
const MIN_UNDER_SAMPLES = 2;
/** A loop that waits for input for more of the time keeps up with its work. */
export const MAX_IDLE_SHARE = 0.25;
/** A process that used less of a processor was not running. The smallest instance has 0.12. */
const PAUSED_PROCESSOR_SHARE = 0.02;
/** Shorter pauses are those of a processor quota. */
const MIN_PAUSE_MS = 300;
/** A process that is busy half of the time works off a backlog in the time that it took to form. */
const EXCUSED_PER_PAUSE = 1.5;
const MAX_EXCUSED_MS = 10_000;

export const NO_DELAY: QueueDelay = {
  last: undefined,
  risen: undefined,
  overCount: 0,
  underCount: 0,
  delayMs: 0,
  excusedUntil: -Infinity,
};

/** Time for which the process did not run before a sample; 0 if it did. */
function pauseMs(last: DelaySample, sample: DelaySample): number {
  const elapsedMs = sample.now - last.now;
  const share = (sample.processorMs - last.processorMs) / elapsedMs;
  const idleMs = sample.idleMs - last.idleMs;
  return sample.lateMs >= MIN_PAUSE_MS && share < PAUSED_PROCESSOR_SHARE
    ? Math.max(sample.lateMs, elapsedMs - idleMs) : 0;
}

export function withSample(queue: QueueDelay, sample: DelaySample, targetMs: number): QueueDelay {
  const last = queue.last ?? sample;
  const pausedMs = pauseMs(last, sample);
  const excusedUntil = pausedMs > 0
    ? sample.now + Math.min(MAX_EXCUSED_MS, pausedMs * EXCUSED_PER_PAUSE) : queue.excusedUntil;
  const delayMs = Math.min(last.lateMs, sample.lateMs);
  if (sample.lateMs > targetMs) {
    // While a backlog is worked off, the interval does not begin.
    const excused = sample.now < excusedUntil;
    return {
      last: sample,
      risen: excused ? undefined : queue.risen ?? last,
      overCount: excused ? 0 : queue.overCount + 1,
      underCount: 0,
      delayMs,
      excusedUntil,
    };
  }
  const underCount = queue.underCount + 1;
  const ended = underCount >= MIN_UNDER_SAMPLES;
  return {
    last: sample,
    risen: ended ? undefined : queue.risen,
    overCount: ended ? 0 : queue.overCount,
    underCount,
    delayMs,
    excusedUntil: ended ? -Infinity : excusedUntil,
  };
}

/** Whether the delay has been above the target for an interval, with hardly any idle time. */
export function isStanding({ last, risen, overCount }: QueueDelay): boolean {
  if (!last || !risen || overCount < MIN_SAMPLES) return false;
  const elapsedMs = last.now - risen.now;
  return elapsedMs >= INTERVAL_MS && last.idleMs - risen.idleMs < elapsedMs * MAX_IDLE_SHARE;
}

/** Share of the shortest objective that one pass through the loop may wait. */
const OBJECTIVE_SHARE = 0.05;
/** An event of a stream waits once, a request in each of its passes. */
const PAUSE_SHARE = 0.1;
/** Half a period of a processor quota, by which a process is late whenever it has used it up. */
const MIN_TARGET_MS = 50;
const MAX_TARGET_MS = 100;

export interface Objectives {
  readonly objectiveMs: number;
  readonly pauseObjectiveMs: number | undefined;
}

/** The longest delay that the objectives of the routes in force allow for. */
export function targetDelayMs(routes: readonly Objectives[]): number {
  const shortest = Math.min(...routes.map(({ objectiveMs, pauseObjectiveMs = Infinity }) => (
    Math.min(objectiveMs * OBJECTIVE_SHARE, pauseObjectiveMs * PAUSE_SHARE))));
  return Math.min(MAX_TARGET_MS, Math.max(MIN_TARGET_MS, shortest));
}
