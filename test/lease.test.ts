import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { LeaseSimulation, DURATION_MS, ORDER_MS } from './fakes/leasesimulation.js';

const ACQUIRED_MS = 2 * DURATION_MS;

/** A simulation in which the lease is held, its holder, and the other instances. */
function withHolder(names: readonly string[] = ['a', 'b', 'c']) {
  const simulation = LeaseSimulation.of(names);
  simulation.run(ACQUIRED_MS);
  const [holder] = simulation.holders();
  return { simulation, holder: holder!, others: names.filter((name) => name !== holder) };
}

test('one instance acquires the lease and keeps it, and the fence never decreases', (t) => {
  const { simulation, holder } = withHolder();
  let fence = 0;
  for (let passed = 0; passed < 20 * DURATION_MS; passed += DURATION_MS / 10) {
    simulation.run(DURATION_MS / 10);
    t.deepEqual(simulation.holders(), [holder]);
    const now = simulation.holding(holder)!.fence;
    t.true(now >= fence);
    t.is(now, simulation.record!.version);
    fence = now;
  }
});

test('the lease of a dead holder is acquired when it has expired, not before', (t) => {
  const { simulation, holder, others } = withHolder();
  const { version } = simulation.record!;
  simulation.get(holder).dead = true;
  // The last renewal may be one renewal interval ago.
  simulation.run(DURATION_MS * 0.6);
  t.is(simulation.record!.version, version);
  simulation.run(DURATION_MS);
  t.is(simulation.holders().length, 1);
  t.true(others.includes(simulation.holders()[0]!));
});

test('a new holder waits until the previous holder\'s orders have expired', (t) => {
  const { simulation, holder } = withHolder();
  simulation.get(holder).dead = true;
  while (simulation.holders().length === 0) simulation.run(100);
  const [next] = simulation.holders();
  t.false(simulation.holding(next!)!.earlierOrdersExpired);
  simulation.run(ORDER_MS * 1.2);
  t.true(simulation.holding(next!)!.earlierOrdersExpired);
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
  test(`a holder that was ${what} has no grant when it wakes`, (t) => {
    const { simulation, holder } = withHolder();
    simulation.get(holder).paused = true;
    simulation.run(3 * DURATION_MS);
    Object.assign(simulation.get(holder), clocks);
    t.is(simulation.holding(holder), undefined);
    simulation.wake(holder);
    t.is(simulation.holding(holder), undefined);
    simulation.run(DURATION_MS);
    t.is(simulation.holders().length, 1);
    t.deepEqual(simulation.overlaps, []);
  });
});

test('an instance whose wall clock jumps ahead acquires nothing early', (t) => {
  const { simulation, holder, others } = withHolder();
  others.forEach((name) => Object.assign(simulation.get(name), { wallMs: 1e9 }));
  simulation.run(4 * DURATION_MS);
  t.deepEqual(simulation.holders(), [holder]);
});

test('a write with a lost response is confirmed by its nonce, and counts from its sending', (t) => {
  const simulation = LeaseSimulation.of(['a']);
  simulation.run(DURATION_MS / 2);
  simulation.faults = { ...simulation.faults, lostAnswers: 1, latencyMs: 200 };
  while (!simulation.record) simulation.run(100);
  const takenAt = simulation.scheduler.frame;
  simulation.run(600);
  const holding = simulation.holding('a')!;
  t.is(holding.fence, simulation.record.version);
  t.true(holding.remainingMs <= DURATION_MS * 0.9 - (simulation.scheduler.frame - takenAt));
});

test('a write that takes effect after the read back is still its writer\'s', (t) => {
  const { simulation, holder } = withHolder();
  simulation.faults = { ...simulation.faults, lostAnswers: 1, lateMs: 300 };
  simulation.run(DURATION_MS / 2);
  simulation.faults = { ...simulation.faults, lostAnswers: 0 };
  for (let passed = 0; passed < 4 * DURATION_MS; passed += 500) {
    simulation.run(500);
    t.true(simulation.holders().length <= 1);
  }
  t.deepEqual(simulation.holders(), [holder]);
  t.deepEqual(simulation.get(holder).log, ['taken']);
});

test('a released lease is acquired at once, and its orders are waited out', (t) => {
  const { simulation, holder, others } = withHolder();
  simulation.release(holder);
  t.is(simulation.holding(holder), undefined);
  simulation.run(DURATION_MS * 0.6);
  const [next] = simulation.holders();
  t.true(others.includes(next!));
  t.false(simulation.holding(next!)!.earlierOrdersExpired);
  simulation.run(4 * DURATION_MS);
  t.deepEqual(simulation.holders(), [next!]);
});

test('candidates acquire an expired lease first, others when no candidate does', (t) => {
  const simulation = LeaseSimulation.of(['a', 'b', 'c']);
  simulation.candidates = ['c'];
  simulation.run(ACQUIRED_MS);
  t.deepEqual(simulation.holders(), ['c']);
  simulation.get('c').dead = true;
  simulation.run(ACQUIRED_MS);
  t.deepEqual(simulation.holders(), []);
  simulation.run(10 * DURATION_MS);
  t.is(simulation.holders().length, 1);
});

test('instances that are neither holder nor candidate rarely call the store', (t) => {
  const { simulation, holder } = withHolder(['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']);
  simulation.candidates = [holder];
  simulation.run(4 * DURATION_MS);
  const before = simulation.calls;
  simulation.run(40 * DURATION_MS);
  t.true(simulation.calls - before < 40 * 5, `${simulation.calls - before} calls`);
});

test('a holder whose renewal conflicts has no grant until it has read the record', (t) => {
  const { simulation, holder } = withHolder();
  simulation.record = { version: simulation.record!.version + 1, value: 'by hand' };
  simulation.faults = { ...simulation.faults, latencyMs: 500 };
  while (!simulation.get(holder).lease.unverified) simulation.run(50);
  t.is(simulation.holding(holder), undefined);
});

test('no instance holds the lease during a store outage, and one does after it', (t) => {
  const { simulation } = withHolder();
  simulation.faults = { ...simulation.faults, out: true };
  simulation.run(3 * DURATION_MS);
  t.deepEqual(simulation.holders(), []);
  const before = simulation.calls;
  simulation.run(12 * DURATION_MS);
  t.true(simulation.calls - before <= 3 * 12 * 4, `${simulation.calls - before} calls`);
  simulation.faults = { ...simulation.faults, out: false };
  simulation.run(2 * DURATION_MS);
  t.is(simulation.holders().length, 1);
});

test('a record overwritten by hand is waited out like any other', (t) => {
  const { simulation, holder } = withHolder();
  simulation.record = { version: simulation.record!.version + 1, value: 'by hand' };
  simulation.run(DURATION_MS * 0.9);
  t.deepEqual(simulation.holders(), []);
  simulation.run(2 * DURATION_MS);
  t.is(simulation.holders().length, 1);
  t.deepEqual(simulation.get(holder).log[1], 'superseded');
});

const stepArbitrary = fc.record({
  runMs: fc.integer({ min: 100, max: 6_000 }),
  name: fc.constantFrom('a', 'b', 'c'),
  act: fc.constantFrom('pause', 'wake', 'suspend', 'wall', 'out', 'back', 'lossy', 'slow', 'calm'),
  amount: fc.integer({ min: 0, max: 10_000 }),
});

function applyStep(
  simulation: LeaseSimulation,
  step: { name: string; act: string; amount: number },
): void {
  const instance = simulation.get(step.name);
  const faults: Readonly<Record<string, object>> = {
    out: { out: true },
    back: { out: false },
    lossy: { lostAnswers: 0.5, lateMs: step.amount / 5 },
    slow: { latencyMs: step.amount / 5 },
    calm: { lostAnswers: 0, latencyMs: 2 },
  };
  if (step.act === 'pause') instance.paused = true;
  if (step.act === 'wake') simulation.wake(step.name);
  if (step.act === 'wall') instance.wallMs += step.amount;
  if (step.act === 'suspend' && instance.paused) instance.suspendedMs += step.amount / 100;
  Object.assign(simulation.faults, faults[step.act] ?? {});
}

testProp(
  'no two instances hold the lease at once under pauses, drift, lost responses and outages',
  [fc.integer({ min: 0, max: 1_000 }), fc.array(stepArbitrary, { minLength: 5, maxLength: 25 })],
  (t, seed, steps) => {
    const simulation = LeaseSimulation.of(['a', 'b', 'c'], seed);
    Object.assign(simulation.get('a'), { rate: 0.97 });
    Object.assign(simulation.get('b'), { rate: 1.03 });
    steps.forEach((step) => {
      applyStep(simulation, step);
      simulation.run(step.runMs);
    });
    t.deepEqual(simulation.overlaps, []);
    ['a', 'b', 'c'].forEach((name) => simulation.wake(name));
    simulation.faults = {
      out: false, latencyMs: 2, lostAnswers: 0, lateMs: 0,
    };
    simulation.run(5 * DURATION_MS);
    t.is(simulation.holders().length, 1);
    t.deepEqual(simulation.overlaps, []);
  },
  { numRuns: 200, seed: 20_261_203 },
);
