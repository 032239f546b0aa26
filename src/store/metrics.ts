/** Prometheus metrics of calls to the object API. */
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { StoreCall } from './meteredreader.js';

/** Histogram buckets in seconds, from a fast answer within a zone to beyond the call deadline. */
const CALL_BUCKETS = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

export class StoreMetrics {
  readonly #calls: Counter<'class' | 'kind' | 'outcome'>;

  readonly #durations: Histogram<'kind'>;

  private constructor(registry: Registry, prefix: string) {
    this.#calls = new Counter({
      name: `${prefix}store_calls_total`,
      help: 'Calls to the object API that have ended, and watches that were opened',
      labelNames: ['class', 'kind', 'outcome'],
      registers: [registry],
    });
    this.#durations = new Histogram({
      name: `${prefix}store_call_seconds`,
      help: 'Time from a read or write to its answer',
      labelNames: ['kind'],
      buckets: CALL_BUCKETS,
      registers: [registry],
    });
  }

  static of(registry: Registry, prefix = ''): StoreMetrics {
    return new StoreMetrics(registry, prefix);
  }

  call({
    kind, callClass, outcome, durationMs,
  }: StoreCall): void {
    this.#calls.inc({ class: callClass, kind, outcome });
    if (kind !== 'watch') {
      this.#durations.observe({ kind }, durationMs / MILLISECONDS_PER_SECOND);
    }
  }
}
