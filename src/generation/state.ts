/**
 * One generation's state: the tokens that were accepted, and the attempts they may come from. The
 * state is immutable and changes only through `transaction`.
 */
import type { Accepted } from '../engines/engine.js';

export interface Attempt {
  readonly number: number;
  readonly server: string;
  readonly version: string;
  /** The answer's length when the attempt began. */
  readonly from: number;
  /** `join` goes on reading an attempt that another instance began. */
  readonly kind: 'begin' | 'join';
  /** The engine's incarnation, once it has opened the stream. */
  readonly incarnation: string | undefined;
}

/**
 * `waiting`: no attempt is live and one is being assigned. `running`: one attempt is live, or more
 * while hedges race; `hedging` while another is being assigned. `settling`: the first engine is
 * asked to confirm that it made nothing of a request that may not be run twice.
 */
export type Phase =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'running'; readonly live: readonly Attempt[]; readonly hedging: boolean }
  | { readonly kind: 'settling'; readonly attempt: Attempt; readonly message: string }
  | { readonly kind: 'ended' };

export interface GenerationOptions {
  /** Whether the request may be begun again at position 0. */
  readonly repeatable: boolean;
  /** Attempts in a row that may fail without a token between them. */
  readonly maxAttempts: number;
  /** Whether a second attempt may be started beside a silent one. */
  readonly hedges: boolean;
  /** Upper bound of the answer's length in tokens. */
  readonly maxTokens: number;
  /** Position that the caller asks to go on from. */
  readonly from?: number;
}

export interface GenerationState extends GenerationOptions {
  readonly accepted: Accepted;
  /** Whether `accepted.text` is the answer's whole text, so that another engine can go on. */
  readonly textKnown: boolean;
  readonly phase: Phase;
  /** Number of the last attempt. */
  readonly attempts: number;
  /** Attempts dispatched since the last token. */
  readonly attemptsWithoutToken: number;
  /** The model version that the answer is made with; later attempts must match it. */
  readonly version: string | undefined;
  /** Whether a backend server may have made anything of the request. */
  readonly begun: boolean;
  /** Whether a backend server may ever have had the request; never unsaid. */
  readonly given: boolean;
  /** Servers that lost or refused this generation since the last token. */
  readonly excluded: readonly string[];
  /** Where an engine last said that it ended for length, short of the length asked for. */
  readonly shortAt: number | undefined;
}

export function generationState(options: GenerationOptions): GenerationState {
  return {
    accepted: { text: '', tokens: options.from ?? 0 },
    textKnown: true,
    phase: { kind: 'waiting' },
    attempts: 0,
    attemptsWithoutToken: 0,
    version: undefined,
    begun: false,
    given: false,
    excluded: [],
    shortAt: undefined,
    ...options,
  };
}
