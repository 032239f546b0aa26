import test from 'ava';
import type { CacheEvent } from '../src/engines/engine.js';
import { prefixBlocks } from '../src/engines/prefix.js';
import { PrefixIndex } from '../src/routing/prefixindex.js';

const BLOCKS = prefixBlocks('listing', 'x'.repeat(256 * 4));

const event = (
  sequence: number,
  kind: CacheEvent['kind'],
  blocks: readonly string[] = [],
  incarnation = 'i1',
): CacheEvent => ({
  incarnation, sequence, kind, blocks,
});

function play(events: readonly CacheEvent[], now = 0) {
  const index = PrefixIndex.of();
  events.forEach((each) => index.observe('e', each, 0));
  return index.lookup(BLOCKS, now)[0] ?? { blocks: 0, confidence: 0 };
}

const TABLE: readonly [string, readonly CacheEvent[], number][] = [
  ['stored blocks are found', [event(1, 'stored', BLOCKS.slice(0, 2))], 2],
  ['evicted blocks are not',
    [event(1, 'stored', BLOCKS), event(2, 'evicted', BLOCKS.slice(1))], 1],
  ['a cleared cache is empty', [event(1, 'stored', BLOCKS), event(2, 'cleared')], 0],
  ['a new incarnation has an empty cache',
    [event(1, 'stored', BLOCKS), event(1, 'stored', BLOCKS.slice(0, 1), 'i2')], 1],
  ['a late store does not bring an evicted block back',
    [event(1, 'stored', []), event(3, 'evicted', BLOCKS), event(2, 'stored', BLOCKS)], 0],
  ['a late eviction still removes',
    [event(3, 'stored', BLOCKS), event(2, 'evicted', BLOCKS.slice(2))], 2],
  ['a repeated store from before a clear is ignored',
    [event(1, 'stored', BLOCKS), event(2, 'cleared'), event(1, 'stored', BLOCKS)], 0],
];

TABLE.forEach(([title, events, expected]) => {
  test(title, (t) => {
    t.is(play(events).blocks, expected);
  });
});

test('lost events and silence lower the confidence, and events in sequence restore it', (t) => {
  const whole = play([event(1, 'stored', BLOCKS), event(2, 'stored', [])]).confidence;
  const gap = [event(1, 'stored', BLOCKS), event(9, 'stored', [])];
  const gapped = play(gap).confidence;
  const later = Array.from({ length: 50 }, (_, step) => event(10 + step, 'stored'));
  t.is(whole, 1);
  t.true(gapped < 0.6);
  t.true(play([...gap, ...later]).confidence > gapped);
  t.true(play([event(1, 'stored', BLOCKS)], 600_000).confidence <= 0.25);
});

test('a dispatch is a hint until the engine shows another incarnation', (t) => {
  const index = PrefixIndex.of();
  index.observe('e', event(1, 'stored', []), 0);
  index.dispatched('e', BLOCKS, 0);
  t.is(index.lookup(BLOCKS, 0)[0]?.blocks, 4);
  index.reported('e', 'i1', 0);
  t.is(index.lookup(BLOCKS, 0).length, 1);
  index.reported('e', 'i2', 0);
  t.is(index.lookup(BLOCKS, 0).length, 0);
});

test('the index stays within its bound, and keeps what is looked up', (t) => {
  const index = PrefixIndex.of(1_000);
  index.dispatched('kept', BLOCKS, 0);
  for (let round = 0; round < 100; round += 1) {
    const text = `${round}`.padEnd(256 * 200, 'y');
    index.dispatched('other', prefixBlocks('listing', text), 0);
    index.lookup(BLOCKS, 0);
  }
  t.is(index.blocks, 1_000);
  t.is(index.lookup(BLOCKS, 0)[0]?.blocks, 4);
});
