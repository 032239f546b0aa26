/** Responses that are held until they are whole, under a part of the memory budget. */
import test from 'ava';
import { monotonicScheduler } from '../src/common/time.js';
import { MemoryBudget } from '../src/memory/budget.js';
import { Collections } from '../src/memory/collections.js';

const MEGABYTE = 1_000_000;
const CAPACITY = 16 * MEGABYTE;

function collectionsOf() {
  const budget = MemoryBudget.of(CAPACITY);
  const collections = Collections.of(budget, monotonicScheduler);
  const woken: string[] = [];
  const begin = (name: string) => collections.begin(true, () => woken.push(name));
  return { budget, woken, begin };
}

test('the oldest response does not wait, so that long ones do not block each other', (t) => {
  const { woken, begin } = collectionsOf();
  const [first, second, third] = ['first', 'second', 'third'].map(begin);
  t.true(first!.resize(4 * MEGABYTE));
  t.true(second!.resize(4 * MEGABYTE));
  t.false(third!.resize(MEGABYTE));
  t.true(first!.resize(8 * MEGABYTE), 'the oldest goes on beyond the part');
  t.false(second!.resize(5 * MEGABYTE));
  first!.end();
  t.deepEqual(woken, ['second', 'third']);
});

test('one that ends while it waits does not keep the others waiting', (t) => {
  const { budget, woken, begin } = collectionsOf();
  const [first, second, third] = ['first', 'second', 'third'].map(begin);
  t.true(first!.resize(8 * MEGABYTE));
  t.false(second!.resize(8 * MEGABYTE));
  t.false(third!.resize(MEGABYTE));
  second!.end();
  second!.end();
  t.deepEqual(woken, []);
  first!.end();
  t.deepEqual(woken, ['third']);
  t.is(budget.held, MEGABYTE);
});

test('what is collected is not left out of the budget, and gives way to nothing', (t) => {
  const { budget, begin } = collectionsOf();
  const body = budget.hold({
    kind: 'body',
    isKnown: true,
    expectedBytes: CAPACITY,
    now: 0,
    onEvicted: () => undefined,
  });
  t.true(body.resize(10 * MEGABYTE, 1));
  const collection = begin('response');
  t.true(collection.resize(8 * MEGABYTE));
  t.is(budget.held, 8 * MEGABYTE);
  t.is(budget.evictions, 1);
  t.false(body.resize(11 * MEGABYTE, 2));
});
