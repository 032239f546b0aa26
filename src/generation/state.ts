/**
 * One generation's state: the tokens that were accepted, and the attempt they come from. The state
 * is immutable and changes only through `transaction`.
 */
import type { Accepted } from '../engines/engine.js';

export interface Attempt {
  readonly number: number;
  readonly server: string;
  readonly version: string;
  /** The answer's length when the attempt began. */
  readonly from: number;
}

export type Phase =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'running'; readonly attempt: Attempt }
  | { readonly kind: 'ended' };

export interface GenerationState {
  readonly accepted: Accepted;
  readonly phase: Phase;
  /** Attempts dispatched so far. */
  readonly attempts: number;
  /** The model version that the first attempt ran on; later ones must match it. */
  readonly version: string | undefined;
  /** Whether any backend server may have begun the request. */
  readonly begun: boolean;
  /** Servers that lost or refused this generation. */
  readonly excluded: readonly string[];
  readonly repeatable: boolean;
  readonly maxAttempts: number;
}

export interface GenerationOptions {
  readonly repeatable: boolean;
  readonly maxAttempts: number;
}

export function generationState(options: GenerationOptions): GenerationState {
  return {
    accepted: { text: '', tokens: 0 },
    phase: { kind: 'waiting' },
    attempts: 0,
    version: undefined,
    begun: false,
    excluded: [],
    ...options,
  };
}
