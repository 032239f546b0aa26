/** The events that a generation's transactions take, and the effects that they ask for. */
import type { AttemptFailure, CancelOutcome, FinishReason } from '../engines/engine.js';
import type { Refusal } from '../common/refusal.js';
import type { AttemptOutcome } from '../routing/dispatcher.js';
import type { AnswerFinish, AnswerToken } from './request.js';
import type { Attempt } from './state.js';

export interface OpenedEvent {
  readonly kind: 'opened';
  readonly attempt: number;
  readonly incarnation: string;
}

export interface TokenEvent {
  readonly kind: 'token';
  readonly attempt: number;
  readonly position: number;
  readonly text: string;
}

export interface FinishEvent {
  readonly kind: 'finish';
  readonly attempt: number;
  readonly position: number;
  readonly reason: FinishReason;
  readonly promptTokens?: number | undefined;
}

export interface FailedEvent {
  readonly kind: 'failed';
  readonly attempt: number;
  readonly failure: AttemptFailure;
}

/** An event of an attempt's stream. */
export type AttemptEvent = OpenedEvent | TokenEvent | FinishEvent | FailedEvent;

/** Where a returning caller goes on in an attempt that was started through another instance. */
export interface ReturnPoint {
  readonly server: string;
  readonly attempt: number;
  readonly version: string;
  /** Number of the answer's tokens that the caller has. */
  readonly tokens: number;
  /** The text of those tokens, if the caller sent it. */
  readonly text: string | undefined;
}

export type GenerationEvent =
  | { readonly kind: 'begin' }
  | { readonly kind: 'return'; readonly from: ReturnPoint }
  | { readonly kind: 'assigned'; readonly server: string; readonly version: string }
  | { readonly kind: 'unassignable'; readonly refusal: Refusal }
  | { readonly kind: 'suspected'; readonly attempt: number }
  | { readonly kind: 'settled'; readonly attempt: number; readonly outcome: CancelOutcome }
  | { readonly kind: 'expired'; readonly message: string }
  /** The generation must not be run, or not any more. */
  | { readonly kind: 'rejected'; readonly refusal: Refusal }
  | { readonly kind: 'caller_gone' }
  | AttemptEvent;

/** Why an event of an attempt was not accepted into the answer. */
export type DropCause = 'late_attempt' | 'repeated' | 'gap' | 'past_end';

/**
 * Why a backend server is requested: `begin` for the first attempt, `again` to restart at position
 * 0, `resume` to go on after the accepted tokens, `hedge` to run beside a silent attempt.
 */
export type AssignReason = 'begin' | 'again' | 'resume' | 'hedge';

export type GenerationEffect =
  | AnswerToken
  | AnswerFinish
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
  | {
    readonly kind: 'assign';
    readonly reason: AssignReason;
    readonly exclude: readonly string[];
  }
  /** Cancels the pending request for a backend server. */
  | { readonly kind: 'withdraw' }
  | { readonly kind: 'dispatch'; readonly attempt: Attempt }
  /** Stops reading an attempt that the engine itself has ended or never started. */
  | { readonly kind: 'close'; readonly attempt: Attempt; readonly outcome: AttemptOutcome }
  /** Stops reading an attempt and cancels it on the engine. */
  | { readonly kind: 'cancel'; readonly attempt: Attempt; readonly outcome: AttemptOutcome }
  /** Cancels an attempt and reports the engine's answer as `settled`. */
  | { readonly kind: 'settle'; readonly attempt: Attempt }
  | { readonly kind: 'drop'; readonly cause: DropCause };
