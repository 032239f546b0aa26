/** Metrics of a relay daemon. They have few labels, so that the number of series is bounded. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { sendMetrics } from '../common/metricspage.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { StoreMetrics } from '../store/metrics.js';
import type { RelayGauges } from './gaugevalues.js';
import type { Measurement } from './meter.js';
import { registerServerMetrics } from './servermetrics.js';
import type { ServerState } from './serverstate.js';

const PREFIX = 'shallotshunt_relay_';
/** In seconds; from a plain service's response to the longest generations. */
const ANSWER_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25];
/** In seconds; from one engine step to the pause after which callers give up. */
const PAUSE_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.7, 1, 2, 5, 20];

export class RelayMetrics {
  readonly #registry = new Registry();

  readonly #answers = this.#counter(
    'answers_total',
    'Answers to callers; status 0: broken off',
    ['delivery', 'status'],
  );

  readonly #refusals = this.#counter(
    'refusals_total',
    'Refused requests, and whether they ran',
    ['code', 'ran'],
  );

  readonly #copies = this.#counter(
    'standby_copies_total',
    'Standby copies that a stream went on from, or that were not there',
    ['outcome'],
  );

  readonly #wastedPromptTokens = this.#counter(
    'prompt_tokens_in_vain_total',
    'Prompt tokens given to engines that were lost before their first event',
  );

  readonly #failedAttempts = this.#counter(
    'stream_attempts_failed_total',
    'Attempts of streams that failed before the head, before the first event, or after it',
    ['stage'],
  );

  readonly #takenUp = this.#counter(
    'streams_taken_up_total',
    'Streams that callers took up, by who told the software version that began them',
    ['source'],
  );

  readonly #throttled = this.#counter(
    'throttled_total',
    'Requests for which every server was at its rate limit',
  );

  readonly #overShare = this.#counter(
    'over_share_total',
    'Streams refused since their workspace uses its share of the engines',
  );

  readonly #keptRoom = this.#counter(
    'kept_room_total',
    'Streams refused since the room left is kept for other priority ranks',
    ['rank'],
  );

  readonly #shed = this.#counter(
    'shed_total',
    'Requests refused by their heads, as the instance was overloaded or read them too late',
    ['rank', 'reason'],
  );

  readonly #roomWaits = this.#counter(
    'room_waits_total',
    'Streams that waited a short time for room at engines',
    ['outcome'],
  );

  readonly #peerUnread = this.#counter(
    'peer_messages_unread_total',
    'Messages of other instances, or fields of them, that could not be read',
    ['part'],
  );

  readonly #forwarded = this.#counter(
    'forwarded_total',
    'Requests sent to other instances, answered by them, or not',
    ['outcome'],
  );

  readonly #retries = this.#counter('retries_total', 'Requests sent to one more server');

  readonly #connections = this.#counter(
    'connections_opened_total',
    'New connections to servers',
    ['purpose'],
  );

  readonly #extraResponses = this.#counter(
    'extra_responses_total',
    'Responses on kept connections that named another request than the one waiting, or none',
  );

  readonly #rollouts = this.#counter(
    'rollout_events_total',
    'Orders of rollouts, phases that they entered, and findings',
    ['event'],
  );

  readonly #duration = this.#histogram(
    'answer_seconds',
    'From a request\'s head to the end of its answer',
    ANSWER_BUCKETS,
    ['delivery'],
  );

  readonly #firstEvent = this.#histogram(
    'first_event_seconds',
    'From a stream\'s request to its first event',
    ANSWER_BUCKETS,
  );

  readonly #gap = this.#histogram(
    'event_gap_seconds',
    'Between two events of a stream',
    PAUSE_BUCKETS,
  );

  readonly #resume = this.#histogram(
    'resume_seconds',
    'From the loss of an attempt to the next event',
    PAUSE_BUCKETS,
  );

  readonly #store = StoreMetrics.of(this.#registry, PREFIX);

  private constructor(gauges: RelayGauges) {
    const health = (kind: ServerState['health']['kind']) => () => (
      gauges.servers().filter((server) => server.health.kind === kind).length);
    this.#gauge('open_answers', 'Answers that have not ended', gauges.openAnswers);
    this.#gauge('configuration_version', 'Version in force', gauges.configurationVersion);
    this.#gauge('servers_up', 'Backend servers that may be given requests', health('up'));
    this.#gauge('servers_suspect', 'Backend servers that were not reached', health('suspect'));
    this.#gauge('servers_leaving', 'Backend servers that take nothing new', () => (
      gauges.servers().filter(({ entry }) => entry.state === 'leaving').length));
    this.#gauge('peers', 'Other instances heard of lately', gauges.peers);
    this.#gauge('store_silent_seconds', 'Since the store last answered', () => (
      gauges.storeSilentMs() / MILLISECONDS_PER_SECOND));
    this.#gauge('server_copy_age_seconds', 'Since the servers\' entries were confirmed', () => (
      gauges.serverCopyAgeMs() / MILLISECONDS_PER_SECOND));
    this.#gauge('quarantines', 'Prompt parts refused as they crash engines', gauges.quarantines);
    this.#gauge(
      'services_unreached',
      'Services without a server that is reached', (
        gauges.unreachedServices),
    );
    this.#gauge('servers_limited', 'Backend servers that name a rate limit', gauges.limitedServers);
    this.#gauge('overload', 'Share of all but rank 0 that is refused', gauges.overload);
    this.#gauge('retries_left', 'Retries that may still be sent now', gauges.retriesLeft);
    registerServerMetrics(this.#registry, PREFIX, gauges.serverMeasurements);
    this.#gauge('memory_held_bytes', 'Held for callers', () => gauges.memory().held);
    this.#gauge('memory_evictions', 'Bodies and answers that gave way since the start', () => (
      gauges.memory().evictions));
    this.#gauge('connections_refused', 'Beyond the limit, since the start', () => (
      gauges.memory().refusedConnections));
    this.#gauge('log_lines_left_out', 'Lines left out for a slow reader', gauges.droppedLogLines);
  }

  static of(gauges: RelayGauges): RelayMetrics {
    return new RelayMetrics(gauges);
  }

  #counter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[] = [],
  ): Counter<Label> {
    return new Counter({
      name: `${PREFIX}${name}`, help, labelNames, registers: [this.#registry],
    });
  }

  #histogram<Label extends string>(
    name: string,
    help: string,
    buckets: number[],
    labelNames: Label[] = [],
  ): Histogram<Label> {
    return new Histogram({
      name: `${PREFIX}${name}`, help, buckets, labelNames, registers: [this.#registry],
    });
  }

  #gauge(name: string, help: string, value: () => number): Gauge {
    return new Gauge({
      name: `${PREFIX}${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(value());
      },
    });
  }

  record(measurement: Measurement): void {
    switch (measurement.kind) {
      case 'answer': {
        const { delivery, status, ms } = measurement;
        this.#answers.inc({ delivery, status: String(status) });
        this.#duration.observe({ delivery }, ms / MILLISECONDS_PER_SECOND);
        break;
      }
      case 'refusal':
        this.#refusals.inc({ code: measurement.code, ran: measurement.ran });
        break;
      case 'first_event':
        this.#firstEvent.observe(measurement.ms / MILLISECONDS_PER_SECOND);
        break;
      case 'gap':
        this.#gap.observe(measurement.ms / MILLISECONDS_PER_SECOND);
        break;
      case 'resume':
        this.#resume.observe(measurement.ms / MILLISECONDS_PER_SECOND);
        break;
      case 'copy':
        this.#copies.inc({ outcome: measurement.outcome });
        break;
      case 'read_in_vain':
        this.#wastedPromptTokens.inc(measurement.tokens);
        break;
      case 'attempt_failed':
        this.#failedAttempts.inc({ stage: measurement.stage });
        break;
      case 'taken_up':
        this.#takenUp.inc({ source: measurement.source });
        break;
      case 'throttled':
        this.#throttled.inc();
        break;
      case 'over_share':
        this.#overShare.inc();
        break;
      case 'kept_room':
        this.#keptRoom.inc({ rank: String(measurement.rank) });
        break;
      case 'shed':
        this.#shed.inc({ rank: String(measurement.rank), reason: measurement.reason });
        break;
      case 'room_wait':
        this.#roomWaits.inc({ outcome: measurement.outcome });
        break;
      case 'peer_unread':
        this.#peerUnread.inc({ part: measurement.part });
        break;
      case 'forwarded':
        this.#forwarded.inc({ outcome: measurement.outcome });
        break;
      case 'retry':
        this.#retries.inc();
        break;
      case 'connection':
        this.#connections.inc({ purpose: measurement.purpose });
        break;
      case 'extra_response':
        this.#extraResponses.inc();
        break;
      case 'rollout':
        this.#rollouts.inc({ event: measurement.event });
        break;
      case 'store_call':
        this.#store.call(measurement.call);
        break;
    }
  }

  /** Sends the metrics in Prometheus text format, in answer to any request. */
  readonly listener = (_: IncomingMessage, res: ServerResponse): void => {
    sendMetrics(this.#registry, res);
  };
}
