import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { parsePartly } from '../src/store/partialjson.js';
import { mutated } from './fuzz/mutations.js';

const RUNS = { numRuns: 500, seed: 1 };

const TEXTS: readonly { name: string; text: string; depth: number; read: unknown }[] = [
  {
    name: 'an item', text: '[1,NaN,{"a":2}]', depth: 1, read: [1, undefined, { a: 2 }],
  },
  {
    name: 'a member', text: '{"a" : [1], "b": \x00}', depth: 1, read: { a: [1], b: undefined },
  },
  {
    name: 'a member of an item', text: '[{"a":1,"b":01}]', depth: 2, read: [{ a: 1, b: undefined }],
  },
  {
    name: 'what lies deeper', text: '[{"a":"x","b":01}]', depth: 1, read: [undefined],
  },
  {
    name: 'commas in a text', text: '[",]\\"[",-]', depth: 1, read: [',]"[', undefined],
  },
  {
    name: 'a bracket that is not closed', text: '[1,[,2]', depth: 1, read: undefined,
  },
  {
    name: 'a text that goes on', text: '[1] [-]', depth: 1, read: undefined,
  },
  {
    name: 'a member without a name', text: '{"a":1,b:2,3}', depth: 1, read: { a: 1 },
  },
];
TEXTS.forEach(({
  name, text, depth, read,
}) => {
  test(`${name} that can't be read leaves the rest`, (t) => {
    t.deepEqual(parsePartly(text, depth), read);
  });
});

testProp(
  'any JSON is read as it is, and the sound items around any odd one hold',
  [fc.jsonValue(), fc.jsonValue(), fc.constantFrom('NaN', '-', '\x00', '\ufffd', '1e', '"\n"')],
  (t, first, last, odd) => {
    t.deepEqual(parsePartly(JSON.stringify(first), 1), JSON.parse(JSON.stringify(first)));
    const list = `[${JSON.stringify(first)},${odd},${JSON.stringify(last)}]`;
    t.deepEqual(
      parsePartly(list, 1),
      [JSON.parse(JSON.stringify(first)), undefined, JSON.parse(JSON.stringify(last))],
    );
  },
  RUNS,
);

testProp(
  'no text throws',
  [mutated(['{"a":[{"b":{"c":"d"}},1],"e":2}']), fc.nat(6)],
  (t, text, depth) => t.notThrows(() => parsePartly(text, depth)),
  RUNS,
);

test('a text that is nested deeply is read once', (t) => {
  const text = `[1,${'['.repeat(100_000)}`;
  t.is(parsePartly(text, 6), undefined);
});
