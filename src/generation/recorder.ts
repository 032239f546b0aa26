/** Logs and measures one generation: its attempts, their results and the pauses between tokens. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import type { AttemptFailure } from '../engines/engine.js';
import type { AttemptOutcome } from '../routing/dispatcher.js';
import type { AssignReason, DropCause } from './event.js';
import { noopMeter } from './meter.js';
import type { GenerationMeter } from './meter.js';
import type { Attempt } from './state.js';

export interface RecorderOptions {
  /** The request's identifier. */
  readonly request: string;
  /** Whether the caller returned to an earlier attempt, so that no first token is timed. */
  readonly returned: boolean;
  readonly log: Log;
  readonly meter: GenerationMeter | undefined;
  readonly scheduler: SchedulerLike;
  /** Tokens accepted so far. */
  readonly tokens: () => number;
}

export class GenerationRecorder {
  readonly #options: RecorderOptions;

  readonly #meter: GenerationMeter;

  readonly #startedAt: number;

  readonly #drops = new Set<DropCause>();

  #lastTokenAt: number;

  /** The attempt that the last token came from. */
  #lastAttempt: number | undefined;

  private constructor(options: RecorderOptions) {
    this.#options = options;
    this.#meter = options.meter ?? noopMeter;
    this.#startedAt = options.scheduler.now();
    this.#lastTokenAt = this.#startedAt;
  }

  static of(options: RecorderOptions): GenerationRecorder {
    return new GenerationRecorder(options);
  }

  refused({ code, ran, message }: Refusal): void {
    this.#meter.refused(code);
    this.#log('refuse', { code, ran, reason: message });
  }

  /** Logs the first drop of each cause; a broken engine may cause one for every token. */
  dropped(cause: DropCause): void {
    this.#meter.dropped(cause);
    if (this.#drops.has(cause)) return;
    this.#drops.add(cause);
    this.#log('drop', { cause });
  }

  /** Another attempt is requested after the first one. */
  reassigning(reason: AssignReason, exclude: readonly string[]): void {
    const silentMs = this.#options.scheduler.now() - this.#lastTokenAt;
    this.#log(reason, { exclude: exclude.join(','), silent_ms: Math.round(silentMs) });
  }

  /** @param reason undefined for an attempt that joins an existing stream */
  dispatched({ number, server, version }: Attempt, reason: AssignReason | undefined): void {
    this.#meter.dispatched(reason ?? 'begin');
    this.#log('dispatch', {
      attempt: number, server, version, reason: reason ?? 'join',
    });
  }

  attemptFailed(attempt: number, { cause, ran, message }: AttemptFailure): void {
    this.#log('attempt_failed', {
      attempt, cause, ran, reason: message,
    });
  }

  /** A token of the attempt was accepted into the answer. */
  progressed(attempt: number): void {
    const now = this.#options.scheduler.now();
    const silentMs = now - this.#lastTokenAt;
    this.#lastTokenAt = now;
    if (this.#lastAttempt === attempt) return;
    if (this.#lastAttempt !== undefined) {
      this.#meter.resumed(silentMs);
      this.#log('resumed', { attempt, pause_ms: Math.round(silentMs) });
    } else if (!this.#options.returned) {
      this.#meter.firstToken(now - this.#startedAt);
    }
    this.#lastAttempt = attempt;
  }

  cancelled({ number, server }: Attempt, outcome: AttemptOutcome): void {
    this.#log('cancel', { attempt: number, server, outcome });
  }

  ended(): void {
    const tokens = this.#options.tokens();
    if (tokens > 0) this.#meter.tokens(tokens);
  }

  #log(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
    const { log, request, tokens } = this.#options;
    log.event('info', event, { request, tokens: tokens(), ...fields });
  }
}
