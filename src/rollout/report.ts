/**
 * What instances tell each other of orders, as entries of the message field `rollouts`. Each entry
 * is read by itself; one that can't be read is left out.
 */
import { z } from 'zod';
import { VERSION_LIMIT } from '../store/epoch.js';
import { ORDER_STATES } from './order.js';
import type { OrderRecord, Sighting } from './order.js';
import { PHASES } from './phase.js';
import type { Phase } from './phase.js';

const TEXT = z.string().min(1).max(253);
const MS = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const FLAG_BAD = 1;
const FLAG_WITHDRAWN = 2;
const FLAG_CLEAR = 4;

/** Service, target, duration, state, version, age, round, flags, longest request, phase. */
const ORDER = z.tuple([
  z.literal('o'), TEXT, TEXT, MS, z.enum(ORDER_STATES),
  z.number().int().min(0).lt(VERSION_LIMIT), MS, z.number().int().min(0).max(1e6),
  z.number().int().min(0), MS, z.enum(PHASES),
], z.unknown());
/** Time since the store's orders were last confirmed. */
const CONFIRMED = z.tuple([z.literal('c'), MS], z.unknown());

export interface OrderReport {
  readonly sighting: Sighting & { readonly round: number };
  /** Whether the sender runs no request at another version, and begins none. */
  readonly isClear: boolean;
  readonly longestMs: number;
  readonly phase: Phase;
}

export function encodeOrder(
  record: OrderRecord,
  { isClear, longestMs, phase }: Omit<OrderReport, 'sighting'>,
  now: number,
): unknown[] {
  const {
    order: { service, target, durationMs }, state, version, bornAt, round, isBad, isWithdrawn,
  } = record;
  const flags = (isBad ? FLAG_BAD : 0) + (isWithdrawn ? FLAG_WITHDRAWN : 0)
    + (isClear ? FLAG_CLEAR : 0);
  return ['o', service, target, durationMs, state, version, Math.max(0, Math.round(now - bornAt)),
    round, flags, Math.round(longestMs), phase];
}

/** Undefined for what can't be read. */
export function decodeOrder(value: unknown, now: number): OrderReport | undefined {
  const parsed = ORDER.safeParse(value);
  if (!parsed.success) return undefined;
  const [
    , service, target, durationMs, state, version, ageMs, round, flags, longestMs, phase,
  ] = parsed.data;
  const has = (flag: number) => Math.floor(flags / flag) % 2 === 1;
  return {
    sighting: {
      order: { service, target, durationMs },
      state,
      version,
      bornAt: now - ageMs,
      round,
      isBad: has(FLAG_BAD),
      isWithdrawn: has(FLAG_WITHDRAWN),
    },
    isClear: has(FLAG_CLEAR),
    longestMs,
    phase,
  };
}

export function encodeConfirmed(ageMs: number): unknown[] {
  return ['c', Math.max(0, Math.round(ageMs))];
}

/** The age; undefined for another entry. */
export function decodeConfirmed(value: unknown): number | undefined {
  const parsed = CONFIRMED.safeParse(value);
  return parsed.success ? parsed.data[1] : undefined;
}
