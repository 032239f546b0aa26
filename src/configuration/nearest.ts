/** Suggests the known word that is closest to a mistyped one. */

/** The Levenshtein distance between two words. */
function editDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let i = 1; i <= left.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= right.length; j += 1) {
      const substitution = left[i - 1] === right[j - 1] ? 0 : 1;
      next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, row[j - 1]! + substitution));
    }
    row = next;
  }
  return row[right.length]!;
}

const MAX_WORD_LENGTH = 64;
const MAX_SUGGESTIONS = 12;

/** The closest word of `known`, or undefined if even that differs too much. */
export function nearest(word: string, known: readonly string[]): string | undefined {
  if (word.length > MAX_WORD_LENGTH) return undefined;
  const ranked = known
    .map((name) => ({ name, distance: editDistance(word.toLowerCase(), name.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance);
  const best = ranked[0];
  const maxDistance = Math.max(2, Math.floor(word.length / 3));
  return best && best.distance <= maxDistance ? best.name : undefined;
}

/** A hint for an unknown word: the closest known word, or else a list of the known words. */
export function suggestion(word: string, known: readonly string[]): string {
  const name = nearest(word, known);
  if (name !== undefined) return `did you mean ${name}?`;
  if (known.length === 0) return 'none is known';
  const ellipsis = known.length > MAX_SUGGESTIONS ? ', ...' : '';
  return `known: ${known.slice(0, MAX_SUGGESTIONS).join(', ')}${ellipsis}`;
}
