/**
 * The processor time of a unit of requests' work, learned beside that of everything else (messages
 * of other instances, the store, timers): over short windows, what the process used is a line in
 * the work that it did. It tells whether requests wait for each other or for the instance's own
 * work, of which refusing requests frees nothing.
 */

import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { INTERVAL_MS } from './queuedelay.js';

/** One window. */
export interface Usage {
  /** Processor time of the process, in milliseconds. */
  readonly processorMs: number;
  /** Units of requests' work. */
  readonly units: number;
}

/** Weighted sums for a line through the windows of late. */
export interface ProcessorCost {
  readonly weight: number;
  readonly meanUnits: number;
  readonly meanMs: number;
  readonly unitsSquared: number;
  readonly unitsTimesMs: number;
}

export const UNKNOWN_COST: ProcessorCost = {
  weight: 0, meanUnits: 0, meanMs: 0, unitsSquared: 0, unitsTimesMs: 0,
};

/** Windows that count: enough for arrivals to vary, few enough to follow a change of their kind. */
const KEPT_WINDOWS = 120;
/** Measured for a plain call on loopback (docs/design/overload.md); holds until more is known. */
const ASSUMED_UNIT_MS = 6;
/** Weight of the assumption: as that of ten windows with one request more or less than usual. */
const ASSUMED_SQUARES = 10;
/** Refusing requests that take less of the processor than this share brings nothing. */
const WORTHWHILE_SHARE = 0.1;

export function withUsage(cost: ProcessorCost, { processorMs, units }: Usage): ProcessorCost {
  const kept = 1 - 1 / KEPT_WINDOWS;
  const weight = cost.weight * kept + 1;
  const unitsOff = units - cost.meanUnits;
  const msOff = processorMs - cost.meanMs;
  const meanUnits = cost.meanUnits + unitsOff / weight;
  return {
    weight,
    meanUnits,
    meanMs: cost.meanMs + msOff / weight,
    unitsSquared: cost.unitsSquared * kept + unitsOff * (units - meanUnits),
    unitsTimesMs: cost.unitsTimesMs * kept + msOff * (units - meanUnits),
  };
}

/** Processor time of a unit, in milliseconds. */
export function unitMs({ unitsSquared, unitsTimesMs }: ProcessorCost): number {
  const learned = (unitsTimesMs + ASSUMED_SQUARES * ASSUMED_UNIT_MS)
    / (unitsSquared + ASSUMED_SQUARES);
  return Math.max(0, learned);
}

/** Whether work that is asked for takes a share of the used processor time that is worth saving. */
export function isWorthShedding(
  cost: ProcessorCost,
  demandPerSecond: number,
  usedMsPerSecond: number,
): boolean {
  return demandPerSecond * unitMs(cost) >= usedMsPerSecond * WORTHWHILE_SHARE;
}

const WINDOWS_PER_SECOND = MILLISECONDS_PER_SECOND / INTERVAL_MS;
/** Fewer windows say too little. */
const KNOWN_WEIGHT = 20;
/** The rest is for refusals. */
const USABLE_SHARE = 0.9;

/** Units a second that a used-up processor bears; 0 if their cost is not known. */
export function unitsPerSecond(cost: ProcessorCost, usedMsPerSecond: number): number {
  const unit = unitMs(cost);
  if (cost.weight < KNOWN_WEIGHT || unit === 0) return 0;
  const otherMs = Math.max(0, cost.meanMs - unit * cost.meanUnits) * WINDOWS_PER_SECOND;
  return (Math.max(0, usedMsPerSecond - otherMs) * USABLE_SHARE) / unit;
}
