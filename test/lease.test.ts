import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { Contest, DURATION_MS, ORDER_MS } from './fakes/leases.js';

const TAKEN_MS = 2 * DURATION_MS;

/** A contest in which somebody holds the lease, and who. */
function settled(names: readonly string[] = ['a', 'b', 'c']) {
  const contest = Contest.of(names);
  contest.run(TAKEN_MS);
  const [holder] = contest.holders();
  return { contest, holder: holder!, others: names.filter((name) => name !== holder) };
}

test('one instance takes the lease and keeps it, and its fence never falls', (t) => {
  const { contest, holder } = settled();
  let fence = 0;
  for (let passed = 0; passed < 20 * DURATION_MS; passed += DURATION_MS / 10) {
    contest.run(DURATION_MS / 10);
    t.deepEqual(contest.holders(), [holder]);
    const now = contest.holding(holder)!.fence;
    t.true(now >= fence);
    t.is(now, contest.record!.version);
    fence = now;
  }
});

test('the lease of a dead holder is taken when its time is over, not before', (t) => {
  const { contest, holder, others } = settled();
  const { version } = contest.record!;
  contest.get(holder).dead = true;
  // The record may be as old as one renewal.
  contest.run(DURATION_MS * 0.6);
  t.is(contest.record!.version, version);
  contest.run(DURATION_MS);
  t.is(contest.holders().length, 1);
  t.true(others.includes(contest.holders()[0]!));
});

test('a new holder waits out the orders of the one before', (t) => {
  const { contest, holder } = settled();
  contest.get(holder).dead = true;
  while (contest.holders().length === 0) contest.run(100);
  const [next] = contest.holders();
  t.false(contest.holding(next!)!.earlierOrdersExpired);
  contest.run(ORDER_MS * 1.2);
  t.true(contest.holding(next!)!.earlierOrdersExpired);
});

const PAUSED = [
  { what: 'paused', clocks: { suspendedMs: 0, wallMs: 0 } },
  {
    what: 'suspended, with its monotonic clock',
    clocks: { suspendedMs: 3 * DURATION_MS, wallMs: 0 },
  },
  { what: 'paused, with its wall clock set back', clocks: { suspendedMs: 0, wallMs: -1e6 } },
];

PAUSED.forEach(({ what, clocks }) => {
  test(`a holder that was ${what} wakes knowing that it holds nothing`, (t) => {
    const { contest, holder } = settled();
    contest.get(holder).paused = true;
    contest.run(3 * DURATION_MS);
    Object.assign(contest.get(holder), clocks);
    t.is(contest.holding(holder), undefined);
    contest.wake(holder);
    t.is(contest.holding(holder), undefined);
    contest.run(DURATION_MS);
    t.is(contest.holders().length, 1);
    t.deepEqual(contest.overlaps, []);
  });
});

test('a taker whose wall clock jumps ahead takes nothing early', (t) => {
  const { contest, holder, others } = settled();
  others.forEach((name) => Object.assign(contest.get(name), { wallMs: 1e9 }));
  contest.run(4 * DURATION_MS);
  t.deepEqual(contest.holders(), [holder]);
});

test('a write with a lost answer is settled by its nonce, from before it was sent', (t) => {
  const contest = Contest.of(['a']);
  contest.run(DURATION_MS / 2);
  contest.faults = { ...contest.faults, lostAnswers: 1, latencyMs: 200 };
  while (!contest.record) contest.run(100);
  const takenAt = contest.scheduler.frame;
  contest.run(600);
  const holding = contest.holding('a')!;
  t.is(holding.fence, contest.record.version);
  t.true(holding.remainingMs <= DURATION_MS * 0.9 - (contest.scheduler.frame - takenAt));
});

test('a write that takes effect after it was read back counts as its writer\'s', (t) => {
  const { contest, holder } = settled();
  contest.faults = { ...contest.faults, lostAnswers: 1, lateMs: 300 };
  contest.run(DURATION_MS / 2);
  contest.faults = { ...contest.faults, lostAnswers: 0 };
  for (let passed = 0; passed < 4 * DURATION_MS; passed += 500) {
    contest.run(500);
    t.true(contest.holders().length <= 1);
  }
  t.deepEqual(contest.holders(), [holder]);
  t.deepEqual(contest.get(holder).log, ['taken']);
});

test('a released lease is taken by another at once, and its orders are waited out', (t) => {
  const { contest, holder, others } = settled();
  contest.release(holder);
  t.is(contest.holding(holder), undefined);
  contest.run(DURATION_MS * 0.6);
  const [next] = contest.holders();
  t.true(others.includes(next!));
  t.false(contest.holding(next!)!.earlierOrdersExpired);
  contest.run(4 * DURATION_MS);
  t.deepEqual(contest.holders(), [next!]);
});

test('candidates take a lapsed lease first, and others when no candidate does', (t) => {
  const contest = Contest.of(['a', 'b', 'c']);
  contest.candidates = ['c'];
  contest.run(TAKEN_MS);
  t.deepEqual(contest.holders(), ['c']);
  contest.get('c').dead = true;
  contest.run(TAKEN_MS);
  t.deepEqual(contest.holders(), []);
  contest.run(10 * DURATION_MS);
  t.is(contest.holders().length, 1);
});

test('instances that neither hold the lease nor are candidates seldom call the store', (t) => {
  const { contest, holder } = settled(['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']);
  contest.candidates = [holder];
  contest.run(4 * DURATION_MS);
  const before = contest.calls;
  contest.run(40 * DURATION_MS);
  t.true(contest.calls - before < 40 * 5, `${contest.calls - before} calls`);
});

test('a holder whose renewal conflicts holds nothing until it has read the record', (t) => {
  const { contest, holder } = settled();
  contest.record = { version: contest.record!.version + 1, value: 'by hand' };
  contest.faults = { ...contest.faults, latencyMs: 500 };
  while (!contest.get(holder).lease.unverified) contest.run(50);
  t.is(contest.holding(holder), undefined);
});

test('with the store out nobody holds the lease, and after it somebody does', (t) => {
  const { contest } = settled();
  contest.faults = { ...contest.faults, out: true };
  contest.run(3 * DURATION_MS);
  t.deepEqual(contest.holders(), []);
  const before = contest.calls;
  contest.run(12 * DURATION_MS);
  t.true(contest.calls - before <= 3 * 12 * 4, `${contest.calls - before} calls`);
  contest.faults = { ...contest.faults, out: false };
  contest.run(2 * DURATION_MS);
  t.is(contest.holders().length, 1);
});

test('a record removed or overwritten by hand is waited out like any other', (t) => {
  const { contest, holder } = settled();
  contest.record = { version: contest.record!.version + 1, value: 'by hand' };
  contest.run(DURATION_MS * 0.9);
  t.deepEqual(contest.holders(), []);
  contest.run(2 * DURATION_MS);
  t.is(contest.holders().length, 1);
  t.deepEqual(contest.get(holder).log[1], 'superseded');
});

const stepArbitrary = fc.record({
  runMs: fc.integer({ min: 100, max: 6_000 }),
  name: fc.constantFrom('a', 'b', 'c'),
  act: fc.constantFrom('pause', 'wake', 'suspend', 'wall', 'out', 'back', 'lossy', 'slow', 'calm'),
  amount: fc.integer({ min: 0, max: 10_000 }),
});

function act(contest: Contest, step: { name: string; act: string; amount: number }): void {
  const contender = contest.get(step.name);
  const faults: Readonly<Record<string, object>> = {
    out: { out: true },
    back: { out: false },
    lossy: { lostAnswers: 0.5, lateMs: step.amount / 5 },
    slow: { latencyMs: step.amount / 5 },
    calm: { lostAnswers: 0, latencyMs: 2 },
  };
  if (step.act === 'pause') contender.paused = true;
  if (step.act === 'wake') contest.wake(step.name);
  if (step.act === 'wall') contender.wallMs += step.amount;
  if (step.act === 'suspend' && contender.paused) contender.suspendedMs += step.amount / 100;
  Object.assign(contest.faults, faults[step.act] ?? {});
}

testProp(
  'under pauses, drift, lost answers and outages no two instances hold the lease at once',
  [fc.integer({ min: 0, max: 1_000 }), fc.array(stepArbitrary, { minLength: 5, maxLength: 25 })],
  (t, seed, steps) => {
    const contest = Contest.of(['a', 'b', 'c'], seed);
    Object.assign(contest.get('a'), { rate: 0.97 });
    Object.assign(contest.get('b'), { rate: 1.03 });
    steps.forEach((step) => {
      act(contest, step);
      contest.run(step.runMs);
    });
    t.deepEqual(contest.overlaps, []);
    ['a', 'b', 'c'].forEach((name) => contest.wake(name));
    contest.faults = {
      out: false, latencyMs: 2, lostAnswers: 0, lateMs: 0,
    };
    contest.run(5 * DURATION_MS);
    t.is(contest.holders().length, 1);
    t.deepEqual(contest.overlaps, []);
  },
  { numRuns: 200, seed: 20_261_203 },
);
