/** Random and mutated inputs for parsers. */
import fc from 'fast-check';

type Edit = readonly [place: number, kind: 'cut' | 'insert' | 'repeat' | 'flip', text: string];

function applyEdit(source: string, [place, kind, text]: Edit): string {
  const at = place % (source.length + 1);
  switch (kind) {
    case 'cut': return source.slice(0, at) + source.slice(at + 1 + text.length);
    case 'insert': return source.slice(0, at) + text + source.slice(at);
    case 'repeat': return source.slice(0, at) + source.slice(Math.floor(at / 2));
    case 'flip': return source.slice(0, at) + text.slice(0, 1) + source.slice(at + 1);
  }
}

const FRAGMENTS = [
  '"', '\\', '{', '}', '[', ']', '=', '.', '\n', '\r\n', '\0', '\ud800', '-1', '1e999', 'null', '#',
  '__proto__', 'constructor', '9007199254740993', ':', 'é', ' ',
] as const;

/** An arbitrary string or JSON text, or one of `sources` after a few edits. */
export function mutated(sources: readonly string[]): fc.Arbitrary<string> {
  const edit: fc.Arbitrary<Edit> = fc.tuple(
    fc.nat(10_000),
    fc.constantFrom('cut', 'insert', 'repeat', 'flip'),
    fc.oneof(fc.constantFrom(...FRAGMENTS), fc.string({ maxLength: 4, unit: 'binary' })),
  );
  return fc.oneof(
    { weight: 1, arbitrary: fc.string({ unit: 'binary', maxLength: 200 }) },
    { weight: 1, arbitrary: fc.json() },
    {
      weight: 4,
      arbitrary: fc.tuple(fc.constantFrom(...sources), fc.array(edit, { maxLength: 6 }))
        .map(([source, edits]) => edits.reduce(applyEdit, source)),
    },
  );
}
