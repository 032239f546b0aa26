/**
 * One generation's state: the accepted tokens, and the attempts that may provide more. The state is
 * immutable and changes only through `transaction`.
 */
import type { PartialAnswer } from '../engines/engine.js';

export interface Attempt {
  readonly number: number;
  readonly server: string;
  readonly version: string;
  /** The answer's length when the attempt began. */
  readonly from: number;
  /** `join` continues to read an attempt that another instance started. */
  readonly kind: 'begin' | 'join';
  /** The engine's incarnation, once it has opened the stream. */
  readonly incarnation: string | undefined;
}

/**
 * `waiting`: no attempt is live and one is being assigned. `running`: one attempt is live, or more
 * while hedges race; `hedging` while another is being assigned. `settling`: the engine of a lost
 * attempt is asked to confirm that it produced no token of a request that may not be run twice.
 */
export type Phase =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'running'; readonly live: readonly Attempt[]; readonly hedging: boolean }
  | { readonly kind: 'settling'; readonly attempt: Attempt; readonly message: string }
  | { readonly kind: 'ended' };

export interface GenerationPolicy {
  /** Whether the request may be restarted at position 0. */
  readonly repeatable: boolean;
  /** Consecutive attempts that may fail without a token between them. */
  readonly maxAttempts: number;
  /** Whether a silent attempt may be hedged with another one. */
  readonly hedges: boolean;
  /** Upper bound of the answer's length in tokens. */
  readonly maxTokens: number;
  /** Position from which the caller asks to resume. */
  readonly from?: number;
}

export interface GenerationState extends GenerationPolicy {
  readonly accepted: PartialAnswer;
  /** Whether `accepted.text` is the answer's whole text, so that another engine can resume. */
  readonly textKnown: boolean;
  readonly phase: Phase;
  /** Number of the last attempt. */
  readonly attempts: number;
  /** Attempts dispatched since the last token. */
  readonly attemptsWithoutToken: number;
  /** The model version that the answer comes from; later attempts must match it. */
  readonly version: string | undefined;
  /** Whether a backend server may have run the request; reset by a confirmed empty cancel. */
  readonly mayHaveRun: boolean;
  /** Whether a backend server may ever have received the request; never reset. */
  readonly mayHaveBeenReceived: boolean;
  /** Servers that lost or refused this generation since the last token. */
  readonly excluded: readonly string[];
  /** Position of the last finish for length that came before `maxTokens`. */
  readonly shortFinishAt: number | undefined;
}

export function generationState(options: GenerationPolicy): GenerationState {
  return {
    accepted: { text: '', tokens: options.from ?? 0 },
    textKnown: true,
    phase: { kind: 'waiting' },
    attempts: 0,
    attemptsWithoutToken: 0,
    version: undefined,
    mayHaveRun: false,
    mayHaveBeenReceived: false,
    excluded: [],
    shortFinishAt: undefined,
    ...options,
  };
}
