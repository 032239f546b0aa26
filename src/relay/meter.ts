/**
 * Passes the relay's measurements to its metrics. The metrics module is loaded after the start;
 * earlier measurements are buffered for it.
 */
import type { RefusalCode, Refusal } from '../common/refusal.js';
import type { ShedReason } from '../overload/decision.js';
import type { StoreCall } from '../store/meteredreader.js';
import type { AttemptStage } from './attemptplan.js';
import type { Delivery } from './routes.js';
import type { OriginSource } from './takeup.js';

export type Measurement =
  /** A response to a caller that ended; status 0 if it was aborted. */
  | {
    readonly kind: 'answer';
    readonly delivery: Delivery;
    readonly status: number;
    readonly ms: number;
  }
  | { readonly kind: 'refusal'; readonly code: RefusalCode; readonly ran: Refusal['ran'] }
  /** From a request's head to the first event sent to its caller. */
  | { readonly kind: 'first_event'; readonly ms: number }
  /** Between two events sent to a caller. */
  | { readonly kind: 'gap'; readonly ms: number }
  /** From the loss of an attempt to the next event sent to its caller. */
  | { readonly kind: 'resume'; readonly ms: number }
  /** A standby copy that a stream resumed from, or that was missing when a stream needed it. */
  | { readonly kind: 'copy'; readonly outcome: 'used' | 'lost' }
  /** Prompt tokens sent to an engine in an attempt that was lost before its first event. */
  | { readonly kind: 'read_in_vain'; readonly tokens: number }
  /** An attempt of a stream that failed, by how far its engine had got. */
  | { readonly kind: 'attempt_failed'; readonly stage: AttemptStage }
  /** A stream that a caller took up, by who told the version that began it. */
  | { readonly kind: 'taken_up'; readonly source: OriginSource | 'unknown' }
  /** A stream of a workspace that uses its share of the engines. */
  | { readonly kind: 'over_share' }
  /** A stream refused while there was room, which is kept for other priority ranks. */
  | { readonly kind: 'kept_room'; readonly rank: number }
  /** A request refused as the instance is overloaded, or as it was read too late. */
  | { readonly kind: 'shed'; readonly rank: number; readonly reason: ShedReason }
  /** A stream that waited for room, and whether it found some. */
  | { readonly kind: 'room_wait'; readonly outcome: 'placed' | 'refused' }
  /** A request for which every server was at its rate limit. */
  | { readonly kind: 'throttled' }
  /** A request that was sent to another instance, and how that ended. */
  | { readonly kind: 'forwarded'; readonly outcome: 'sent' | 'answered' | 'failed' }
  /** A message of another instance, or a field of one, that can't be read. */
  | { readonly kind: 'peer_unread'; readonly part: 'message' | 'field' }
  /** A request that was sent to another server. */
  | { readonly kind: 'retry' }
  /** A new connection to a server, for a request or for a check that it accepts connections. */
  | { readonly kind: 'connection'; readonly purpose: 'request' | 'check' }
  /** A response on a kept connection that named another request than the one waiting, or none. */
  | { readonly kind: 'extra_response' }
  /** A phase that an order has entered, or something wrong with it. */
  | { readonly kind: 'rollout'; readonly event: string }
  | { readonly kind: 'store_call'; readonly call: StoreCall };

/** Enough for some seconds of a busy instance; the metrics are loaded sooner. */
const MAX_BUFFERED = 10_000;

export class Meter {
  #buffered: Measurement[] = [];

  #sink: ((measurement: Measurement) => void) | undefined;

  static of(): Meter {
    return new Meter();
  }

  record(measurement: Measurement): void {
    if (this.#sink) this.#sink(measurement);
    else if (this.#buffered.length < MAX_BUFFERED) this.#buffered.push(measurement);
  }

  /** Passes the buffered and all later measurements to `sink`. */
  attach(sink: (measurement: Measurement) => void): void {
    this.#buffered.forEach(sink);
    this.#buffered = [];
    this.#sink = sink;
  }
}
