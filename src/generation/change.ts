/** What can happen to a generation, and what it asks of the outside. */
import type { AttemptFailure, FinishReason } from '../engines/engine.js';
import type { Refusal } from '../common/refusal.js';
import type { AnswerFinish, AnswerToken } from './request.js';
import type { Attempt } from './state.js';

export interface TokenArrival {
  readonly kind: 'token';
  readonly attempt: number;
  readonly position: number;
  readonly text: string;
}

export interface FinishArrival {
  readonly kind: 'finish';
  readonly attempt: number;
  readonly position: number;
  readonly reason: FinishReason;
}

export interface FailureArrival {
  readonly kind: 'failed';
  readonly attempt: number;
  readonly failure: AttemptFailure;
}

export type GenerationEvent =
  | { readonly kind: 'assigned'; readonly server: string; readonly version: string }
  | { readonly kind: 'unassignable'; readonly refusal: Refusal }
  | { readonly kind: 'caller_gone' }
  | TokenArrival
  | FinishArrival
  | FailureArrival;

/** Why an event of an attempt was not taken into the answer. */
export type DropCause = 'late_attempt' | 'repeated' | 'gap';

export type GenerationEffect =
  | AnswerToken
  | AnswerFinish
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
  | { readonly kind: 'assign'; readonly exclude: readonly string[] }
  | { readonly kind: 'dispatch'; readonly attempt: Attempt }
  | { readonly kind: 'cancel'; readonly attempt: Attempt }
  | { readonly kind: 'drop'; readonly cause: DropCause };
