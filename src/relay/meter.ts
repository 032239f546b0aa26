/**
 * What the relay measures while it works. The metrics are loaded after the start; what is measured
 * before is kept for them.
 */
import type { RefusalCode, Refusal } from '../common/refusal.js';
import type { StoreCall } from '../store/metered.js';
import type { Delivery } from './routes.js';

export type Measurement =
  /** An answer that ended; status 0 for one that broke off. */
  | {
    readonly kind: 'answer';
    readonly delivery: Delivery;
    readonly status: number;
    readonly ms: number;
  }
  | { readonly kind: 'refusal'; readonly code: RefusalCode; readonly ran: Refusal['ran'] }
  /** From a request's head to the first event for its caller. */
  | { readonly kind: 'first_event'; readonly ms: number }
  /** Between two events for a caller. */
  | { readonly kind: 'gap'; readonly ms: number }
  /** From the loss of an attempt to the next event for its caller. */
  | { readonly kind: 'resume'; readonly ms: number }
  /** A standby copy that a stream went on from, or that was not there when it was wanted. */
  | { readonly kind: 'copy'; readonly outcome: 'used' | 'lost' }
  /** Prompt tokens given to engines whose attempts were then lost before their first event. */
  | { readonly kind: 'read_in_vain'; readonly tokens: number }
  /** A request that was sent to one more server. */
  | { readonly kind: 'retry' }
  /** A new connection to a server, for a request or to see whether it accepts one. */
  | { readonly kind: 'connection'; readonly purpose: 'request' | 'check' }
  | { readonly kind: 'store_call'; readonly call: StoreCall };

/** Some seconds of a busy instance; the metrics are loaded sooner. */
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

  /** Hands over what was measured so far and will be. */
  attach(sink: (measurement: Measurement) => void): void {
    this.#buffered.forEach(sink);
    this.#buffered = [];
    this.#sink = sink;
  }
}
