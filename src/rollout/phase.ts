/**
 * The phases of an order at one instance, and which versions a request may be offered in each.
 * `canary`: a small part of the requests goes to the target. `moving`: the evidence is good and the
 * deadline is near; the part grows. `draining`: nothing begins at another version, so that its
 * requests end before the order is completed, which stops its servers. `held`: nothing begins at
 * the target, since it is bad or the order was withdrawn. `free`: the order was removed after its
 * end, and all versions are used.
 */
import type { OrderRecord } from './order.js';
import type { Verdict } from './verdict.js';

export const PHASES = [
  'canary', 'moving', 'draining', 'held', 'completed', 'rolled_back', 'free',
] as const;
export type Phase = typeof PHASES[number];

/** Each part of the ramp, long enough to see answers of it. */
const RAMP: readonly { readonly untilMs: number; readonly share: number }[] = [
  { untilMs: 2_000, share: 0.25 },
  { untilMs: 4_000, share: 0.5 },
  { untilMs: 6_000, share: 1 },
];
const RAMP_MS = 6_000;
/** Time from the last request of another version to the status in the store. */
const COMPLETION_MS = 4_000;
/** The move begins in the second half, however long requests run: bad versions may show late. */
const LATEST_SHARE = 0.5;
/** Share of the servers in service that the target needs before everything moves to it. */
const CAPACITY_SHARE = 0.75;

export interface PhaseInputs {
  readonly record: OrderRecord;
  readonly verdict: Verdict['kind'];
  /** Longest time that a request of the service takes. */
  readonly longestMs: number;
  /** Since when the requests move; undefined before. */
  readonly movingSince: number | undefined;
  /** Slots of the target's usable servers, and of the others. */
  readonly targetSlots: number;
  readonly otherSlots: number;
  readonly now: number;
}

export function deadlineOf({ order, bornAt }: OrderRecord): number {
  return bornAt + order.durationMs;
}

/** When the requests have to begin to move for the order to be completed by its deadline. */
export function moveAt(record: OrderRecord, longestMs: number): number {
  const { durationMs } = record.order;
  const leadMs = Math.min(longestMs + RAMP_MS + COMPLETION_MS, durationMs * LATEST_SHARE);
  return deadlineOf(record) - leadMs;
}

/** The phase that an order's record alone gives, at once when it is learnt; undefined if none. */
export function settledPhase({
  state, isWithdrawn, isBad,
}: Pick<OrderRecord, 'state' | 'isWithdrawn' | 'isBad'>): Phase | undefined {
  if (state === 'completed' || state === 'rolled_back') return isWithdrawn ? 'free' : state;
  return isBad || isWithdrawn ? 'held' : undefined;
}

export function phaseOf({
  record, verdict, longestMs, movingSince, targetSlots, otherSlots, now,
}: PhaseInputs): Phase {
  const settled = settledPhase(record);
  if (settled) return settled;
  if (verdict === 'bad') return 'held';
  if (movingSince === undefined) {
    const isDue = now >= moveAt(record, longestMs);
    return verdict === 'good' && isDue && targetSlots >= otherSlots * CAPACITY_SHARE
      ? 'moving' : 'canary';
  }
  return now - movingSince < RAMP_MS ? 'moving' : 'draining';
}

/** The target's share of the requests after a time of moving. */
export function rampShare(movingMs: number): number {
  return RAMP.find(({ untilMs }) => movingMs < untilMs)?.share ?? 1;
}
