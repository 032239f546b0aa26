/** Logs and measures a relayed stream: its failed attempts and the gaps that its caller sees. */
import type { AttemptFailure } from '../engines/engine.js';
import type { Attempt, GenerationState } from '../generation/state.js';
import type { AttemptStage } from './attemptplan.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { fingerprintOf } from './fingerprint.js';
import { sharedPartsField } from './routefields.js';
import type { FoundOrigin } from './takeup.js';

/** How far a failed attempt had got. */
export interface FailedAttempt {
  /** Prompt tokens that were sent to the engine and not prefilled. */
  readonly pendingTokens: number;
  readonly stage: AttemptStage;
}

const NOT_STARTED: FailedAttempt = { pendingTokens: 0, stage: 'waiting' };

export class StreamRecorder {
  readonly #call: Call;

  readonly #context: RelayContext;

  #interruptedAt: number | undefined;

  #firstEventMs: number | undefined;

  #longestGapMs = 0;

  #lastWrittenAt: number | undefined;

  private constructor(call: Call, context: RelayContext) {
    this.#call = call;
    this.#context = context;
  }

  static of(call: Call, context: RelayContext): StreamRecorder {
    return new StreamRecorder(call, context);
  }

  /** How long the stream has run since its first event. */
  get streamedMs(): number {
    const { scheduler } = this.#context;
    if (this.#firstEventMs === undefined) return 0;
    return scheduler.now() - this.#call.receivedAt - this.#firstEventMs;
  }

  /** Records how long the stream took, which its engines have completed. */
  recordDurations(): void {
    const { stopping: { durations }, scheduler } = this.#context;
    if (this.#firstEventMs === undefined || this.#call.fields.lastEvent !== undefined) return;
    durations.recordStream(this.#call, this.#firstEventMs, this.streamedMs, scheduler.now());
  }

  /** Records that a caller takes a stream up; without an origin it is refused. */
  takenUp(origin: FoundOrigin | undefined): void {
    const { log, meter } = this.#context;
    const { id, service, fields: { resumes } } = this.#call;
    meter.record({ kind: 'taken_up', source: origin?.source ?? 'unknown' });
    log.event('info', 'taken_up', {
      request: id,
      service: service.name,
      resumes,
      software: origin?.software,
      source: origin?.source,
    });
  }

  attemptFailed(
    { number, server }: Attempt,
    { ran, message }: Pick<AttemptFailure, 'ran' | 'message'>,
    { accepted }: Pick<GenerationState, 'accepted'>,
    { pendingTokens, stage }: FailedAttempt = NOT_STARTED,
  ): void {
    const { log, scheduler, meter } = this.#context;
    const now = scheduler.now();
    this.#interruptedAt ??= now;
    if (pendingTokens > 0) meter.record({ kind: 'read_in_vain', tokens: pendingTokens });
    meter.record({ kind: 'attempt_failed', stage });
    log.event('info', 'attempt_failed', {
      request: this.#call.id,
      server,
      attempt: number,
      ran,
      reason: message,
      stage,
      parts: sharedPartsField(this.#call),
      fingerprint: ran === 'no' ? undefined : fingerprintOf(this.#call),
      from: accepted.tokens,
      age_ms: Math.round(now - this.#call.receivedAt),
    });
  }

  eventDropped(cause: string): void {
    this.#context.log.event('debug', 'event_dropped', { request: this.#call.id, cause });
  }

  /** Records an event that was written to the caller. */
  eventWritten(eventCount: number): void {
    const { log, scheduler, meter } = this.#context;
    const now = scheduler.now();
    if (this.#lastWrittenAt === undefined) {
      this.#firstEventMs = now - this.#call.receivedAt;
      meter.record({ kind: 'first_event', ms: this.#firstEventMs });
    } else {
      const gapMs = now - this.#lastWrittenAt;
      this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
      meter.record({ kind: 'gap', ms: gapMs });
    }
    this.#lastWrittenAt = now;
    if (this.#interruptedAt === undefined) return;
    const pauseMs = now - this.#interruptedAt;
    this.#interruptedAt = undefined;
    meter.record({ kind: 'resume', ms: pauseMs });
    log.event('info', 'resumed', {
      request: this.#call.id, from: eventCount, pause_ms: Math.round(pauseMs),
    });
  }

  /** Logs the stream's latencies beside the route's objectives, after its last event. */
  streamEnded(eventCount: number): void {
    if (this.#firstEventMs === undefined) return;
    this.#context.overload.work.streamEnded(eventCount);
    const { objectiveMs, pauseObjectiveMs } = this.#call.route;
    this.#context.log.event('info', 'stream_ended', {
      request: this.#call.id,
      events: eventCount,
      first_ms: Math.round(this.#firstEventMs),
      longest_gap_ms: Math.round(this.#longestGapMs),
      parts: sharedPartsField(this.#call),
      objective_ms: objectiveMs,
      pause_objective_ms: pauseObjectiveMs,
    });
  }
}
