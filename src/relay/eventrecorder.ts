/** Logs and measures a relayed stream: attempts that were lost, and the pauses of its caller. */
import type { Call } from './call.js';
import type { RelayContext } from './context.js';

export interface LostAttempt {
  readonly number: number;
  readonly server: string;
  readonly ran: string;
  readonly reason: string;
  /** Prompt tokens that the engine was given and had not read to the end. */
  readonly unread: number;
}

export class EventRecorder {
  readonly #call: Call;

  readonly #context: RelayContext;

  #lostAt: number | undefined;

  #firstMs: number | undefined;

  #longestGapMs = 0;

  #writtenAt: number | undefined;

  private constructor(call: Call, context: RelayContext) {
    this.#call = call;
    this.#context = context;
  }

  static of(call: Call, context: RelayContext): EventRecorder {
    return new EventRecorder(call, context);
  }

  /** @param from events that the caller has */
  lost({
    number, server, ran, reason, unread,
  }: LostAttempt, from: number): void {
    const { log, scheduler, meter } = this.#context;
    const now = scheduler.now();
    this.#lostAt ??= now;
    if (unread > 0) meter.record({ kind: 'read_in_vain', tokens: unread });
    log.event('info', 'attempt_failed', {
      request: this.#call.id,
      server,
      attempt: number,
      ran,
      reason,
      from,
      age_ms: Math.round(now - this.#call.receivedAt),
    });
  }

  /** An event was written to the caller. */
  written(from: number): void {
    const { log, scheduler, meter } = this.#context;
    const now = scheduler.now();
    if (this.#writtenAt === undefined) {
      this.#firstMs = now - this.#call.receivedAt;
      meter.record({ kind: 'first_event', ms: this.#firstMs });
    } else {
      const gapMs = now - this.#writtenAt;
      this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
      meter.record({ kind: 'gap', ms: gapMs });
    }
    this.#writtenAt = now;
    if (this.#lostAt === undefined) return;
    const pauseMs = now - this.#lostAt;
    this.#lostAt = undefined;
    meter.record({ kind: 'resume', ms: pauseMs });
    log.event('info', 'resumed', {
      request: this.#call.id, from, pause_ms: Math.round(pauseMs),
    });
  }

  /** Nothing more is written; tells whether the answer was in time, by the route's objectives. */
  ended(from: number): void {
    if (this.#firstMs === undefined) return;
    const { objectiveMs, pauseObjectiveMs } = this.#call.route;
    this.#context.log.event('info', 'stream_ended', {
      request: this.#call.id,
      events: from,
      first_ms: Math.round(this.#firstMs),
      longest_gap_ms: Math.round(this.#longestGapMs),
      objective_ms: objectiveMs,
      pause_objective_ms: pauseObjectiveMs,
    });
  }
}
