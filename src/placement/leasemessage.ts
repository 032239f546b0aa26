/** The lease's record in the object API, and the events and effects of its state machine. */
import { z } from 'zod';
import type { Precondition } from '../store/objects.js';

/** One moment as both clocks show it, in milliseconds. */
export interface Instant { readonly monotonic: number; readonly wall: number }

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  /** New with every write. */
  nonce: z.string(),
  /** 0 when the holder has given the lease up. */
  durationMs: z.number().nonnegative(),
  /** How long an order of this holder may still take effect after it was sent. */
  orderMs: z.number().nonnegative(),
});

export type LeaseRecord = z.infer<typeof recordSchema>;

/** The time passed by the clock that says more; a suspended machine's monotonic clock stands. */
export function elapsedMs(from: Instant, to: Instant): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}

/** A record that can't be read is taken for one of another holder with the same terms. */
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
  /** Whether this instance is among the first that should take a lapsed lease. */
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
