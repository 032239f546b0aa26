/** Admission control under loads that a model of one processor can and can't bear. */
import test from 'ava';
import { ProcessorModel } from './fakes/processormodel.js';
import type { ModelLoad, ModelOptions } from './fakes/processormodel.js';

const CALL_MS = 50;
/** Calls a second that the processor bears. */
const CAPACITY = 1_000 / CALL_MS;
const CALL = { objectiveMs: 1_200, from: 0, to: 60_000 };

/** Calls at a multiple of the capacity, 15 in 100 of them of the most urgent rank. */
function mixOf(factor: number, from = 0, to = 60_000): readonly ModelLoad[] {
  return [
    { rank: 0, workspace: 'u', share: 0.15 },
    { rank: 1, workspace: 'a', share: 0.25 },
    { rank: 2, workspace: 'b', share: 0.3 },
    { rank: 2, workspace: 'c', share: 0.3 },
  ].map(({ share, ...load }) => ({
    ...CALL, ...load, perSecond: CAPACITY * factor * share, from, to,
  }));
}

function run(loads: readonly ModelLoad[], change: Partial<ModelOptions> = {}): ProcessorModel {
  return ProcessorModel.run({
    callMs: CALL_MS, loads, untilMs: 90_000, ...change,
  });
}

function limitOf(change: Partial<ModelOptions> = {}): number {
  return run(mixOf(0.9), change).servedPerSecond(10_000, 55_000);
}

test('twice the load does not lower what is served in time, nor hold on after it', (t) => {
  const model = run([...mixOf(2), ...mixOf(0.5, 60_000, 85_000)]);
  const limit = limitOf();
  t.true(model.servedPerSecond(5_000, 59_000) > 0.85 * limit);
  t.true(model.share(0, 5_000, 59_000) > 0.95);
  t.deepEqual([0, 1, 2].map((rank) => model.share(rank, 65_000, 85_000)), [1, 1, 1]);
});

test('a request that has the instance for itself is not refused for a load that has gone', (t) => {
  const single = [20_600, 21_200, 21_800, 22_400].map((from) => ({
    ...CALL, rank: 2, workspace: 'b', perSecond: 1_000, from, to: from + 0.001,
  }));
  const model = run([...mixOf(4, 0, 20_000), ...single], { untilMs: 30_000 });
  const ends = model.outcomes.filter(({ arrivedAt }) => arrivedAt >= 20_600).map(({ end }) => end);
  t.deepEqual(ends, single.map(() => 'served'));
});

test('without admission control the model fails under twice the load, and holds on', (t) => {
  const model = run([...mixOf(2), ...mixOf(0.5, 60_000, 85_000)], { isOn: false });
  t.true(model.servedPerSecond(5_000, 59_000) < 0.2 * limitOf());
  t.true(model.servedPerSecond(65_000, 75_000) < 0.2 * CAPACITY * 0.5);
});

test('an instance that keeps up refuses nothing', (t) => {
  const model = run(mixOf(0.6));
  t.deepEqual(model.outcomes.filter(({ end }) => end !== 'served'), []);
  t.deepEqual(model.log.events, []);
});

test('requests are not refused since control work uses up the processor', (t) => {
  const model = run(mixOf(0.01), { control: 1.2, callMs: 10 });
  t.deepEqual(model.shedAt, []);
});

test('a rank, and in it a workspace, is refused as a whole before the next', (t) => {
  const model = run(mixOf(1.4));
  const shareOf = (name: string) => {
    const of = model.outcomes.filter(({ load, arrivedAt }) => (
      load.workspace === name && arrivedAt > 5_000));
    return of.filter(({ end }) => end === 'served').length / of.length;
  };
  t.true(shareOf('u') > 0.95);
  t.true(shareOf('a') > 0.9);
  const [less, more] = [shareOf('b'), shareOf('c')].sort((left, right) => left - right);
  t.true(more! - less! > 0.4, `${less} ${more}`);
});

test('the backlog of a paused process is not taken for overload', (t) => {
  const model = run(mixOf(0.6), { pause: { from: 30_000, to: 35_000 } });
  t.true(model.shedAt.every((at) => at > 35_000 && at < 42_000));
  t.is(model.share(2, 42_000, 60_000), 1);
});

test('streams in progress count as load, and none that has begun is refused', (t) => {
  const stream = { objectiveMs: 4_000, events: 50, to: 60_000 };
  // A stream takes 550 ms of the processor in all.
  const streamsOf = (factor: number): readonly ModelLoad[] => [0, 1, 2].map((rank) => ({
    ...CALL, ...stream, rank, workspace: `w${rank}`, perSecond: (factor * 1_000) / 550 / 3,
  }));
  const limit = run(streamsOf(0.9), { eventMs: 10 }).servedPerSecond(10_000, 55_000);
  const model = run(streamsOf(2), { eventMs: 10 });
  t.true(model.servedPerSecond(10_000, 55_000) > 0.85 * limit);
  t.true(model.share(0, 10_000, 55_000) > 0.95);
  // Events go on being written in time: a gap is 100 ms where the processor is free.
  t.true(model.longGapMs(10_000, 55_000) < 700);
});
