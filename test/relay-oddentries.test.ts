/** An entry that another writer left among those of the servers. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { firstValueFrom, takeWhile, toArray } from 'rxjs';
import { readServer } from '../platform/servers.js';
import { PlatformStore } from '../platform/store.js';
import { monotonicScheduler } from '../src/common/time.js';
import type { StoredObject } from '../src/store/objects.js';
import { eventually } from './fakes/eventually.js';
import { expectOk } from './fakes/objects.js';
import { itemOf, RawStore } from './fakes/rawstore.js';
import type { RawItem } from './fakes/rawstore.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { Relay, relayConfiguration } from './fakes/relay.js';
import type { RelayEngine } from './fakes/relayengine.js';

const KIND = 'servers';
/** Enough that each server would be picked. */
const CALLS = 6;
/** A copy of the store's objects may be 2 s old, and is confirmed at half of that. */
const MIN_LIST_INTERVAL_MS = 1_000;

function specOf(address: string, change: object = {}): object {
  return {
    Service: 'plain', Address: address, Zone: 'a', Slots: 8, State: 'ready', ...change,
  };
}

/** Starts a relay that follows a store of raw bytes, with two sound servers. */
async function startRelay(t: ExecutionContext, pageSize?: number) {
  const store = await RawStore.of(t, pageSize);
  const log = new RecordedLog();
  const relay = await Relay.of(t, {
    plain: [{ id: 'a-1', zone: 'a' }, { id: 'z-2', zone: 'a' }],
    platform: {
      objects: PlatformStore.of(store.address, monotonicScheduler, log),
      configurationKind: 'config',
      configurationName: 'main',
      serverKind: KIND,
      readServer,
    },
  });
  const list = (engine: RelayEngine | undefined, change: object = {}): void => {
    if (!engine) throw new Error('no such server');
    const { id } = engine.options;
    store.put(KIND, id, itemOf(id, specOf(engine.address, change)));
  };
  return {
    store, relay, log, list,
  };
}

interface OddEntry {
  readonly name: string;
  /** Its name in the store. */
  readonly key?: string;
  readonly item: RawItem;
  /** Whether it names a server, where nothing listens. */
  readonly names?: boolean;
}

const DEPTH = 100_000;
const DEEP = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
/** Where nothing listens. */
const NOWHERE = '127.0.0.1:1';

/** An object whose specification is a text of any kind. */
function rawItem(spec: string | Buffer, name = '"m"', revision?: string): RawItem {
  return (current) => Buffer.concat([
    Buffer.from(`{"Metadata":{"Name":${name},"Revision":${revision ?? current}},"Spec":`),
    Buffer.from(spec), Buffer.from('}'),
  ]);
}

/** A sound specification with one field that is given as a text. */
function fieldItem(field: string, value: string | Buffer): RawItem {
  const spec = JSON.stringify(specOf(NOWHERE)).slice(0, -1);
  return rawItem(Buffer.concat([
    Buffer.from(`${spec},"${field}":`), Buffer.from(value), Buffer.from('}'),
  ]));
}

/** Longer than any name of a host. */
const LONG = 'm'.repeat(2_000);
const SOUND = JSON.stringify(specOf(NOWHERE));

const ENTRIES: readonly OddEntry[] = [
  { name: 'with a port out of range', item: itemOf('m', specOf('127.0.0.1:70000')) },
  { name: 'that is nested deeply', item: rawItem(DEEP) },
  { name: 'with a field that is nested deeply', item: fieldItem('Models', DEEP) },
  { name: 'with a number of slots that overflows', item: fieldItem('Slots', '1e999') },
  { name: 'with a huge number of slots', item: fieldItem('Slots', '1e300'), names: true },
  { name: 'with a start time that overflows', item: fieldItem('born', '1e999') },
  { name: 'with a start time of another type', item: fieldItem('born', '"soon"') },
  { name: 'without a specification', item: rawItem('null') },
  { name: 'of an unknown service', item: fieldItem('Service', '"unknown"'), names: true },
  { name: 'in an unknown state', item: fieldItem('State', '"asleep"') },
  { name: 'with a revision that overflows', item: rawItem(SOUND, undefined, '1e999') },
  { name: 'with a huge revision', item: rawItem(SOUND, undefined, '1e300') },
  { name: 'with a revision to come', item: rawItem(SOUND, undefined, '99999999999'), names: true },
  { name: 'with a negative revision', item: rawItem(SOUND, undefined, '-1') },
  { name: 'nested deeply without a name', item: () => DEEP },
  { name: 'without Metadata', item: () => `{"Spec":${SOUND}}` },
  { name: 'that is null', item: () => 'null' },
  { name: 'that is a number', item: () => '1e999' },
  { name: 'with a name of another type', item: rawItem(SOUND, '7') },
  { name: 'with a number that is none', item: fieldItem('Slots', 'NaN') },
  { name: 'with a revision that is none', item: rawItem(SOUND, undefined, 'NaN') },
  { name: 'with bytes that are no JSON', item: fieldItem('Zone', Buffer.from([0xff, 0x00, 0xfe])) },
  { name: 'with control characters', item: fieldItem('Zone', '"\x00\x07"') },
  { name: 'with invalid UTF-8', item: fieldItem('Zone', Buffer.from([0x22, 0xff, 0xc3, 0x22])) },
  { name: 'with an empty name', key: '', item: rawItem(SOUND, '""') },
  { name: 'with a name of half a character', key: 'm\ud800', item: rawItem(SOUND, '"m\\ud800"') },
  { name: 'with a line break in its name', key: 'm\n-odd', item: rawItem(SOUND, '"m\\n-odd"') },
  { name: 'with a name that headers can\'t carry', key: 'm-ł', item: rawItem(SOUND, '"m-\u0142"') },
  { name: 'with a very long name', key: LONG, item: rawItem(SOUND, `"${LONG}"`) },
  {
    name: 'named as a property of objects',
    key: 'constructor',
    item: rawItem(SOUND, '"constructor"'),
    names: true,
  },
  {
    name: 'named __proto__', key: '__proto__', item: rawItem(SOUND, '"__proto__"'), names: true,
  },
  { name: 'of a service named so', item: fieldItem('Service', '"constructor"'), names: true },
  { name: 'with half a character in its version', item: fieldItem('Version', '"v\\ud800"') },
];

type Started = Awaited<ReturnType<typeof startRelay>>;

async function checkServed(t: ExecutionContext, { relay }: Started, name: string): Promise<void> {
  const replies = await Promise.all(Array.from({ length: CALLS }, (_, index) => (
    relay.call(`/safe/${index}`, { 'x-id': `r${index}` }))));
  t.deepEqual(new Set(replies.map(({ status }) => status)), new Set([200]), name);
}

/** A change that is made beside the odd entry arrives. */
async function checkFollowed(t: ExecutionContext, started: Started, at: number, name: string) {
  const { relay, list } = started;
  list(relay.plain[0], { born: at });
  t.true(await eventually(() => relay.log.of('server_listed').some((fields) => (
    fields.server === 'a-1' && fields.started_at === at))), name);
}

/** The store is not taken for lost, and not read over and over; no version is made up. */
function checkStore(t: ExecutionContext, { relay, store }: Started, ms: number): void {
  const lost = relay.log.of('store_lost').filter(({ reason }) => (
    !String(reason).includes('no answer')));
  t.deepEqual(lost, []);
  t.true(relay.log.of('store_read').every(({ version }) => Number(version) <= store.revision));
  const lists = store.calls.filter((call) => call === `/objects/${KIND}`).length;
  t.true(lists <= 2 + ms / MIN_LIST_INTERVAL_MS, `${lists} lists in ${ms} ms`);
}

test('sound servers are served on, and followed, after each odd entry', async (t) => {
  const started = await startRelay(t);
  const { relay, store, list } = started;
  const at = performance.now();
  relay.plain.forEach((engine) => list(engine));
  store.put('config', 'main', itemOf('main', relayConfiguration()));
  t.true(await eventually(() => relay.daemon.ready));
  await [...ENTRIES.entries()].reduce(async (previous, [index, odd]) => {
    const { name, key = 'm', item } = odd;
    await previous;
    store.put(KIND, key, item);
    await checkFollowed(t, started, index + 1, name);
    await checkServed(t, started, name);
  }, Promise.resolve());
  t.true(relay.plain.every(({ runs }) => runs.length > 0));
  checkStore(t, started, performance.now() - at);
});

test('an instance that starts among odd entries serves, and follows changes', async (t) => {
  const started = await startRelay(t);
  const { relay, store, list } = started;
  const at = performance.now();
  ENTRIES.forEach(({ key, item }, index) => store.put(KIND, key ?? `m-${index}`, item));
  relay.plain.forEach((engine) => list(engine));
  store.put('config', 'main', itemOf('main', relayConfiguration()));
  t.true(await eventually(() => relay.daemon.ready));
  await checkFollowed(t, started, 1, 'changed');
  await checkServed(t, started, 'served');
  t.true(relay.plain.every(({ runs }) => runs.length > 0));
  checkStore(t, started, performance.now() - at);
});

const COPIES: readonly { name: string; change: object }[] = [
  { name: 'in its place', change: {} },
  { name: 'of an unknown service', change: { Service: 'unknown' } },
  { name: 'that is leaving', change: { State: 'draining' } },
];
COPIES.forEach(({ name, change }) => {
  test(`an entry with the address of a sound server, ${name}, does not take it away`, async (t) => {
    const started = await startRelay(t);
    const { relay, store, list } = started;
    const [sound] = relay.plain;
    list(sound);
    store.put('config', 'main', itemOf('main', relayConfiguration()));
    t.true(await eventually(() => relay.daemon.ready));
    await checkServed(t, started, 'before');
    store.put(KIND, 'm', itemOf('m', specOf(sound!.address, change)));
    t.true(await eventually(() => relay.log.of('server_listed').some(({ server }) => (
      server === 'm'))));
    t.true(await eventually(async () => (await relay.call('/safe/', {})).status === 200));
    await checkServed(t, started, 'after');
    store.remove(KIND, 'm');
    t.true(await eventually(() => relay.log.of('server_removed').some(({ server }) => (
      server === 'm'))));
    await checkServed(t, started, 'once it is removed');
  });
});

/** The servers that objects name. */
function serversIn(objects: readonly StoredObject[]): readonly string[] {
  return objects.flatMap(({ name, value }) => readServer(name, JSON.parse(value))?.id ?? []);
}

ENTRIES.forEach(({
  name, key = 'm', item, names = false,
}) => {
  test(`store: an entry ${name} hides no other`, async (t) => {
    const store = await RawStore.of(t, 2);
    const reader = PlatformStore.of(store.address, monotonicScheduler, new RecordedLog());
    store.put(KIND, 'a', itemOf('a', specOf(NOWHERE)));
    store.put(KIND, key, item);
    store.put(KIND, 'z', itemOf('z', specOf(NOWHERE)));
    const listing = expectOk(await reader.list(KIND));
    t.is(listing.version, store.revision);
    t.is(serversIn(listing.objects).length, names ? 3 : 2);
    const events = await firstValueFrom(reader.watch(KIND, 0).pipe(
      takeWhile((event) => event.kind !== 'put' || event.object.name !== 'z', true),
      toArray(),
    ));
    const objects = events.flatMap((event) => (event.kind === 'put' ? [event.object] : []));
    t.is(serversIn(objects).length, names ? 3 : 2);
    t.true([...listing.objects, ...objects].every(({ version }) => version <= store.revision));
  });
});
