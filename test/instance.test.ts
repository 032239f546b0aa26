import test from 'ava';
import { sendRequest, outcomeOf, cutLinks } from './fakes/requests.js';
import type { ObservedAnswer } from './fakes/requests.js';
import { STORE } from './fakes/links.js';
import { World } from './fakes/world.js';

const DAEMONS = 4;
const IN_FORCE_MS = 1_000;
const LEAVING_MS = 2_000;

async function start(daemons = DAEMONS, seed = 1): Promise<World> {
  const world = World.of({
    seed, daemons, engines: 3, favour: 'latency',
  });
  await world.advance(10_000);
  return world;
}

function revisions(world: World): readonly number[] {
  return [...world.daemons.values()].map(({ instance }) => instance?.configuration.revision ?? -1);
}

function change(world: World): void {
  world.operators.edit('operator-0', { kind: 'version', model: 'listing', version: '2' });
}

function names(world: World): readonly string[] {
  return [...world.daemons.keys()];
}

test('a change is in force on all instances within a second', async (t) => {
  const world = await start();
  change(world);
  await world.advance(IN_FORCE_MS);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
  t.true([...world.daemons.values()]
    .every(({ instance }) => instance!.configuration.models.listing!.version === '2'));
});

test('a change reaches an instance that cannot reach the store through its peers', async (t) => {
  const world = await start();
  cutLinks(world, 'daemon-3', [STORE]);
  await world.advance(30_000);
  change(world);
  await world.advance(3 * IN_FORCE_MS);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
});

test('an instance that starts without the store takes the revision of its peers', async (t) => {
  const world = await start();
  change(world);
  await world.advance(IN_FORCE_MS);
  world.killDaemon('daemon-0', 'ended');
  world.objects.setFaults({ outage: true });
  await world.advance(5_000);
  world.startDaemon('daemon-0');
  const restarted = world.daemon('daemon-0').instance!;
  t.false(restarted.ready, 'not ready before it knows any configuration');
  await world.advance(5_000);
  t.true(restarted.ready);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
});

test('no instance ever goes back, though the store shows an old copy for a while', async (t) => {
  const world = await start();
  const seen = names(world).map((name) => {
    const list: number[] = [];
    world.daemon(name).instance!.feed.changes.subscribe(({ revision }) => list.push(revision));
    return list;
  });
  world.objects.setFaults({ staleReads: true });
  change(world);
  await world.advance(IN_FORCE_MS);
  world.killDaemon('daemon-0', 'ended');
  world.startDaemon('daemon-0');
  await world.advance(300_000);
  world.objects.setFaults({ staleReads: false });
  await world.advance(120_000);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
  seen.forEach((list) => t.deepEqual(list, [...list].sort()));
});

test('a claim with one key at two instances at once is granted once', async (t) => {
  const world = await start();
  const keyed = { model: 'billing', tokens: 5, key: 'invoice-1' };
  const answers = names(world).map((name) => sendRequest(world, name, keyed));
  await world.advance(5_000);
  const ends = answers.map(outcomeOf).sort();
  t.is(ends.filter((end) => end === 'finish').length, 1, ends.join());
  t.is([...world.engines.values()].flatMap(({ engine }) => engine.begun).length, 1);
});

test('a server that leaves gets nothing new from any instance after two seconds', async (t) => {
  const world = await start();
  const begun = () => world.engine('engine-0').engine.begun.length;
  const load = () => names(world)
    .map((name) => sendRequest(world, name, { model: 'listing', tokens: 3 }));
  load();
  world.leaveEngine('engine-0');
  await world.advance(LEAVING_MS);
  const before = begun();
  const late: ObservedAnswer[] = [];
  for (let round = 0; round < 20; round += 1) {
    late.push(...load());
    // eslint-disable-next-line no-await-in-loop -- time passes in order
    await world.advance(300);
  }
  t.is(begun(), before);
  t.true(late.every((answer) => outcomeOf(answer) === 'finish'));
});

test('the news of a leaving server reaches an instance that gets no reports of it', async (t) => {
  const world = await start();
  world.network.cut('engine-0', 'daemon-0');
  world.leaveEngine('engine-0');
  await world.advance(LEAVING_MS);
  const { softState } = world.daemon('daemon-0').instance!.heartbeats;
  t.true(softState.entries('leaving/').some(({ key }) => key === 'leaving/engine-0'));
});

test('an instance that is told to stop, twice, ends its open answers whole', async (t) => {
  const world = await start();
  const { instance } = world.daemon('daemon-0');
  const leaveAnswer = instance!.drain.enter();
  const open = sendRequest(world, 'daemon-0', { model: 'listing', tokens: 100 });
  const ended: boolean[] = [];
  instance!.drain.ended.subscribe((whole) => ended.push(whole));
  instance!.leave();
  await world.advance(500);
  instance!.leave();
  t.false(instance!.ready);
  t.is(world.daemon('daemon-1').instance!.heartbeats.current()
    .find(({ name }) => name === 'daemon-0')?.state, 'leaving');
  const balanced = sendRequest(world, 'daemon-0', { model: 'listing', tokens: 3 });
  await world.advance(9_000);
  t.deepEqual([open, balanced].map(outcomeOf), ['finish', 'finish']);
  t.deepEqual(ended, [], 'an answer is still open');
  leaveAnswer();
  t.deepEqual(ended, [true]);
});

test('the lease of an instance that dies silently is taken by another', async (t) => {
  const world = await start();
  const held = () => names(world)
    .filter((name) => world.daemon(name).instance?.lease.grant() !== undefined);
  const [holder] = held();
  world.killDaemon(holder!, 'silent');
  await world.advance(10_000);
  t.is(held().length, 1);
});

test('at rest an instance makes at most one store call in five seconds', async (t) => {
  const world = await start(9);
  await world.advance(60_000);
  const calls = () => {
    const { reads, writes, watches } = world.objects.counts();
    return reads + writes + watches;
  };
  const before = calls();
  const SECONDS = 300;
  await world.advance(SECONDS * 1_000);
  const rate = (calls() - before) / SECONDS / 9;
  t.true(rate <= 0.2, `${rate} calls a second`);
});

test('an instance that stops gives the lease to another at once', async (t) => {
  const world = await start();
  const held = () => names(world)
    .filter((name) => world.daemon(name).instance!.lease.grant() !== undefined);
  const [holder] = held();
  t.truthy(holder);
  world.daemon(holder!).instance!.leave();
  await world.advance(3_000);
  t.is(held().length, 1);
  t.not(held()[0], holder);
});
