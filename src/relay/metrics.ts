/** Metrics of a relaying daemon, with few labels so that the series stay bounded. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { Delivery } from './routes.js';
import type { ServerState } from './serverstate.js';

/** From a plain answer to the longest generations. */
const SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25];

export interface RelayFigures {
  /** Log lines left out since the start. */
  readonly leftOut: () => number;
  readonly servers: () => readonly ServerState[];
  readonly configuration: () => number;
  /** Answers that have not ended. */
  readonly open: () => number;
}

export class RelayMetrics {
  readonly #registry = new Registry();

  readonly #answers = new Counter({
    name: 'shallotshunt_relay_answers_total',
    help: 'Answers to callers by delivery and status; 0 for those that broke off',
    labelNames: ['delivery', 'status'],
    registers: [this.#registry],
  });

  readonly #duration = new Histogram({
    name: 'shallotshunt_relay_answer_seconds',
    help: 'Time from a request\'s head to the end of its answer',
    labelNames: ['delivery'],
    buckets: SECONDS,
    registers: [this.#registry],
  });

  private constructor(figures: RelayFigures) {
    const gauge = (name: string, help: string, value: () => number) => new Gauge({
      name: `shallotshunt_relay_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(value());
      },
    });
    const health = (kind: ServerState['health']['kind']) => () => (
      figures.servers().filter((server) => server.health.kind === kind).length);
    gauge('open_answers', 'Answers that have not ended', figures.open);
    gauge('configuration_version', 'Version of the configuration in force', figures.configuration);
    gauge('servers_up', 'Backend servers that may be given requests', health('up'));
    gauge('servers_suspect', 'Backend servers that were not reached', health('suspect'));
    gauge('log_lines_left_out', 'Log lines left out for a slow reader', figures.leftOut);
  }

  static of(figures: RelayFigures): RelayMetrics {
    return new RelayMetrics(figures);
  }

  ended(delivery: Delivery, status: number, ms: number): void {
    this.#answers.inc({ delivery, status: String(status) });
    this.#duration.observe({ delivery }, ms / MILLISECONDS_PER_SECOND);
  }

  /** Serves the metrics as text. */
  server(): Server {
    return createServer((_, res) => {
      this.#registry.metrics().then((text) => {
        res.writeHead(200, { 'content-type': this.#registry.contentType }).end(text);
      }, (error: unknown) => res.writeHead(500).end(String(error)));
    });
  }
}
