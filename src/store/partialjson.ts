/**
 * Reads JSON of which a part is no JSON: a number such as NaN, a control character, bytes that are
 * no text. The items of a list, or the members of an object, are then read one by one, and those
 * that can't be read are undefined. Such a part must close the brackets and quotes that it opens.
 */
import { parseJson } from './calls.js';

/** Calls `onOutside` for each character that is not in a string, with the depth after it. */
function scan(text: string, onOutside: (char: string, index: number, depth: number) => void): void {
  let depth = 0;
  let isQuoted = false;
  for (let index = 0; index < text.length; index += 1) {
    const char = text[index]!;
    if (isQuoted && char === '\\') index += 1;
    else if (char === '"') isQuoted = !isQuoted;
    else if (!isQuoted) {
      if (char === '[' || char === '{') depth += 1;
      if (char === ']' || char === '}') depth -= 1;
      onOutside(char, index, depth);
    }
  }
}

/** The texts between the commas of a list or an object; undefined if it does not end. */
function partsOf(text: string): readonly string[] | undefined {
  const parts: string[] = [];
  let start = 1;
  let endsAt: number | undefined;
  scan(text, (char, index, depth) => {
    if (endsAt !== undefined || (depth > 0 && (depth > 1 || char !== ','))) return;
    parts.push(text.slice(start, index));
    start = index + 1;
    if (depth <= 0) endsAt = index;
  });
  return endsAt === text.length - 1 ? parts : undefined;
}

/** Name and value of an object's member, as texts. */
function memberOf(text: string): readonly [name: unknown, value: string] {
  let colon: number | undefined;
  scan(text, (char, index) => {
    if (char === ':') colon ??= index;
  });
  return colon === undefined ? [undefined, ''] : [
    parseJson(text.slice(0, colon)), text.slice(colon + 1),
  ];
}

/** @param depth how many levels of lists and objects are read one by one */
export function parsePartly(text: string, depth: number): unknown {
  const whole = parseJson(text);
  if (whole !== undefined || depth === 0) return whole;
  const trimmed = text.trim();
  const parts = partsOf(trimmed);
  if (!parts) return undefined;
  if (trimmed.startsWith('[')) return parts.map((part) => parsePartly(part, depth - 1));
  return Object.fromEntries(parts.map(memberOf).flatMap(([name, value]) => (
    typeof name === 'string' ? [[name, parsePartly(value, depth - 1)]] : [])));
}
