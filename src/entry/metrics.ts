/** Prometheus metrics of the request path. */
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type { RefusalCode } from '../common/refusal.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { AssignReason, DropCause } from '../generation/event.js';
import type { GenerationMeter } from '../generation/meter.js';

const FIRST_TOKEN_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const RESUME_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

export class RequestMetrics implements GenerationMeter {
  readonly registry: Registry;

  readonly #requests: Counter<'route' | 'code'>;

  readonly #inFlight: Gauge;

  readonly #dispatches: Counter<'reason'>;

  readonly #droppedEvents: Counter<'cause'>;

  readonly #refusals: Counter<'code'>;

  readonly #firstToken: Histogram;

  readonly #resume: Histogram;

  readonly #tokens: Counter;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.registry = registry;
    this.#requests = new Counter({
      name: 'http_requests_total',
      help: 'Requests answered, by route and status code',
      labelNames: ['route', 'code'],
      registers,
    });
    this.#inFlight = new Gauge({
      name: 'http_requests_in_flight', help: 'Answers that have not ended', registers,
    });
    this.#dispatches = new Counter({
      name: 'generation_dispatches_total',
      help: 'Attempts given to engines, by what they follow',
      labelNames: ['reason'],
      registers,
    });
    this.#droppedEvents = new Counter({
      name: 'generation_dropped_events_total',
      help: 'Engine events that were not taken into an answer, by cause',
      labelNames: ['cause'],
      registers,
    });
    this.#refusals = new Counter({
      name: 'refusals_total', help: 'Refused requests, by code', labelNames: ['code'], registers,
    });
    this.#firstToken = new Histogram({
      name: 'time_to_first_token_seconds',
      help: 'Time from the request to its first token',
      buckets: FIRST_TOKEN_BUCKETS,
      registers,
    });
    this.#resume = new Histogram({
      name: 'resume_latency_seconds',
      help: 'Pause that a caller sees when an answer moves to another engine',
      buckets: RESUME_BUCKETS,
      registers,
    });
    this.#tokens = new Counter({
      name: 'generation_tokens_total', help: 'Tokens of answers that have ended', registers,
    });
  }

  static of(registry = new Registry()): RequestMetrics {
    return new RequestMetrics(registry);
  }

  /** Counts a request as in flight until the returned function is called with its status. */
  request(route: string): (status: number) => void {
    this.#inFlight.inc();
    return (status) => {
      this.#inFlight.dec();
      this.#requests.inc({ route, code: String(status) });
    };
  }

  dispatched(reason: AssignReason): void {
    this.#dispatches.inc({ reason });
  }

  dropped(cause: DropCause): void {
    this.#droppedEvents.inc({ cause });
  }

  refused(code: RefusalCode): void {
    this.#refusals.inc({ code });
  }

  firstToken(ms: number): void {
    this.#firstToken.observe(ms / MILLISECONDS_PER_SECOND);
  }

  resumed(ms: number): void {
    this.#resume.observe(ms / MILLISECONDS_PER_SECOND);
  }

  tokens(count: number): void {
    this.#tokens.inc(count);
  }
}
