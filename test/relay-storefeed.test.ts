/** How long the relay goes by what it last heard of the store. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ok } from 'neverthrow';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { Connections } from '../src/relay/connections.js';
import { Fleet } from '../src/relay/fleet.js';
import { Meter } from '../src/relay/meter.js';
import type { RelayConfiguration } from '../src/relay/routes.js';
import type { ServerEntry } from '../src/relay/serverentry.js';
import { StoreFeed } from '../src/relay/storefeed.js';
import { expectOk, memoryObjects } from './fakes/objects.js';
import { readerOf, relayConfiguration } from './fakes/relay.js';
import { testDialect } from './fakes/relaydialect.js';

const BOUND_MS = 2_000;
const ENTRY: ServerEntry = {
  id: 'e1',
  service: 's',
  address: '1.2.3.4:5',
  zone: 'a',
  state: 'ready',
  slots: 4,
  startedAt: 1,
  software: 'v1',
  weights: 1,
};

async function startFeed(t: ExecutionContext) {
  const { clock, objects } = memoryObjects();
  const common = { scheduler: clock, random: Random.of(1), log: silentLog };
  const fleet = Fleet.of({
    ...common,
    connections: Connections.of(Meter.of()),
    dialect: testDialect,
    healthPath: () => undefined,
    reuseAfterMs: 0,
    admission: () => ({ isLimited: false, delayMs: 0 }),
    peerLoads: () => [],
    onRestart: () => undefined,
    onUrgentChange: () => undefined,
  });
  const versions: number[] = [];
  const feed = StoreFeed.of({
    ...common,
    fleet,
    platform: {
      objects: readerOf(objects),
      dialect: testDialect,
      cacheQuery: { target: '/', read: () => new Map() },
      configurationKind: 'configuration',
      configurationName: 'configuration',
      serverKind: 'server/',
      readConfiguration: (value) => ok(value as RelayConfiguration),
      readServer: (id, value) => {
        if (id === 'odd') throw new RangeError('odd entry');
        return { ...value as ServerEntry, id };
      },
    },
    heartbeatMs: 1_000,
    configurationDelayMs: BOUND_MS,
    leavingDelayMs: BOUND_MS,
    adopt: ({ version }) => versions.push(version),
  });
  const put = async (name: string, value: unknown) => {
    const before = await objects.get(name, 'status');
    const expected = before.isOk()
      ? { kind: 'version', version: before.value.version } as const
      : { kind: 'absent' } as const;
    expectOk(await objects.put(name, JSON.stringify(value), expected, 'status'));
  };
  await put('server/e1', ENTRY);
  await put('configuration', relayConfiguration());
  const running = feed.run.subscribe();
  t.teardown(() => running.unsubscribe());
  await clock.advance(1_000);
  t.is(fleet.server('e1')?.entry.state, 'ready');
  return {
    clock, objects, fleet, feed, put, versions,
  };
}

test('a change that can\'t be applied does not end the following', async (t) => {
  const {
    clock, objects, fleet, feed, put,
  } = await startFeed(t);
  await put('server/odd', ENTRY);
  await put('server/e1', { ...ENTRY, state: 'leaving' });
  await clock.advance(1_000);
  t.is(fleet.server('e1')?.entry.state, 'leaving');
  const { version } = expectOk(await objects.get('server/e1', 'status'));
  const object = (name: string, from: number) => ({
    name, version: version + from, value: JSON.stringify(ENTRY),
  });
  const servers = { version: version + 2, objects: [object('odd', 1), object('e4', 2)] };
  feed.adopt({ copies: { ...feed.snapshot.copies, servers }, renewalMs: 0 }, 'peer');
  t.is(fleet.server('e4')?.entry.state, 'ready');
});

test('a server that leaves is known within the bound while the watch is silent', async (t) => {
  const {
    clock, objects, fleet, put,
  } = await startFeed(t);
  objects.setFaults({ silentWatches: true });
  await put('server/e1', { ...ENTRY, state: 'leaving' });
  await clock.advance(BOUND_MS);
  t.is(fleet.server('e1')?.entry.state, 'leaving');
});

test('a configuration is in force within the bound while the watch is silent', async (t) => {
  const {
    clock, objects, put, versions,
  } = await startFeed(t);
  objects.setFaults({ silentWatches: true });
  await put('configuration', relayConfiguration({ version: 2 }));
  await clock.advance(BOUND_MS);
  t.deepEqual(versions, [1, 2]);
});

test('the store is not read again while other instances confirm the copies', async (t) => {
  const { clock, objects, feed } = await startFeed(t);
  const before = objects.counts().reads;
  for (let round = 0; round < 20; round += 1) {
    feed.compare({
      configuration: { newestChange: 2, ageMs: 50 }, servers: { newestChange: 1, ageMs: 50 },
    });
    await clock.advance(300); // eslint-disable-line no-await-in-loop -- one report after another
  }
  t.is(objects.counts().reads, before);
});

/** Hears of a change that the store does not bring; resolves to when a snapshot is asked for. */
async function askedAfterMs({ clock, feed }: Awaited<ReturnType<typeof startFeed>>) {
  const heardAt = clock.now();
  while (clock.now() - heardAt < 10_000) {
    const reports = { servers: { newestChange: 1_000, ageMs: 50 } };
    if (feed.compare(reports)) break;
    await clock.advance(50); // eslint-disable-line no-await-in-loop -- one report after another
  }
  return clock.now() - heardAt;
}

test('a change that the own watch may bring is not asked for at once, but in time', async (t) => {
  const askedMs = await askedAfterMs(await startFeed(t));
  t.true(askedMs >= BOUND_MS / 2 && askedMs < BOUND_MS * 0.6, `${askedMs}`);
});

test('a change is asked for soon while the store does not answer', async (t) => {
  const started = await startFeed(t);
  started.objects.setFaults({ outage: true });
  await started.clock.advance(3_000);
  const askedMs = await askedAfterMs(started);
  t.true(askedMs <= 400, `${askedMs}`);
});

test('servers unknown to the store stay usable while it is down, and no longer', async (t) => {
  const { clock, objects, fleet } = await startFeed(t);
  const { version } = expectOk(await objects.get('server/e1', 'status'));
  objects.setFaults({ outage: true });
  await clock.advance(60_000);
  t.is(fleet.server('e1')?.expiresAt, undefined);
  objects.setFaults({ outage: false });
  expectOk(await objects.remove('server/e1', version, 'status'));
  await clock.advance(1_000);
  const expiresAt = fleet.server('e1')?.expiresAt ?? 0;
  t.true(expiresAt > clock.now() && expiresAt <= clock.now() + 2_000);
});

test('a removal is applied at once if other instances heard the store all the time', async (t) => {
  const {
    clock, objects, fleet, feed,
  } = await startFeed(t);
  const { version } = expectOk(await objects.get('server/e1', 'status'));
  objects.setFaults({ outage: true });
  for (let round = 0; round < 20; round += 1) {
    feed.compare({ servers: { newestChange: 1, ageMs: 50 } });
    await clock.advance(300); // eslint-disable-line no-await-in-loop -- one report after another
  }
  objects.setFaults({ outage: false });
  expectOk(await objects.remove('server/e1', version, 'status'));
  await clock.advance(1_000);
  t.true((fleet.server('e1')?.expiresAt ?? 0) <= clock.now());
});

test('a server found without the store is removed unless it registers there', async (t) => {
  const {
    clock, objects, fleet, put,
  } = await startFeed(t);
  objects.setFaults({ outage: true });
  fleet.upsert({ ...ENTRY, id: 'e2', address: '1.2.3.4:6' }, 'health');
  fleet.upsert({ ...ENTRY, id: 'e3', address: '1.2.3.4:7' }, 'health');
  await clock.advance(10_000);
  t.is(fleet.server('e2')?.expiresAt, undefined);
  objects.setFaults({ outage: false });
  await clock.advance(1_500);
  await put('server/e2', { ...ENTRY, id: 'e2', address: '1.2.3.4:6' });
  t.deepEqual(['e2', 'e3'].map((id) => fleet.server(id)?.expiresAt), [undefined, undefined]);
  await clock.advance(3_000);
  t.is(fleet.server('e2')?.expiresAt, undefined);
  t.true((fleet.server('e3')?.expiresAt ?? Infinity) <= clock.now());
});
