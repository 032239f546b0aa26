import test from 'ava';
import { VirtualTimeScheduler } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Drain } from '../src/entry/drain.js';
import { VirtualClock } from './fakes/clock.js';
import { NodeClock } from './fakes/nodeclock.js';

function drainOf() {
  const clock = new VirtualTimeScheduler();
  const drain = Drain.of(clock, silentLog, { lagMs: 1_000, limitMs: 10_000 });
  const ended: boolean[] = [];
  drain.ended.subscribe((whole) => ended.push(whole));
  const at = (ms: number) => {
    clock.maxFrames = ms;
    clock.flush();
  };
  return { drain, ended, at };
}

test('an idle instance is done when the lag of the balancer is over', (t) => {
  const { drain, ended, at } = drainOf();
  drain.begin();
  at(999);
  t.deepEqual([drain.state, ended], ['lagging', []]);
  at(1_000);
  t.deepEqual([drain.state, ended], ['done', [true]]);
});

test('open answers, and those opened during the lag, are completed', (t) => {
  const { drain, ended, at } = drainOf();
  const first = drain.enter();
  drain.begin();
  at(500);
  const second = drain.enter();
  first();
  first();
  at(5_000);
  t.deepEqual([drain.state, drain.open, ended], ['finishing', 1, []]);
  second();
  t.deepEqual([drain.state, ended], ['done', [true]]);
});

test('a second signal does not cut off answers before the limit', (t) => {
  const { drain, ended, at } = drainOf();
  drain.enter();
  drain.begin();
  at(2_000);
  drain.begin();
  t.is(drain.state, 'finishing');
  at(9_999);
  t.deepEqual([drain.state, ended], ['finishing', []]);
  at(10_000);
  t.deepEqual([drain.state, ended], ['expired', [false]]);
});

test('a stop whose limit comes before the end of the lag stays expired', (t) => {
  const clock = new VirtualTimeScheduler();
  const drain = Drain.of(clock, silentLog, { lagMs: 1_000, limitMs: 950 });
  drain.begin();
  clock.maxFrames = 2_000;
  clock.flush();
  t.is(drain.state, 'expired');
});

// Timers that came due in a pause fire before requests that arrived in it are read. One pause ends
// long after the lag, the other together with it.
[3_000, 1_000].forEach((pausedMs) => {
  test(`a process paused for ${pausedMs} ms reads what arrived in time`, async (t) => {
    const clock = new VirtualClock();
    const node = NodeClock.of(clock);
    const drain = Drain.of(node, silentLog, { lagMs: 1_000, limitMs: 10_000 });
    drain.begin();
    node.pause();
    node.run(node.epoch, () => drain.enter());
    await clock.advance(pausedMs);
    node.wake();
    await clock.advance(1_000);
    t.deepEqual([drain.state, drain.open], ['finishing', 1]);
  });
});
