import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Configuration } from '../src/configuration/configuration.js';
import type { Member } from '../src/membership/instances.js';
import type { SoftEntry } from '../src/membership/softstate.js';
import {
  totalDemand, MODEL_DEMAND_KEY, OLD_STREAMS_KEY, oldStreamCounts,
} from '../src/placement/demand.js';
import type { LeaseGrant } from '../src/placement/lease.js';
import { configurationOf, modelOf, serverOf } from './fakes/fleet.js';
import { PlacementWorld } from './fakes/placement.js';

const ENGINES = ['e0', 'e1', 'e2', 'e3'];
const LEASE_MS = 5_000;
const ORDER_MS = 2_000;
const LOADS_PER_MINUTE = 12;
const SPACING_MS = 60_000 / LOADS_PER_MINUTE;

function configurationWith(replicas: number, checksFence = true): Configuration {
  return configurationOf(
    [modelOf('a', { replicas })],
    ENGINES.map((name) => serverOf(name, { memory: 2, checksFence })),
    {
      placement: {
        enabled: true,
        concurrentLoads: 2,
        loadsPerMinute: LOADS_PER_MINUTE,
        leaseMs: LEASE_MS,
        orderTimeoutMs: ORDER_MS,
      },
    },
  );
}

function worldOf(t: ExecutionContext, configuration: Configuration): PlacementWorld {
  const world = PlacementWorld.of(configuration);
  t.teardown(() => world.stop());
  return world;
}

function grantWith(change: Partial<LeaseGrant> = {}): LeaseGrant {
  return {
    fence: 5,
    remainingMs: LEASE_MS,
    orderMs: ORDER_MS,
    earlierOrdersExpireAt: 0,
    earlierOrdersExpired: true,
    ...change,
  };
}

test('the holder loads the configured replicas at the rate, and logs each reason', async (t) => {
  const world = worldOf(t, configurationWith(3));
  ['a', 'b', 'c'].forEach((name) => world.start(name));
  await world.clock.advance(60_000);
  t.is(world.orders.length, 3);
  t.is(new Set(world.orders.map(({ server }) => server)).size, 3);
  const gaps = world.orders.slice(1).map(({ at }, index) => at - world.orders[index]!.at);
  t.true(gaps.every((gap) => gap >= SPACING_MS), gaps.join(' '));
  const lines = world.lines.filter((line) => line.includes(' placement '));
  t.is(lines.length, 3);
  t.regex(lines[0]!, /"order":"load a@1","reason":"replica_missing","fence":\d+/);
});

test('a new holder replaces a paused one, which sends no order on waking', async (t) => {
  const world = worldOf(t, configurationWith(3));
  ['a', 'b', 'c'].forEach((name) => world.start(name));
  await world.clock.advance(4 * LEASE_MS);
  const paused = world.holder()!;
  world.nodes.get(paused)!.pause();
  const models = { a: modelOf('a', { version: '2', replicas: 3 }) };
  world.configurations.next({ ...world.configurations.value, models });
  await world.clock.advance(8 * LEASE_MS);
  const before = world.orders.filter(({ by }) => by === paused).length;
  world.nodes.get(paused)!.wake();
  await world.clock.advance(8 * LEASE_MS);
  t.is(world.orders.filter(({ by }) => by === paused).length, before);
  t.deepEqual(ENGINES.flatMap((name) => world.held(name)), ['a@2', 'a@2', 'a@2']);
});

test('no order is sent if the lease expires between planning and sending', async (t) => {
  const world = worldOf(t, configurationWith(3));
  let askedAt = -1;
  let lapses = 0;
  world.start('a', {
    grant: () => {
      // The plan asks first; each order asks again before it is sent.
      const again = askedAt === world.clock.now();
      askedAt = world.clock.now();
      lapses += again ? 1 : 0;
      return again ? undefined : grantWith();
    },
  });
  await world.clock.advance(30_000);
  t.true(lapses > 1);
  t.deepEqual(world.orders, []);
});

test('no order is sent when the lease is about to expire', async (t) => {
  const world = worldOf(t, configurationWith(3));
  world.start('a', { grant: () => grantWith({ remainingMs: 100 }) });
  await world.clock.advance(30_000);
  t.deepEqual(world.orders, []);
});

test('an order is valid no longer than the lease', async (t) => {
  const world = worldOf(t, configurationWith(1));
  world.start('a', { grant: () => grantWith({ remainingMs: 700 }) });
  await world.clock.advance(30_000);
  t.is(world.orders[0]?.validForMs, 700);
});

test('of two holders at once, engines obey the one with the higher fence', async (t) => {
  const world = worldOf(t, configurationWith(4));
  world.start('late', { grant: () => grantWith({ fence: 9 }) });
  await world.clock.advance(30_000);
  const moved = configurationWith(0);
  world.configurations.next({ ...moved, models: {} });
  world.start('old', { grant: () => grantWith({ fence: 5 }) });
  world.configurations.next(configurationWith(4));
  await world.clock.advance(60_000);
  const fences = ENGINES.map((name) => world.engines.get(name)!.models.fence);
  t.deepEqual(fences, [9, 9, 9, 9]);
});

test('engines that check no fence get no order until earlier ones have expired', async (t) => {
  const world = worldOf(t, configurationWith(1, false));
  const expireAt = 20_000;
  world.start('a', {
    grant: () => grantWith({
      earlierOrdersExpireAt: expireAt,
      earlierOrdersExpired: world.clock.now() >= expireAt,
    }),
  });
  await world.clock.advance(60_000);
  t.true(world.orders.length === 1 && world.orders[0]!.at > expireAt);
});

test('the effect of an earlier holder\'s late order is corrected', async (t) => {
  const world = worldOf(t, configurationWith(1, false));
  world.start('a', { grant: () => grantWith() });
  await world.clock.advance(20_000);
  const { server } = world.orders[0]!;
  await world.engines.get(server)!.order({
    order: { kind: 'unload', model: 'a', version: '1' }, fence: 1, validForMs: ORDER_MS,
  });
  t.deepEqual(world.held(server), []);
  await world.clock.advance(20_000);
  t.is(ENGINES.flatMap((name) => world.held(name)).length, 1);
});

test('an order with a lost response is not resent before it has expired', async (t) => {
  const configuration = configurationWith(1, false);
  const world = worldOf(t, {
    ...configuration, placement: { ...configuration.placement, loadsPerMinute: 600 },
  });
  world.faults = { delayMs: ORDER_MS - 100, lostAnswers: true, refuse: false };
  world.start('a', { grant: () => grantWith() });
  await world.clock.advance(60_000);
  t.is(world.orders.length, 1);
  t.is(ENGINES.flatMap((name) => world.held(name)).length, 1);
});

test('an engine that refuses an order gets no other for a while', async (t) => {
  const world = worldOf(t, configurationWith(4));
  world.faults = { delayMs: 0, lostAnswers: false, refuse: true };
  world.start('a', { grant: () => grantWith() });
  await world.clock.advance(60_000);
  const times = world.orders.filter(({ server }) => server === 'e0').map(({ at }) => at);
  t.true(times.length > 0 && times.slice(1).every((at, index) => at - times[index]! >= 10_000));
});

test('loads keep to the rate across a change of the holder', async (t) => {
  const world = worldOf(t, configurationWith(4));
  ['a', 'b'].forEach((name) => world.start(name));
  while (world.orders.length === 0) {
    // eslint-disable-next-line no-await-in-loop -- Waits for the first order.
    await world.clock.advance(100);
  }
  world.keepers.get(world.holder()!)!.release();
  await world.clock.advance(60_000);
  t.is(world.orders.length, 4);
  t.is(new Set(world.orders.map(({ by }) => by)).size, 2);
  const gaps = world.orders.slice(1).map(({ at }, index) => at - world.orders[index]!.at);
  t.true(gaps.every((gap) => gap >= SPACING_MS), gaps.join(' '));
});

function entry(origin: string, key: string, value: unknown): SoftEntry {
  return {
    origin, key, value, learnedAt: 0,
  };
}

function member(name: string): Member {
  return {
    name, zone: 'z', peerAddress: name, incarnation: 1, state: 'alive', revision: 2,
  };
}

test('demand is summed over daemons, without entries that can\'t be parsed', (t) => {
  const demand = totalDemand([
    entry('a', MODEL_DEMAND_KEY, { m: { running: 2, waiting: 1 } }),
    entry('b', MODEL_DEMAND_KEY, { m: { running: 3, waiting: 0 } }),
    entry('c', MODEL_DEMAND_KEY, 'nonsense'),
  ]);
  t.deepEqual([...demand], [['m', { running: 5, waiting: 1 }]]);
});

test('streams on an old version are known once every member reports at the revision', (t) => {
  const members = [member('a'), member('b')];
  const reported = (origin: string, revision: number, running: number) => (
    entry(origin, OLD_STREAMS_KEY, { revision, streams: [{ server: 'e', copy: 'm@1', running }] }));
  const count = (...entries: SoftEntry[]) => oldStreamCounts(entries, members, 2)('e', 'm', '1');
  t.is(count(reported('a', 2, 1)), undefined);
  t.is(count(reported('a', 2, 1), reported('b', 1, 0)), undefined);
  t.is(count(reported('a', 2, 1), reported('b', 3, 2)), 3);
  t.is(oldStreamCounts([reported('a', 2, 0), reported('b', 2, 0)], members, 2)('f', 'm', '1'), 0);
});
