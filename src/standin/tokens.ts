/**
 * The stand-in engines' language model. Each token is a hash of the request and of all tokens
 * before it, so that an answer alone shows whether a token is missing, repeated or from another
 * generation. Engines with different variants continue the same text differently, as real ones may.
 */
import { hash32 } from '../common/hash.js';
import type { PartialAnswer, AttemptRequest } from '../engines/engine.js';
import { inputText } from '../engines/prefix.js';

const TOKEN_DIGITS = 6;
const HEX = 16;
const MIN_LENGTH = 64;
const LENGTH_SPREAD = 512;

/** The part of a request that determines the answer. */
export type GenerationInput = Pick<
  AttemptRequest, 'model' | 'version' | 'adapter' | 'input' | 'sampling'
>;

/** State of the hash chain before the first token. */
function chainStart({
  model, version, adapter, input, sampling,
}: GenerationInput): number {
  return hash32(JSON.stringify([model, version, adapter ?? '', sampling.seed, inputText(input)]));
}

/** The token that an engine of the variant generates in this state. */
export function tokenAfter(state: number, variant: number): string {
  const digits = hash32(`${state}/${variant}`).toString(HEX).padStart(TOKEN_DIGITS, '0');
  return `${digits.slice(0, TOKEN_DIGITS)}.${variant} `;
}

export function chainNext(state: number, token: string): number {
  return hash32(`${state}|${token}`);
}

/** Splits an answer's text into its tokens. */
export function tokensOf(text: string): readonly string[] {
  return text.split(' ').slice(0, -1).map((token) => `${token} `);
}

/** State of the hash chain after the accepted text. */
export function chainAfter(request: GenerationInput, accepted: PartialAnswer): number {
  return tokensOf(accepted.text).reduce(chainNext, chainStart(request));
}

/** Length of the whole answer in tokens; shorter for requests with stop sequences. */
export function answerLength(request: GenerationInput): number {
  const start = chainStart(request);
  const fullLength = request.sampling.stop.length > 0
    ? 1 + (start % MIN_LENGTH)
    : MIN_LENGTH + (start % LENGTH_SPREAD);
  return Math.min(request.sampling.maxTokens, fullLength);
}

/** Position of the first token of `text` that the request can't have generated; -1 if none. */
export function firstInvalidToken(request: GenerationInput, text: string): number {
  let state = chainStart(request);
  return tokensOf(text).findIndex((token) => {
    const variant = Number(token.slice(TOKEN_DIGITS + 1));
    const valid = token === tokenAfter(state, variant);
    state = chainNext(state, token);
    return !valid;
  });
}
