/**
 * The work of requests, in units of a plain call that is answered whole. A stream takes a unit to
 * begin, and processor time for each of its events for as long as it lasts.
 */
import { NO_RATE, rateAt, withUnits } from './demand.js';
import type { DecayedRate } from './demand.js';

/** Units of one event of a stream. */
export const EVENT_UNITS = 0.05;
/** Weight of one stream in the mean number of events. */
const MEAN_SHARE = 0.1;

/** What the requests of one kind are expected to take. */
export interface RequestKind {
  readonly isStream: boolean;
  /** The caller's limit on the events of a stream. */
  readonly maxEvents: number;
}

/** Counts the work that was done, and learns how much streams are. */
export class Work {
  #done: DecayedRate = NO_RATE;

  #meanEvents: number | undefined;

  /** Since the last window was taken. */
  #units = 0;

  static of(): Work {
    return new Work();
  }

  /** The units that a request will take. */
  expected({ isStream, maxEvents }: RequestKind): number {
    return isStream ? 1 + EVENT_UNITS * Math.min(maxEvents, this.#meanEvents ?? 0) : 1;
  }

  requestEnded(now: number): void {
    this.#add(1, now);
  }

  eventWritten(now: number): void {
    this.#add(EVENT_UNITS, now);
  }

  /** The units that were done since the last call. */
  takeUnits(): number {
    const units = this.#units;
    this.#units = 0;
    return units;
  }

  #add(units: number, now: number): void {
    this.#done = withUnits(this.#done, units, now);
    this.#units += units;
  }

  streamEnded(events: number): void {
    const mean = this.#meanEvents ?? events;
    this.#meanEvents = mean + (events - mean) * MEAN_SHARE;
  }

  /** Units a second that were done of late. */
  donePerSecond(now: number): number {
    return rateAt(this.#done, now);
  }
}
