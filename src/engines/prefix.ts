/**
 * Prefix blocks: the unit in which engines cache prompts and routing tracks where they are cached.
 * Block n is named by the hash of all text up to its end, so equal names mean equal prefixes.
 */
import { hash64 } from '../common/hash.js';
import type { Input } from './engine.js';

export const BLOCK_CHARACTERS = 256;
/** Later blocks are not hashed; they add little to the choice of an engine. */
const MAX_BLOCKS = 256;

/** The text that an input is prefilled from. */
export function inputText(input: Input): string {
  switch (input.kind) {
    case 'prompt': return input.text;
    case 'chat':
      return input.messages.map(({ role, content }) => `${role}\n${content}\n`).join('\n');
  }
}

/** Names of the complete blocks of `text` for a model, in order. */
export function prefixBlocks(model: string, text: string): readonly string[] {
  const count = Math.min(MAX_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS));
  const blocks: string[] = [];
  let previous = model;
  for (let block = 0; block < count; block += 1) {
    const from = block * BLOCK_CHARACTERS;
    previous = hash64(`${previous}\n${text.slice(from, from + BLOCK_CHARACTERS)}`);
    blocks.push(previous);
  }
  return blocks;
}
