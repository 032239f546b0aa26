/**
 * The stand-in engines' language model. Each token is a hash of all tokens before it and of the
 * request, so that a checker can tell from an answer alone whether a token is missing, repeated or
 * taken from another generation. A `variant` makes engines continue the same text differently, as
 * real ones may.
 */
import { hash32 } from '../common/hash.js';
import type { PartialAnswer, AttemptRequest } from '../engines/engine.js';
import { inputText } from '../engines/prefix.js';

const TOKEN_DIGITS = 6;
const HEX = 16;
const MIN_LENGTH = 64;
const LENGTH_SPREAD = 512;

export type Subject = Pick<AttemptRequest, 'model' | 'version' | 'adapter' | 'input' | 'sampling'>;

/** The chain's state before the first token. */
function chainStart({
  model, version, adapter, input, sampling,
}: Subject): number {
  return hash32(JSON.stringify([model, version, adapter ?? '', sampling.seed, inputText(input)]));
}

/** The token that an engine of `variant` makes after `state`. */
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

/** The chain's state after the accepted text. */
export function chainAfter(subject: Subject, accepted: PartialAnswer): number {
  return tokensOf(accepted.text).reduce(chainNext, chainStart(subject));
}

/** How many tokens the whole answer has; fewer where the request names stop sequences. */
export function answerLength(subject: Subject): number {
  const start = chainStart(subject);
  const natural = subject.sampling.stop.length > 0
    ? 1 + (start % MIN_LENGTH)
    : MIN_LENGTH + (start % LENGTH_SPREAD);
  return Math.min(subject.sampling.maxTokens, natural);
}

/**
 * Whether `text` is, token for token, one generation of the request; -1 if so, else the bad
 * position.
 */
export function firstBadToken(subject: Subject, text: string): number {
  let state = chainStart(subject);
  return tokensOf(text).findIndex((token) => {
    const variant = Number(token.slice(TOKEN_DIGITS + 1));
    const good = token === tokenAfter(state, variant);
    state = chainNext(state, token);
    return !good;
  });
}
