import test from 'ava';
import { ISOLATED_AFTER_MS } from '../src/daemon/isolation.js';
import { sendRequest, outcomeOf, cutLinks } from './fakes/requests.js';
import { LIST, STORE } from './fakes/links.js';
import { World } from './fakes/world.js';

const SHORT_REQUEST = { model: 'listing', tokens: 5 };
const LONG_REQUEST = { model: 'listing', tokens: 100 };
/** Longer than the period at which an instance checks whether it is isolated. */
const CHECK_MARGIN_MS = 600;
const HOUR_MS = 3_600_000;

async function startWorld(daemons: number): Promise<World> {
  const world = World.of({
    seed: 1, daemons, engines: 2, favour: 'latency',
  });
  await world.advance(10_000);
  return world;
}

async function requestOutcome(world: World, daemon = 'daemon-0'): Promise<string> {
  const answer = sendRequest(world, daemon, SHORT_REQUEST);
  await world.advance(2_000);
  return outcomeOf(answer);
}

function isolate(world: World): void {
  cutLinks(world, 'daemon-0', [STORE, LIST, 'daemon-1', 'daemon-2']);
}

test('an isolated instance refuses new requests and completes open answers', async (t) => {
  const world = await startWorld(3);
  isolate(world);
  // The last contact may precede the cut by up to one heartbeat period.
  await world.advance(ISOLATED_AFTER_MS - 1_100);
  const open = sendRequest(world, 'daemon-0', LONG_REQUEST);
  await world.advance(1_100 + CHECK_MARGIN_MS);
  t.false(world.daemon('daemon-0').instance!.ready);
  t.is(outcomeOf(open), 'open');
  t.is(await requestOutcome(world), 'not_ready no');
  await world.advance(5_000);
  t.is(outcomeOf(open), 'finish');
  t.is(await requestOutcome(world, 'daemon-1'), 'finish', 'the other instances still serve');
});

test('an instance stays isolated with its peers declared dead, until one answers', async (t) => {
  const world = await startWorld(3);
  isolate(world);
  await world.advance(120_000);
  t.is(world.daemon('daemon-0').instance!.heartbeats.current().length, 1);
  t.is(await requestOutcome(world), 'not_ready no');
  world.network.heal('daemon-0', 'daemon-1');
  world.network.heal('daemon-1', 'daemon-0');
  await world.advance(30_000);
  t.is(await requestOutcome(world), 'finish');
});

test('all instances go on serving during a store outage', async (t) => {
  const world = await startWorld(3);
  world.objects.setFaults({ outage: true });
  await world.advance(60_000);
  t.deepEqual(
    await Promise.all([...world.daemons.values()].map(({ instance }) => instance!.ready)),
    [true, true, true],
  );
  t.is(await requestOutcome(world), 'finish');
});

test('an instance that reaches only the store goes on serving', async (t) => {
  const world = await startWorld(3);
  cutLinks(world, 'daemon-0', ['daemon-1', 'daemon-2']);
  await world.advance(60_000);
  t.is(await requestOutcome(world), 'finish');
});

test('an instance without peers goes on serving during a store outage', async (t) => {
  const world = await startWorld(1);
  world.objects.setFaults({ outage: true });
  await world.advance(HOUR_MS / 10);
  t.is(await requestOutcome(world), 'finish');
});

test('during a store outage the last instance serves once the list names no other', async (t) => {
  const world = await startWorld(2);
  world.objects.setFaults({ outage: true });
  world.killDaemon('daemon-1', 'silent');
  await world.advance(45_000);
  t.is(await requestOutcome(world), 'finish');
});
