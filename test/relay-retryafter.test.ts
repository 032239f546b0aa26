/**
 * When callers that find no engine with room are told to come back: the decisions, and a burst
 * played under virtual time against telling every caller the same.
 */
import test from 'ava';
import { fc, testProp } from '@fast-check/ava';
import { Random } from '../src/common/random.js';
import { NO_RETURNS, nextReturn, runEnded } from '../src/relay/retryafter.js';
import type { Returns } from '../src/relay/retryafter.js';
import { VirtualClock } from './fakes/clock.js';

function ended(...times: readonly number[]): Returns {
  return times.reduce(runEnded, NO_RETURNS);
}

/** Times promised to so many callers that are refused at once. */
function promises(returns: Returns, count: number, now: number): number[] {
  let line = returns;
  return Array.from({ length: count }, () => {
    const { returns: next, retryAfterMs } = nextReturn(line, now);
    line = next;
    return retryAfterMs;
  });
}

const TABLE: readonly (readonly [string, Returns, number, readonly number[]])[] = [
  ['nothing known', NO_RETURNS, 0, [1_000, 2_000, 3_000]],
  ['one place a second', ended(1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000), 8_000, [
    1_000, 2_000, 3_000]],
  ['four places in the window', ended(5_000, 6_000, 7_000, 8_000), 8_000, [1_000, 3_000, 5_000]],
  ['runs that ended long ago', ended(1_000, 2_000, 3_000), 30_000, [1_000, 2_000, 3_000]],
  ['the last promise is past', { ends: [], promisedAt: 500 }, 9_000, [1_000]],
  ['a long line', ended(8_000), 8_000, [1_000, 8_000, 8_000]],
];

TABLE.forEach(([name, returns, now, expected]) => {
  test(`times to come back: ${name}`, (t) => {
    t.deepEqual(promises(returns, expected.length, now), expected);
  });
});

testProp(
  'no time to come back is sooner than a prompt is read, or later than callers wait',
  [fc.array(fc.nat(20_000), { maxLength: 40 }), fc.integer({ min: 1, max: 40 })],
  (t, times, count) => {
    const sorted = [...times].sort((left, right) => left - right);
    const now = sorted.at(-1) ?? 0;
    const told = promises(ended(...sorted), count, now);
    told.forEach((ms) => t.true(ms >= 1_000 && ms <= 8_000));
    t.deepEqual(told, [...told].sort((left, right) => left - right));
  },
);

interface Played { readonly refused: number; readonly placed: number }

const PLACES = 24;
const RUN_MS = 6_000;
/** Three times what the places can take, for as long as a run takes, between calm at a third. */
const CALM_MS = (3 * RUN_MS) / PLACES;
const BURST_MS = RUN_MS / PLACES / 3;
const BURST_FROM = 12_000;
const BURST_UNTIL = BURST_FROM + RUN_MS;
const END = 40_000;

/** Plays a burst of callers that come back once; of those refused, how many then find room. */
async function played(
  seed: number,
  retryAfter: (returns: Returns, now: number) => ReturnType<typeof nextReturn>,
): Promise<Played> {
  const clock = new VirtualClock();
  const random = Random.of(seed);
  let returns = NO_RETURNS;
  let free = PLACES;
  let refused = 0;
  let placed = 0;
  const take = (): boolean => {
    if (free === 0) return false;
    free -= 1;
    clock.at(clock.now() + random.jitter(RUN_MS, 0.3), () => {
      free += 1;
      returns = runEnded(returns, clock.now());
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
    const told = retryAfter(returns, now);
    returns = told.returns;
    clock.at(now + told.retryAfterMs, () => {
      if (take()) placed += 1;
    });
  };
  clock.at(0, arrive);
  await clock.advance(END);
  return { refused, placed };
}

/** Part of the refused callers that found room when they came back. */
function share(plays: readonly Played[]): number {
  const sum = (key: keyof Played) => plays.reduce((total, play) => total + play[key], 0);
  return sum('placed') / sum('refused');
}

test('a burst: callers told in turn find room twice as often', async (t) => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const inTurn = await Promise.all(seeds.map((seed) => played(seed, nextReturn)));
  const fixed = await Promise.all(seeds.map((seed) => played(seed, (returns) => ({
    returns, retryAfterMs: 1_000,
  }))));
  inTurn.forEach((play, index) => {
    t.true(play.refused > 20, `seed ${seeds[index]}: ${play.refused} refused`);
    t.true(share([play]) > share([fixed[index]!]), `seed ${seeds[index]}`);
  });
  t.true(share(inTurn) >= 2 * share(fixed), `${share(inTurn)} against ${share(fixed)}`);
});
