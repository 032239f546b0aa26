import test from 'ava';
import { sendRequest, outcomeOf, cutLinks } from './fakes/requests.js';
import type { ObservedAnswer } from './fakes/requests.js';
import { STORE } from './fakes/links.js';
import { World } from './fakes/world.js';

const DAEMONS = 4;
const CHANGE_BOUND_MS = 1_000;
const LEAVING_BOUND_MS = 2_000;

async function startWorld(daemons = DAEMONS, seed = 1): Promise<World> {
  const world = World.of({
    seed, daemons, engines: 3, favour: 'latency',
  });
  await world.advance(10_000);
  return world;
}

function revisions(world: World): readonly number[] {
  return [...world.daemons.values()].map(({ instance }) => instance?.configuration.revision ?? -1);
}

function changeModelVersion(world: World): void {
  world.operators.edit('operator-0', { kind: 'version', model: 'listing', version: '2' });
}

function names(world: World): readonly string[] {
  return [...world.daemons.keys()];
}

test('a configuration change is in force on all instances within a second', async (t) => {
  const world = await startWorld();
  changeModelVersion(world);
  await world.advance(CHANGE_BOUND_MS);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
  t.true([...world.daemons.values()]
    .every(({ instance }) => instance!.configuration.models.listing!.version === '2'));
});

test('an instance without access to the store receives a change from its peers', async (t) => {
  const world = await startWorld();
  cutLinks(world, 'daemon-3', [STORE]);
  await world.advance(30_000);
  changeModelVersion(world);
  await world.advance(3 * CHANGE_BOUND_MS);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
});

test('an instance that starts during a store outage takes its peers\' revision', async (t) => {
  const world = await startWorld();
  changeModelVersion(world);
  await world.advance(CHANGE_BOUND_MS);
  world.killDaemon('daemon-0', 'ended');
  world.objects.setFaults({ outage: true });
  await world.advance(5_000);
  world.startDaemon('daemon-0');
  const restarted = world.daemon('daemon-0').instance!;
  t.false(restarted.ready, 'not ready before it has a configuration');
  await world.advance(5_000);
  t.true(restarted.ready);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
});

test('no instance returns to an earlier revision while the store serves stale reads', async (t) => {
  const world = await startWorld();
  const seen = names(world).map((name) => {
    const list: number[] = [];
    world.daemon(name).instance!.feed.changes.subscribe(({ revision }) => list.push(revision));
    return list;
  });
  world.objects.setFaults({ staleReads: true });
  changeModelVersion(world);
  await world.advance(CHANGE_BOUND_MS);
  world.killDaemon('daemon-0', 'ended');
  world.startDaemon('daemon-0');
  await world.advance(300_000);
  world.objects.setFaults({ staleReads: false });
  await world.advance(120_000);
  t.deepEqual(revisions(world), [2, 2, 2, 2]);
  seen.forEach((list) => t.deepEqual(list, [...list].sort()));
});

test('concurrent claims of one key at several instances are granted once', async (t) => {
  const world = await startWorld();
  const keyed = { model: 'billing', tokens: 5, key: 'invoice-1' };
  const answers = names(world).map((name) => sendRequest(world, name, keyed));
  await world.advance(5_000);
  const outcomes = answers.map(outcomeOf).sort();
  t.is(outcomes.filter((end) => end === 'finish').length, 1, outcomes.join());
  t.is([...world.engines.values()].flatMap(({ engine }) => engine.started).length, 1);
});

test('no instance sends a leaving server new work after two seconds', async (t) => {
  const world = await startWorld();
  const begun = () => world.engine('engine-0').engine.started.length;
  const sendToAll = () => names(world)
    .map((name) => sendRequest(world, name, { model: 'listing', tokens: 3 }));
  sendToAll();
  world.leaveEngine('engine-0');
  await world.advance(LEAVING_BOUND_MS);
  const before = begun();
  const late: ObservedAnswer[] = [];
  for (let round = 0; round < 20; round += 1) {
    late.push(...sendToAll());
    // eslint-disable-next-line no-await-in-loop -- the rounds run in sequence
    await world.advance(300);
  }
  t.is(begun(), before);
  t.true(late.every((answer) => outcomeOf(answer) === 'finish'));
});

test('an instance without reports from a leaving server learns of it from its peers', async (t) => {
  const world = await startWorld();
  world.network.cut('engine-0', 'daemon-0');
  world.leaveEngine('engine-0');
  await world.advance(LEAVING_BOUND_MS);
  const { softState } = world.daemon('daemon-0').instance!.heartbeats;
  t.true(softState.entries('leaving/').some(({ key }) => key === 'leaving/engine-0'));
});

test('an instance that is told to stop twice completes its open answers', async (t) => {
  const world = await startWorld();
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

test('another instance takes the lease of one that dies silently', async (t) => {
  const world = await startWorld();
  const holders = () => names(world)
    .filter((name) => world.daemon(name).instance?.lease.grant() !== undefined);
  const [holder] = holders();
  world.killDaemon(holder!, 'silent');
  await world.advance(10_000);
  t.is(holders().length, 1);
});

test('an idle instance makes at most one store call in five seconds', async (t) => {
  const world = await startWorld(9);
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

test('when an instance stops, another takes over its lease within three seconds', async (t) => {
  const world = await startWorld();
  const holders = () => names(world)
    .filter((name) => world.daemon(name).instance!.lease.grant() !== undefined);
  const [holder] = holders();
  t.truthy(holder);
  world.daemon(holder!).instance!.leave();
  await world.advance(3_000);
  t.is(holders().length, 1);
  t.not(holders()[0], holder);
});
