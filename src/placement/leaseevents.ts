/** The lease record in the object API, and the events and effects of the lease's state machine. */
import { z } from 'zod';
import type { Precondition } from '../store/objects.js';

/** One moment by both clocks, in milliseconds. */
export interface Instant { readonly monotonic: number; readonly wall: number }

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  /** Unique to each write. */
  nonce: z.string(),
  /** 0 if the holder has released the lease. */
  durationMs: z.number().nonnegative(),
  /** How long after it was sent an order of this holder may still take effect. */
  orderMs: z.number().nonnegative(),
});

export type LeaseRecord = z.infer<typeof recordSchema>;

/** The elapsed time by whichever clock shows more: the monotonic one stops during a suspend. */
export function elapsedMs(from: Instant, to: Instant): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}

/** A record that can't be parsed is treated as another holder's with the same durations. */
export function parseRecord(
  value: string,
  { durationMs, orderMs }: { readonly durationMs: number; readonly orderMs: number },
): LeaseRecord {
  const unknown: LeaseRecord = {
    holder: '', incarnation: 0, nonce: '', durationMs, orderMs,
  };
  try {
    const parsed = recordSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : unknown;
  } catch {
    return unknown;
  }
}

export type ReadOutcome = | { readonly kind: 'found';
  readonly version: number;
  readonly value: string; }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed' };

export type WriteOutcome = | { readonly kind: 'done'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'ambiguous' }
  | { readonly kind: 'failed' };

export type LeaseEvent = | { readonly kind: 'tick';
  readonly nonce: string;
  /** Whether this instance is among the first that should acquire an expired lease. */
  readonly candidate: boolean; }
  | { readonly kind: 'read'; readonly outcome: ReadOutcome }
  | { readonly kind: 'written'; readonly nonce: string; readonly outcome: WriteOutcome }
  | { readonly kind: 'release'; readonly nonce: string };

export type LeaseEffect = | { readonly kind: 'read' }
  | { readonly kind: 'write';
    readonly nonce: string;
    readonly expected: Precondition;
    readonly value: string; }
  | { readonly kind: 'taken'; readonly fence: number }
  | { readonly kind: 'lost'; readonly reason: 'lapsed' | 'superseded' | 'released' };
