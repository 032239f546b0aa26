/** How long input may have waited in a process whose timers fire late, under virtual time. */
import test from 'ava';
import { Socket } from 'node:net';
import type { SchedulerLike } from 'rxjs';
import { InputDelay } from '../src/relay/inputdelay.js';
import { VirtualClock } from './fakes/clock.js';

/** Advances timers to a time, and tells the process that it is later, as after a pause. */
class PausedClock implements SchedulerLike {
  readonly timers = new VirtualClock();

  readonly schedule: SchedulerLike['schedule'] = this.timers.schedule.bind(this.timers);

  pausedMs = 0;

  now(): number {
    return this.timers.now() + this.pausedMs;
  }
}

const cases = [
  {
    name: 'on time', pausedMs: 0, ticked: true, least: 0, most: 0,
  },
  {
    name: 'slightly late', pausedMs: 8, ticked: true, least: 0, most: 0,
  },
  {
    name: 'paused, before a timer ran', pausedMs: 700, ticked: false, least: 650, most: 700,
  },
  {
    name: 'paused, after a timer ran', pausedMs: 700, ticked: true, least: 0, most: 0,
  },
] as const;

cases.forEach(({
  name, pausedMs, ticked, least, most,
}) => {
  test(`input that is read: ${name}`, async (t) => {
    const clock = new PausedClock();
    const delay = InputDelay.of(clock);
    const running = delay.start();
    t.teardown(() => running.unsubscribe());
    await clock.timers.advance(1_000);
    clock.pausedMs = pausedMs;
    // Each step of virtual time polls for input, so that what has waited is read.
    if (ticked) await clock.timers.advance(200);
    const { waitedMs } = delay;
    t.true(waitedMs >= least && waitedMs <= most, `${waitedMs}`);
    t.is(delay.arrivedAt(new Socket()), clock.now() - waitedMs);
  });
});

test('a connection that is accepted late is remembered for its first input only', async (t) => {
  const clock = new PausedClock();
  const delay = InputDelay.of(clock);
  const running = delay.start();
  t.teardown(() => running.unsubscribe());
  await clock.timers.advance(1_000);
  clock.pausedMs = 700;
  const socket = new Socket();
  delay.accepted(socket);
  const openedAt = delay.arrivedAt(socket);
  t.true(openedAt <= clock.now() - 650);
  await clock.timers.advance(200);
  t.is(delay.arrivedAt(socket), clock.now());
});
