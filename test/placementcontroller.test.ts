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

test('the holder places what is configured, each order with its reason, at the rate', async (t) => {
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

test('another holder goes on where a paused one was, which orders nothing on waking', async (t) => {
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

test('a lease that lapses between planning and sending stops the order', async (t) => {
  const world = worldOf(t, configurationWith(3));
  let askedAt = -1;
  let lapses = 0;
  world.start('a', {
    grant: () => {
      // The plan asks first, and then each order again.
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

test('with next to no time left of the lease nothing is ordered', async (t) => {
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

test('of two that believe they hold the lease, engines obey the later one', async (t) => {
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

test('engines that check no fence get nothing until earlier orders have run out', async (t) => {
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

test('an earlier holder\'s late order is corrected after it has run out', async (t) => {
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

test('an order with a lost answer is not sent again before it has run out', async (t) => {
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

test('an engine that refuses is left alone for a while', async (t) => {
  const world = worldOf(t, configurationWith(4));
  world.faults = { delayMs: 0, lostAnswers: false, refuse: true };
  world.start('a', { grant: () => grantWith() });
  await world.clock.advance(60_000);
  const times = world.orders.filter(({ server }) => server === 'e0').map(({ at }) => at);
  t.true(times.length > 0 && times.slice(1).every((at, index) => at - times[index]! >= 10_000));
});

test('a new holder does not load faster than the rate of both together', async (t) => {
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

test('demand is the sum over daemons, without what can\'t be read', (t) => {
  const demand = totalDemand([
    entry('a', MODEL_DEMAND_KEY, { m: { running: 2, waiting: 1 } }),
    entry('b', MODEL_DEMAND_KEY, { m: { running: 3, waiting: 0 } }),
    entry('c', MODEL_DEMAND_KEY, 'nonsense'),
  ]);
  t.deepEqual([...demand], [['m', { running: 5, waiting: 1 }]]);
});

test('streams on an old version are known once every member tells them at the revision', (t) => {
  const members = [member('a'), member('b')];
  const told = (origin: string, revision: number, running: number) => (
    entry(origin, OLD_STREAMS_KEY, { revision, streams: [{ server: 'e', copy: 'm@1', running }] }));
  const count = (...entries: SoftEntry[]) => oldStreamCounts(entries, members, 2)('e', 'm', '1');
  t.is(count(told('a', 2, 1)), undefined);
  t.is(count(told('a', 2, 1), told('b', 1, 0)), undefined);
  t.is(count(told('a', 2, 1), told('b', 3, 2)), 3);
  t.is(oldStreamCounts([told('a', 2, 0), told('b', 2, 0)], members, 2)('f', 'm', '1'), 0);
});
