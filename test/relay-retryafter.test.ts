/**
 * Retry-After for callers that find no engine with capacity: the computed delays, and a burst
 * simulated in virtual time, compared with a fixed delay for every caller.
 */
import test from 'ava';
import { fc, testProp } from '@fast-check/ava';
import { Random } from '../src/common/random.js';
import { EMPTY_SCHEDULE, nextRetryAfter, recordRunEnd } from '../src/relay/retryafter.js';
import type { RetrySchedule } from '../src/relay/retryafter.js';
import { VirtualClock } from './fakes/clock.js';

function scheduleAfter(...times: readonly number[]): RetrySchedule {
  return times.reduce(recordRunEnd, EMPTY_SCHEDULE);
}

/** Retry delays of `count` callers that are refused at once. */
function retryDelays(initial: RetrySchedule, count: number, now: number): number[] {
  let schedule = initial;
  return Array.from({ length: count }, () => {
    const { schedule: next, retryAfterMs } = nextRetryAfter(schedule, now);
    schedule = next;
    return retryAfterMs;
  });
}

const TABLE: readonly (readonly [string, RetrySchedule, number, readonly number[]])[] = [
  ['no ended runs', EMPTY_SCHEDULE, 0, [1_000, 2_000, 3_000]],
  [
    'one run a second',
    scheduleAfter(1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000),
    8_000,
    [1_000, 2_000, 3_000],
  ],
  [
    'four runs in the window',
    scheduleAfter(5_000, 6_000, 7_000, 8_000),
    8_000,
    [1_000, 3_000, 5_000],
  ],
  ['runs before the window', scheduleAfter(1_000, 2_000, 3_000), 30_000, [1_000, 2_000, 3_000]],
  ['the last scheduled retry is past', { ends: [], lastRetryAt: 500 }, 9_000, [1_000]],
  ['the upper limit', scheduleAfter(8_000), 8_000, [1_000, 8_000, 8_000]],
];

TABLE.forEach(([name, schedule, now, expected]) => {
  test(`retry after: ${name}`, (t) => {
    t.deepEqual(retryDelays(schedule, expected.length, now), expected);
  });
});

testProp(
  'retry delays stay between the lower and the upper limit and never decrease',
  [fc.array(fc.nat(20_000), { maxLength: 40 }), fc.integer({ min: 1, max: 40 })],
  (t, times, count) => {
    const sorted = [...times].sort((left, right) => left - right);
    const now = sorted.at(-1) ?? 0;
    const delays = retryDelays(scheduleAfter(...sorted), count, now);
    delays.forEach((ms) => t.true(ms >= 1_000 && ms <= 8_000));
    t.deepEqual(delays, [...delays].sort((left, right) => left - right));
  },
);

interface BurstResult { readonly refused: number; readonly placed: number }

const SLOTS = 24;
const RUN_MS = 6_000;
/** For one run's duration, three times the load that the slots sustain; otherwise a third. */
const CALM_MS = (3 * RUN_MS) / SLOTS;
const BURST_MS = RUN_MS / SLOTS / 3;
const BURST_FROM = 12_000;
const BURST_UNTIL = BURST_FROM + RUN_MS;
const END = 40_000;

/** Simulates a burst of callers that retry once; counts the refused and those placed then. */
async function simulateBurst(
  seed: number,
  retryAfter: (schedule: RetrySchedule, now: number) => ReturnType<typeof nextRetryAfter>,
): Promise<BurstResult> {
  const clock = new VirtualClock();
  const random = Random.of(seed);
  let schedule = EMPTY_SCHEDULE;
  let free = SLOTS;
  let refused = 0;
  let placed = 0;
  const take = (): boolean => {
    if (free === 0) return false;
    free -= 1;
    clock.at(clock.now() + random.jitter(RUN_MS, 0.3), () => {
      free += 1;
      schedule = recordRunEnd(schedule, clock.now());
    });
    return true;
  };
  const arrive = () => {
    const now = clock.now();
    if (now > END - RUN_MS) return;
    const burst = now >= BURST_FROM && now < BURST_UNTIL;
    clock.at(now + random.jitter(burst ? BURST_MS : CALM_MS, 0.5), arrive);
    if (take()) return;
    refused += 1;
    const next = retryAfter(schedule, now);
    schedule = next.schedule;
    clock.at(now + next.retryAfterMs, () => {
      if (take()) placed += 1;
    });
  };
  clock.at(0, arrive);
  await clock.advance(END);
  return { refused, placed };
}

/** Share of the refused callers that found capacity on their retry. */
function placedShare(results: readonly BurstResult[]): number {
  const sum = (key: keyof BurstResult) => results.reduce((total, result) => total + result[key], 0);
  return sum('placed') / sum('refused');
}

test('a burst: scheduled retries find capacity twice as often as fixed ones', async (t) => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const scheduled = await Promise.all(seeds.map((seed) => simulateBurst(seed, nextRetryAfter)));
  const fixed = await Promise.all(seeds.map((seed) => simulateBurst(seed, (schedule) => ({
    schedule, retryAfterMs: 1_000,
  }))));
  scheduled.forEach((result, index) => {
    t.true(result.refused > 20, `seed ${seeds[index]}: ${result.refused} refused`);
    t.true(placedShare([result]) > placedShare([fixed[index]!]), `seed ${seeds[index]}`);
  });
  t.true(
    placedShare(scheduled) >= 2 * placedShare(fixed),
    `${placedShare(scheduled)} against ${placedShare(fixed)}`,
  );
});
