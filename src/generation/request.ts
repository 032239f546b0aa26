/**
 * A validated request for a generation, with its workspace, and the events of the answer to it.
 */
import type { Priority } from '../common/priority.js';
import type { Refusal } from '../common/refusal.js';
import type { Repeat } from '../configuration/configuration.js';
import type { FinishReason, Input, Sampling } from '../engines/engine.js';

export interface GenerationRequest {
  /** Identifies the generation across attempts and instances. */
  readonly id: string;
  readonly workspace: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly input: Input;
  readonly sampling: Sampling;
  readonly priority: Priority;
  readonly repeat: Repeat;
  readonly idempotencyKey: string | undefined;
  /** Digest of the caller's body; a retry of the key with another one is refused. */
  readonly bodyHash?: string;
}

export interface AnswerToken {
  readonly kind: 'token';
  readonly position: number;
  readonly text: string;
}

export interface AnswerFinish {
  readonly kind: 'finish';
  readonly reason: FinishReason;
  /** The answer's length in tokens. */
  readonly tokens: number;
  /** The input's length in tokens, if the engine reported it. */
  readonly promptTokens?: number | undefined;
}

export interface AnswerRefusal {
  readonly kind: 'refusal';
  readonly refusal: Refusal;
}

/** Events of an answer in order; the last one is a finish or a refusal. */
export type AnswerEvent = AnswerToken | AnswerFinish | AnswerRefusal;
