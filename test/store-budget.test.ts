import test from 'ava';
import { Random } from '../src/common/random.js';
import {
  admit, FLEET_RATES, fullBucket, shareOf, throttle,
} from '../src/store/budget.js';
import type { CallClass } from '../src/store/objects.js';
import { RateLimitedObjects } from '../src/store/ratelimited.js';
import { codeOf, memoryObjects } from './fakes/objects.js';

const RATE = 10;
const CLASSES: readonly CallClass[] = ['configuration', 'claims', 'lease', 'status'];

function admitted(callClass: CallClass): number {
  let bucket = fullBucket(RATE, 0);
  let calls = 0;
  for (let next = admit(bucket, RATE, callClass, 0); next.waitMs === 0;) {
    calls += 1;
    bucket = next.bucket;
    next = admit(bucket, RATE, callClass, 0);
  }
  return calls;
}

test('each class of calls leaves a reserve to the more urgent classes', (t) => {
  const calls = CLASSES.map(admitted);
  t.deepEqual(calls, [...calls].sort((left, right) => right - left));
  t.is(new Set(calls).size, CLASSES.length);
});

test('over a minute, the admitted calls do not exceed the rate plus the burst', (t) => {
  let bucket = fullBucket(RATE, 0);
  let calls = 0;
  for (let now = 0; now < 60_000; now += 5) {
    const next = admit(bucket, RATE, 'configuration', now);
    bucket = next.bucket;
    if (next.waitMs === 0) calls += 1;
  }
  t.true(calls >= 600 && calls <= 640, String(calls));
});

test('overload reported by the store lowers the rate, which then recovers', (t) => {
  const throttled = throttle(fullBucket(RATE, 0), RATE, 0);
  t.is(admit(throttled, RATE, 'configuration', 0).waitMs, 200);
  t.is(admit({ ...throttled, tokens: 0 }, RATE, 'configuration', 60_000).bucket.factor, 1);
});

test('the shares of all instances add up to the rates of the fleet', (t) => {
  const homed = [0.5, 0.25, 0.25, 0, 0];
  const shares = homed.map((part) => shareOf(FLEET_RATES, homed.length, part));
  const sum = (values: readonly number[]) => values.reduce((left, right) => left + right, 0);
  t.is(Math.round(sum(shares.map((share) => share.writesPerSecond))), FLEET_RATES.writesPerSecond);
  t.is(Math.round(sum(shares.map((share) => share.readsPerSecond))), FLEET_RATES.readsPerSecond);
});

test('380 instances that reconnect together stay within the rates of the store', async (t) => {
  const { clock, objects } = memoryObjects();
  const share = shareOf(FLEET_RATES, 380, 0);
  const limits = { readsPerSecond: 2_000, writesPerSecond: 400 };
  objects.setFaults({ ...limits, outage: true });
  const random = Random.of(7);
  const instances = Array.from({ length: 380 }, () => (
    RateLimitedObjects.of(objects, { scheduler: clock, random }, share)));
  instances.forEach((api) => {
    clock.schedule(function again() {
      Promise.all([
        api.get('configuration', 'configuration'),
        api.put(`status/${random.identifier()}`, '', { kind: 'absent' }, 'status'),
      ]).then(() => this.schedule(undefined, 1_000), () => undefined);
    }, 0);
  });
  await clock.advance(20_000);
  objects.setFaults({ outage: false });
  const perSecond: number[] = [];
  for (let second = 0; second < 10; second += 1) {
    const before = objects.counts().reads;
    // eslint-disable-next-line no-await-in-loop -- one second after another
    await clock.advance(1_000);
    perSecond.push(objects.counts().reads - before);
  }
  t.true(Math.max(...perSecond) < limits.readsPerSecond, perSecond.join());
  t.is(codeOf(await objects.get('configuration', 'configuration')), 'not_found');
});

test('reads are retried through a short outage, ambiguous writes are not', async (t) => {
  const { clock, objects } = memoryObjects();
  const api = RateLimitedObjects.of(objects, { scheduler: clock, random: Random.of(1) });
  objects.setFaults({ outage: true });
  clock.schedule(() => objects.setFaults({ outage: false, lostAnswers: 1 }), 300);
  const read = api.get('a', 'configuration');
  await clock.advance(2_000);
  t.is(codeOf(await read), 'not_found');
  const { writes } = objects.counts();
  t.is(codeOf(await api.put('a', '', { kind: 'absent' }, 'claims')), 'ambiguous');
  t.is(objects.counts().writes, writes + 1);
});
