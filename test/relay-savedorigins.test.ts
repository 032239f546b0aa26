/** Where streams began, as instances save it in the store for each other. */
import test from 'ava';
import { err, ok } from 'neverthrow';
import type { StoredObject } from '../src/store/objects.js';
import { SavedOrigins } from '../src/relay/savedorigins.js';
import { StreamOrigins } from '../src/relay/streamorigins.js';
import { serverState } from '../src/relay/serverstate.js';
import { VirtualClock } from './fakes/clock.js';
import { RecordedLog } from './fakes/recordedlog.js';

const NOW = 1_700_000_000_000;
const DOWN = err({ code: 'unavailable' as const, message: 'down' });

class Store {
  readonly objects = new Map<string, StoredObject>();

  writes = 0;

  isDown = false;

  put(name: string, content: unknown): void {
    this.write(name, JSON.stringify(content));
  }

  write(name: string, value: string) {
    this.writes += 1;
    if (this.isDown) return DOWN;
    this.objects.set(name, { name, version: 1, value });
    return ok(undefined);
  }
}

/** An instance whose service `s` runs the given versions. */
function instanceOf(store: Store, name: string, versions: string[], instances = 1) {
  const clock = new VirtualClock();
  const log = new RecordedLog();
  const origins = StreamOrigins.of({
    scheduler: clock,
    log,
    onUrgentChange: () => undefined,
    servers: () => versions.map((software, index) => serverState({
      id: `e${index}`,
      service: 's',
      address: '127.0.0.1:1',
      zone: 'a',
      state: 'ready',
      slots: 1,
      startedAt: 1,
      software,
      weights: 1,
    })),
    copyAgeMs: () => 0,
    hasPeers: () => false,
  });
  const saved = SavedOrigins.of({
    scheduler: clock,
    log,
    reader: {
      list: async () => (
        store.isDown ? DOWN : ok({ version: 1, objects: [...store.objects.values()] })),
    },
    writer: {
      write: async (_, object, value) => store.write(object, value),
      remove: async (_, object) => {
        store.objects.delete(object);
        return ok(undefined);
      },
    },
    kind: 'origins',
    name,
    origins,
    instances: () => instances,
    wallClock: () => NOW + clock.now(),
  });
  origins.start();
  saved.start();
  return {
    clock, log, origins, saved,
  };
}

test('an instance that was restarted knows what all of them had saved', async (t) => {
  const store = new Store();
  const before = instanceOf(store, 'd1', ['v1', 'v2']);
  await before.clock.advance(1_000);
  before.origins.record('r1', 'v1');
  before.origins.record('r2', 'v2');
  await before.clock.advance(500);
  const after = instanceOf(store, 'd1', ['v1', 'v2']);
  // Its own first write comes before anybody asks.
  await after.clock.advance(1_000);
  t.true(await after.saved.read());
  t.deepEqual(after.origins.origin('r1'), { kind: 'version', software: 'v1' });
  t.deepEqual(after.origins.origin('r2'), { kind: 'version', software: 'v2' });
  t.is(after.saved.soleVersion('s'), undefined);
});

test('nothing is written while each service runs one version, nor for long after', async (t) => {
  const store = new Store();
  const versions = ['v1'];
  const { clock, origins, saved } = instanceOf(store, 'd1', versions);
  origins.record('r1', 'v1');
  await clock.advance(5_000);
  t.is(store.writes, 0);
  t.true(await saved.read());
  t.is(saved.soleVersion('s'), 'v1');
  versions.push('v2');
  await clock.advance(2_000);
  t.is(store.objects.size, 1);
  versions.pop();
  await clock.advance(70_000);
  t.is(store.objects.size, 0);
});

test('all instances together write a few times a second, however many they are', async (t) => {
  await Promise.all([1, 9, 200].map(async (count) => {
    const store = new Store();
    const { clock, origins } = instanceOf(store, 'd1', ['v1', 'v2'], count);
    for (let second = 0; second < 100; second += 1) {
      origins.record(`r${second}`, 'v1');
      // eslint-disable-next-line no-await-in-loop -- one second after another
      await clock.advance(1_000);
    }
    t.true(store.writes * count <= 4 * 100 + count, `${count}: ${store.writes}`);
  }));
});

test('a store that is down leaves the version open, and is written once it is back', async (t) => {
  const store = new Store();
  store.isDown = true;
  const { clock, origins, saved } = instanceOf(store, 'd1', ['v1', 'v2']);
  origins.record('r1', 'v1');
  await clock.advance(2_000);
  t.false(await saved.read());
  t.is(saved.soleVersion('s'), undefined);
  store.isDown = false;
  await clock.advance(2_000);
  t.regex(store.objects.get('d1')!.value, /"r1","v1"/);
});

test('versions that were seen some minutes ago do not hold back later streams', async (t) => {
  const store = new Store();
  store.put('lost', { at: NOW - 180_000, versions: { s: ['v0', 'v1'] }, origins: [['r9', 'v0']] });
  const { origins, saved } = instanceOf(store, 'd1', ['v1']);
  t.true(await saved.read());
  t.is(saved.soleVersion('s'), 'v1');
  t.deepEqual(origins.origin('r9'), { kind: 'version', software: 'v0' });
});

test('objects that are odd or of instances long gone tell nothing', async (t) => {
  const store = new Store();
  const content = { versions: { s: ['v2'] }, origins: [['r9', 'v2']] };
  store.put('gone', { at: NOW - 3_600_000, ...content });
  store.put('odd', { at: NOW, versions: 7 });
  const { origins, saved } = instanceOf(store, 'd1', ['v1']);
  t.true(await saved.read());
  t.is(origins.origin('r9'), undefined);
  t.is(saved.soleVersion('s'), 'v1');
  t.deepEqual([...store.objects.keys()], ['odd']);
});
