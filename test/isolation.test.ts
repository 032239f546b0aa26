import test from 'ava';
import { ISOLATED_AFTER_MS } from '../src/daemon/isolation.js';
import { sendRequest, outcomeOf, cutLinks } from './fakes/requests.js';
import { LIST, STORE } from './fakes/links.js';
import { World } from './fakes/world.js';

const SERVED = { model: 'listing', tokens: 5 };
const LONG = { model: 'listing', tokens: 100 };
/** Covers the period at which an instance looks. */
const NOTICE_MS = 600;
const HOUR_MS = 3_600_000;

async function start(daemons: number): Promise<World> {
  const world = World.of({
    seed: 1, daemons, engines: 2, favour: 'latency',
  });
  await world.advance(10_000);
  return world;
}

async function asked(world: World, daemon = 'daemon-0'): Promise<string> {
  const answer = sendRequest(world, daemon, SERVED);
  await world.advance(2_000);
  return outcomeOf(answer);
}

function isolate(world: World): void {
  cutLinks(world, 'daemon-0', [STORE, LIST, 'daemon-1', 'daemon-2']);
}

test('a cut-off instance refuses what is new as not run and ends what is open', async (t) => {
  const world = await start(3);
  isolate(world);
  // The last contact may be a heartbeat's period older than the cut.
  await world.advance(ISOLATED_AFTER_MS - 1_100);
  const open = sendRequest(world, 'daemon-0', LONG);
  await world.advance(1_100 + NOTICE_MS);
  t.false(world.daemon('daemon-0').instance!.ready);
  t.is(outcomeOf(open), 'open');
  t.is(await asked(world), 'not_ready no');
  await world.advance(5_000);
  t.is(outcomeOf(open), 'finish');
  t.is(await asked(world, 'daemon-1'), 'finish', 'the others go on');
});

test('an instance stays cut off after its peers are dead to it, until one answers', async (t) => {
  const world = await start(3);
  isolate(world);
  await world.advance(120_000);
  t.is(world.daemon('daemon-0').instance!.heartbeats.current().length, 1);
  t.is(await asked(world), 'not_ready no');
  world.network.heal('daemon-0', 'daemon-1');
  world.network.heal('daemon-1', 'daemon-0');
  await world.advance(30_000);
  t.is(await asked(world), 'finish');
});

test('without the store everyone goes on', async (t) => {
  const world = await start(3);
  world.objects.setFaults({ outage: true });
  await world.advance(60_000);
  t.deepEqual(
    await Promise.all([...world.daemons.values()].map(({ instance }) => instance!.ready)),
    [true, true, true],
  );
  t.is(await asked(world), 'finish');
});

test('without its peers an instance that reaches the store goes on', async (t) => {
  const world = await start(3);
  cutLinks(world, 'daemon-0', ['daemon-1', 'daemon-2']);
  await world.advance(60_000);
  t.is(await asked(world), 'finish');
});

test('an instance that has no peers goes on without the store', async (t) => {
  const world = await start(1);
  world.objects.setFaults({ outage: true });
  await world.advance(HOUR_MS / 10);
  t.is(await asked(world), 'finish');
});

test('the last instance goes on without the store once the list shows it alone', async (t) => {
  const world = await start(2);
  world.objects.setFaults({ outage: true });
  world.killDaemon('daemon-1', 'silent');
  await world.advance(45_000);
  t.is(await asked(world), 'finish');
});
