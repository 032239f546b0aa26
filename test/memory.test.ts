import test from 'ava';
import { MemoryBudget } from '../src/memory/budget.js';
import type { Holding, HoldingOptions } from '../src/memory/budget.js';
import { ByteBuffer } from '../src/common/bytebuffer.js';
import { defaultBudgetBytes, defaultMaxConnections } from '../src/memory/machine.js';

const LARGE = 4_194_304;
const CAPACITY = 4 * LARGE;

/** Holdings by name, and the names of those that gave way. */
function budgetOf() {
  const budget = MemoryBudget.of(CAPACITY);
  const evicted: string[] = [];
  const hold = (name: string, bytes: number, options: Partial<HoldingOptions> = {}): Holding => {
    const holding = budget.hold({
      kind: 'body',
      isKnown: true,
      expectedBytes: LARGE,
      now: 0,
      onEvicted: () => evicted.push(name),
      ...options,
    });
    if (!holding.resize(bytes, 1_000)) evicted.push(name);
    return holding;
  };
  return { budget, evicted, hold };
}

test('a caller without a known key does not outlast one with a key', (t) => {
  const { budget, evicted, hold } = budgetOf();
  hold('unknown', LARGE - 1, { isKnown: false });
  hold('slow', 200_000);
  ['a', 'b', 'c'].forEach((name) => hold(name, LARGE - 1));
  t.deepEqual(evicted, ['unknown']);
  t.true(budget.held <= CAPACITY);
});

test('a body far from its end does not outlast those that are nearly complete', (t) => {
  const { evicted, hold } = budgetOf();
  hold('far', 200_000);
  ['a', 'b', 'c', 'd'].forEach((name) => hold(name, LARGE - 1_000));
  t.is(evicted[0], 'far');
});

test('a small request is not refused for the sake of large ones', (t) => {
  const { evicted, hold } = budgetOf();
  ['a', 'b', 'c', 'd', 'e'].forEach((name) => hold(name, LARGE - 1_000));
  const before = evicted.length;
  Array.from({ length: 30 }, (_, index) => (
    hold(`small ${index}`, 60_000, { expectedBytes: 60_000 })));
  t.is(evicted.length, before);
});

test('a request that was read whole and an answer do not give way to a body', (t) => {
  const { evicted, hold } = budgetOf();
  hold('whole', LARGE).fix();
  hold('answer', LARGE, { kind: 'answer' });
  ['a', 'b', 'c'].forEach((name) => hold(name, LARGE - 1_000));
  t.false(evicted.includes('whole') || evicted.includes('answer'), evicted.join());
  t.true(evicted.length > 0);
});

test('what was held is not counted after it was released or gave way', (t) => {
  const { budget, hold } = budgetOf();
  const holdings = Array.from({ length: 9 }, (_, index) => hold(String(index), LARGE - index));
  holdings.forEach((holding) => holding.fix());
  t.false(budget.hasRoomFor(LARGE));
  holdings.forEach((holding) => {
    holding.release(2_000);
    holding.release(2_000);
    holding.resize(LARGE, 2_000);
  });
  t.is(budget.held, 0);
  t.true(budget.hasRoomFor(LARGE));
});

test('a refusal does not promise room before bodies are released as a rule', (t) => {
  const { budget, hold } = budgetOf();
  Array.from({ length: 50 }, () => hold('slow', LARGE).release(4_000));
  t.true(budget.retryAfterMs > 3_000, `${budget.retryAfterMs}`);
});

test('the smallest machine does not lack room for a body of the largest size', (t) => {
  const budget = MemoryBudget.of(defaultBudgetBytes(160_000_000));
  t.true(budget.hasRoomFor(LARGE));
  t.true(defaultBudgetBytes(600e9) <= 40_000_000);
  t.true(2 * defaultMaxConnections(1_024) < 1_024);
});

test('pieces of any size are not reordered, lost or overwritten', (t) => {
  [1, 100, 4_096, 5_000, 65_536, 70_000].forEach((size) => {
    const bodies = [1, 2].map((seed) => Buffer.alloc(300_000, `${seed}${size}abc`));
    // The second body may use the segments of the first.
    const taken = bodies.map((body) => {
      const buffer = ByteBuffer.of();
      for (let at = 0; at < body.length; at += size) buffer.append(body.subarray(at, at + size));
      return buffer.take();
    });
    t.deepEqual(taken.map((bytes, index) => bytes.equals(bodies[index]!)), [true, true], `${size}`);
  });
});
