/** Streams on engines of several software versions, whose events don't fit together. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { VirtualClock } from './fakes/clock.js';
import { eventually } from './fakes/eventually.js';
import { HeldClock } from './fakes/heldclock.js';
import { expectOk } from './fakes/objects.js';
import { Relay } from './fakes/relay.js';
import type { RelayFixture, Reply } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const STREAMS = 24;
const EVENTS = 25;
const STEP_MS = 20;
/** Events that callers have when they leave. */
const HELD_EVENTS = 4;

const pause = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

function enginesOf(
  software: string,
  count: number,
  change: Partial<RelayEngineOptions> = {},
): readonly RelayEngineOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${software}-${index}`,
    zone: 'ab'[index % 2]!,
    software,
    stepMs: STEP_MS,
    events: EVENTS,
    ...change,
  }));
}

async function ready(t: ExecutionContext, relay: Relay, count: number): Promise<Relay> {
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= count)));
  return relay;
}

async function anotherInstance(
  t: ExecutionContext,
  { engines }: Relay,
  fixture: RelayFixture = {},
): Promise<Relay> {
  const relay = await Relay.of(t, fixture);
  await Promise.all(engines.map((engine) => relay.putEntry(engine, 'engines')));
  await ready(t, relay, engines.length);
  if (!fixture.peer) return relay;
  t.true(await eventually(() => relay.log.of('peer_reached').length > 0));
  t.true(await eventually(() => fixture.peer!.log.of('peer_reached').length > 0));
  return relay;
}

/** Two instances that know each other; the engines belong to the second. */
async function twoInstances(
  t: ExecutionContext,
  engines: readonly RelayEngineOptions[],
  fixture: RelayFixture = {},
): Promise<readonly [Relay, Relay]> {
  const second = await ready(t, await Relay.of(t, { engines, ...fixture }), engines.length);
  return [await anotherInstance(t, second, { peer: second }), second];
}

const IDS = Array.from({ length: STREAMS }, (_, index) => `r${index}`);

function streamHeaders(id: string): Record<string, string> {
  return { 'x-id': id, 'x-parts': `shared,own-${id}` };
}

/** Bodies differ, since a request that comes again may be what crashes engines. */
const promptOf = (id: string) => `prompt of ${id}`;

/** Begins streams whose callers leave after some events. */
async function beginAndLeave(relay: Relay, ids = IDS): Promise<void> {
  await Promise.all(ids.map((id) => relay.call(
    '/stream/',
    streamHeaders(id),
    promptOf(id),
    (text, disconnect) => {
      if (text.includes(`id: ${HELD_EVENTS}\n`)) disconnect();
    },
  )));
}

function takeUp(relay: Relay, root: string, tries = 1): Promise<Reply> {
  return relay.call('/stream/', {
    ...streamHeaders(root),
    'x-id': `${root}-${tries}`,
    'x-last': String(HELD_EVENTS),
    'x-resumes': root,
  }, promptOf(root));
}

/** The software versions whose engines sent events of a stream, over all tries of its caller. */
function versionsOf(engines: readonly RelayEngine[], root: string): ReadonlySet<string> {
  return new Set(engines
    .filter(({ streamed }) => [...streamed].some((id) => id === root || id.startsWith(`${root}-`)))
    .map(({ options }) => options.software!));
}

function joinedIds(engines: readonly RelayEngine[]): readonly string[] {
  return IDS.filter((id) => versionsOf(engines, id).size > 1);
}

function isComplete({ status, whole, text }: Reply): boolean {
  return status === 200 && whole && text.includes(`id: ${EVENTS}\n`);
}

const MIXED = [...enginesOf('v1', 4), ...enginesOf('v2', 6)];

interface Take {
  readonly name: string;
  readonly delayMs: number;
  /** What happens between the callers' leaving and their return. */
  readonly incident?: (first: Relay, second: Relay) => void;
}
const TAKES: readonly Take[] = [
  { name: 'at once', delayMs: 0 },
  { name: 'later', delayMs: 1_500 },
  {
    name: 'after the instance that began it has gone',
    delayMs: 300,
    incident: (first) => first.stop(),
  },
  {
    name: 'while the store is down',
    delayMs: 100,
    incident: (first, second) => [first, second].forEach(({ objects }) => (
      objects.setFaults({ outage: true }))),
  },
];
TAKES.forEach(({ name, delayMs, incident }) => {
  test(`a stream taken up elsewhere stays at its software version: ${name}`, async (t) => {
    const [first, second] = await twoInstances(t, MIXED);
    await beginAndLeave(first);
    incident?.(first, second);
    await pause(delayMs);
    const replies = await Promise.all(IDS.map((id) => takeUp(second, id)));
    t.deepEqual(joinedIds(second.engines), []);
    t.true(replies.filter(isComplete).length >= STREAMS / 2);
  });
});

test('a stream taken up several times at once stays at its software version', async (t) => {
  const [first, second] = await twoInstances(t, MIXED);
  await beginAndLeave(first);
  const replies = await Promise.all(IDS.flatMap((id) => [
    takeUp(second, id, 1), takeUp(first, id, 2), takeUp(second, id, 3)]));
  t.deepEqual(joinedIds(second.engines), []);
  t.true(replies.filter(isComplete).length >= replies.length / 2);
});

test('a stream whose engine fails stays at its software version', async (t) => {
  const relay = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  const replies = IDS.map((id) => relay.call('/stream/', streamHeaders(id), promptOf(id)));
  t.true(await eventually(() => IDS.every((id) => versionsOf(relay.engines, id).size > 0)));
  relay.engines.filter(({ options }) => options.id.startsWith('v2')).slice(1).forEach((engine) => (
    engine.crash()));
  const complete = (await Promise.all(replies)).filter(isComplete).length;
  t.deepEqual(joinedIds(relay.engines), []);
  t.true(complete >= STREAMS / 2);
  const copies = relay.log.of('route').filter(({ standby }) => standby !== undefined);
  t.true(copies.every(({ software, standby }) => String(standby).startsWith(String(software))));
});

test('a stream whose standby copy is refused stays at its software version', async (t) => {
  const engines = MIXED.map((options) => ({
    ...options,
    respond: ((req, res) => {
      if (req.headers['x-from'] === undefined) return false;
      res.writeHead(503, { 'x-not-run': '1' }).end();
      return true;
    }) satisfies RelayEngineOptions['respond'],
  }));
  const relay = await ready(t, await Relay.of(t, { engines }), MIXED.length);
  const replies = IDS.map((id) => relay.call('/stream/', streamHeaders(id), promptOf(id)));
  t.true(await eventually(() => IDS.every((id) => versionsOf(relay.engines, id).size > 0)));
  relay.engines.filter((_, index) => index % 2 === 0).forEach((engine) => engine.crash());
  const complete = (await Promise.all(replies)).filter(isComplete).length;
  t.deepEqual(joinedIds(relay.engines), []);
  t.true(complete >= STREAMS / 2);
});

test('a stream whose software version no engine runs any more is refused at once', async (t) => {
  const clock = new HeldClock();
  const [first, second] = await twoInstances(t, MIXED, { clock });
  await beginAndLeave(first);
  const old = second.engines.filter(({ options }) => options.software === 'v1');
  const gone = IDS.filter((id) => versionsOf(old, id).size > 0);
  t.true(gone.length > 0);
  old.forEach((engine) => engine.end());
  await Promise.all(old.map(({ options: { id } }) => second.removeEntry(id)));
  t.true(await eventually(() => second.log.of('server_removed').length >= old.length));
  clock.hold();
  const replies = await Promise.all(gone.map((id) => takeUp(second, id)));
  t.deepEqual([...new Set(replies.map(({ status }) => status))], [503]);
  t.true(replies.every(({ text }) => text.includes('"ran":"no"')));
  t.deepEqual(joinedIds(second.engines), []);
});

test('an instance that never heard of a stream does not guess its software version', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  const stranger = await anotherInstance(t, first);
  const replies = await Promise.all(IDS.map((id) => takeUp(stranger, id)));
  t.deepEqual(joinedIds(first.engines), []);
  t.deepEqual([...new Set(replies.map(({ status }) => status))], [503]);
});

test('an instance that never saw a stream\'s software version takes no other', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  const stranger = await Relay.of(t);
  const left = first.engines.filter(({ options }) => options.software === 'v2');
  await Promise.all(left.map((engine) => stranger.putEntry(engine, 'engines')));
  await ready(t, stranger, left.length);
  await Promise.all(IDS.map((id) => takeUp(stranger, id)));
  t.deepEqual(joinedIds(first.engines), []);
});

test('an instance that never heard of a stream finds its version in the store', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  const isSaved = async () => {
    const { objects } = expectOk(await first.objects.list('origin/', 'status'));
    return IDS.every((id) => objects.some(({ value }) => value.includes(`"${id}"`)));
  };
  t.true(await eventually(isSaved), JSON.stringify(first.log.of('origins_unsaved')));
  const stranger = await anotherInstance(t, first, { storeOf: first });
  const replies = await Promise.all(IDS.map((id) => takeUp(stranger, id)));
  t.deepEqual(joinedIds(first.engines), []);
  t.true(replies.filter(isComplete).length >= STREAMS / 2);
  // What the first one reads is known to those after it.
  t.true(stranger.log.of('taken_up').some(({ source }) => source === 'store'));
});

test('engines that have read a session\'s prompt do not tell where a stream began', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  // Earlier requests of the sessions ran at the one version, and engines of the other are silent.
  first.engines.forEach((engine) => {
    if (engine.options.software === 'v2') engine.silence(2_000);
    else IDS.forEach((id) => engine.cachedParts.add(`own-${id}`));
  });
  const stranger = await anotherInstance(t, first);
  const replies = await Promise.all(IDS.map((id) => takeUp(stranger, id)));
  t.deepEqual(joinedIds(first.engines), []);
  t.true(replies.every(({ status, text }) => status === 503 && text.includes('"ran":"no"')));
});

test('with one version, streams are taken up as soon as all instances are back', async (t) => {
  const engines = enginesOf('v1', 6);
  const first = await ready(t, await Relay.of(t, { engines }), engines.length);
  await beginAndLeave(first);
  first.engines.forEach(({ streamed, cachedParts }) => {
    streamed.forEach((id) => cachedParts.add(`own-${id}`));
  });
  // No lookup times out, however slow the machine is.
  const lookupScheduler = new VirtualClock();
  const stranger = await anotherInstance(t, first, { storeOf: first, lookupScheduler });
  const replies = await Promise.all(IDS.map((id) => takeUp(stranger, id)));
  t.is(replies.filter(isComplete).length, STREAMS);
  t.deepEqual(expectOk(await first.objects.list('origin/', 'status')).objects, []);
});

test('a version that ran before all instances were lost is not taken for another', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  t.true(await eventually(async () => (
    expectOk(await first.objects.list('origin/', 'status')).objects.length > 0)));
  const gone = first.engines.filter(({ options }) => options.software === 'v2');
  gone.forEach((engine) => engine.end());
  first.engines.forEach(({ cachedParts }) => (
    IDS.forEach((id) => cachedParts.add(`own-${id}-other`))));
  await Promise.all(gone.map(({ options: { id } }) => first.removeEntry(id)));
  const stranger = await Relay.of(t, { storeOf: first });
  await ready(t, stranger, MIXED.length - gone.length);
  await Promise.all(IDS.map((id) => takeUp(stranger, `${id}-other`)));
  t.deepEqual(stranger.log.of('taken_up').filter(({ source }) => source !== undefined), []);
});

test('an instance that started later asks the others for a stream\'s version', async (t) => {
  const first = await ready(t, await Relay.of(t, { engines: MIXED }), MIXED.length);
  await beginAndLeave(first);
  await pause(2_500);
  const second = await anotherInstance(t, first, { peer: first });
  const replies = await Promise.all(IDS.map((id) => takeUp(second, id)));
  t.deepEqual(joinedIds(first.engines), []);
  t.true(replies.filter(isComplete).length >= STREAMS / 2);
});

test('a stream does not go on at an engine that restarted at another version', async (t) => {
  const [first, second] = await twoInstances(t, [...enginesOf('v1', 1), ...enginesOf('v2', 2)]);
  await beginAndLeave(first);
  const [engine] = second.engines;
  const begun = IDS.filter((id) => versionsOf([engine!], id).size > 0);
  t.true(begun.length > 0);
  engine!.crash();
  await engine!.start();
  await Promise.all([first, second].map((relay) => (
    relay.putEntry(engine!, 'engines', { software: 'v2', startedAt: 2 }))));
  t.true(await eventually(() => (
    second.log.of('server_listed').some((line) => line.started_at === 2))));
  const replies = await Promise.all(begun.map((id) => takeUp(second, id)));
  t.deepEqual([...new Set(replies.map(({ status }) => status))], [503]);
});

/** An engine of `relay` restarts with its id at another version, while the store is down. */
async function restartUnlisted(t: ExecutionContext, relay: Relay): Promise<RelayEngine> {
  const [engine] = relay.engines;
  relay.objects.setFaults({ outage: true });
  engine!.crash();
  await Promise.all(IDS.map((id) => (
    relay.call('/stream/', streamHeaders(`lost-${id}`), promptOf(`lost-${id}`)))));
  t.true(await eventually(() => relay.log.of('server_suspected').length > 0));
  await engine!.restartAt('v2');
  t.true(await eventually(() => relay.log.of('server_listed').some(({ started_at: startedAt }) => (
    startedAt === engine!.startedAt))));
  return engine!;
}

// Without their entries, engines that restart at another version under their ids look unchanged.
test('streams of an engine that restarted unlisted do not go on at the old version', async (t) => {
  const relay = await ready(t, await Relay.of(t, { engines: enginesOf('v1', 2) }), 2);
  const engine = await restartUnlisted(t, relay);
  const streams = IDS.map((id) => relay.call('/stream/', streamHeaders(id), promptOf(id)));
  t.true(await eventually(() => engine.streamed.size > 2));
  const begun = [...engine.streamed];
  engine.crash();
  await Promise.all(streams);
  const others = relay.engines.slice(1);
  t.deepEqual(begun.filter((id) => versionsOf(others, id).size > 0), []);
});

test('a stream of an engine that restarted unlisted goes on once its entry is read', async (t) => {
  const engines = [...enginesOf('v1', 1), ...enginesOf('v2', 3)];
  const relay = await ready(t, await Relay.of(t, { engines }), engines.length);
  const engine = await restartUnlisted(t, relay);
  await beginAndLeave(relay);
  const begun = IDS.filter((id) => engine.streamed.has(id));
  t.true(begun.length > 0);
  relay.objects.setFaults({ outage: false });
  await relay.putEntry(engine, 'engines', { startedAt: engine.startedAt });
  t.true(await eventually(() => relay.log.of('server_listed').some((line) => (
    line.server === engine.options.id && line.software === 'v2'))));
  engine.end();
  const replies = await Promise.all(begun.map((id) => takeUp(relay, id)));
  t.is(replies.filter(isComplete).length, begun.length);
});

test('streams begin at a software version in proportion to its engines', async (t) => {
  const engines = [...enginesOf('v1', 1), ...enginesOf('v2', 5)];
  const relay = await ready(t, await Relay.of(t, { engines }), engines.length);
  await Promise.all(IDS.map((id) => relay.call('/stream/', streamHeaders(id), promptOf(id))));
  const share = relay.engines[0]!.streamed.size / STREAMS;
  t.true(share >= 1 / 12 && share <= 1 / 3, String(share));
});
