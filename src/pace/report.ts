/** What an instance tells the others of the servers' pace, from its own observations only. */
import { z } from 'zod';
import type { Point } from './bands.js';
import { PACE_KINDS } from './observation.js';

export interface PaceReport extends Point {
  readonly server: string;
  /** When the server's process started. */
  readonly startedAt: number;
  /** Requests that the server takes well, as far as the sender knows. */
  readonly limit: number;
}

const POSITIVE = z.number().positive().max(Number.MAX_SAFE_INTEGER);
const COUNT = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/**
 * A server, the start time of its process, the observed time over the reference, the observations
 * that this stands for, the server's limit, the kind of observation, and the concurrency.
 */
export const PACE = z.tuple([
  z.string(), COUNT, POSITIVE, COUNT, COUNT, z.enum(PACE_KINDS), COUNT,
], z.unknown());

export type EncodedPace = z.infer<typeof PACE>;

/** Rounded to 3 digits, since a datagram is small. */
function rounded(value: number): number {
  return Number(value.toPrecision(3));
}

export function encodePace({
  server, startedAt, level, weight, limit, kind, concurrency,
}: PaceReport): EncodedPace {
  return [
    server, startedAt, rounded(Math.exp(level)), rounded(weight), limit, kind,
    rounded(concurrency),
  ];
}

export function decodePace(
  [server, startedAt, factor, weight, limit, kind, concurrency]: EncodedPace,
): PaceReport {
  return {
    server, startedAt, level: Math.log(factor), weight, limit, kind, concurrency,
  };
}
