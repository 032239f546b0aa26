/** The store comes back from a backup, without what was written since. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ok } from 'neverthrow';
import { Observable, Subject } from 'rxjs';
import { Random } from '../src/common/random.js';
import { Connections } from '../src/relay/connections.js';
import { Fleet } from '../src/relay/fleet.js';
import { Meter } from '../src/relay/meter.js';
import type { RelayConfiguration } from '../src/relay/routes.js';
import type { ServerEntry } from '../src/relay/serverentry.js';
import { StoreFeed } from '../src/relay/storefeed.js';
import { versionOf } from '../src/store/epoch.js';
import type { ObjectReader, StoredObject, WatchEvent } from '../src/store/objects.js';
import { VirtualClock } from './fakes/clock.js';
import { relayConfiguration } from './fakes/relay.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { testDialect } from './fakes/relaydialect.js';

const HEARTBEAT_MS = 1_000;
const CONFIGURATION = 'configuration';
const SERVERS = 'servers';

interface Contents {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
}

/** A store whose contents can be put back to an earlier state, with its revisions. */
class RestorableStore implements ObjectReader {
  #epoch = 1;

  #contents: Contents = { revision: 0, objects: new Map() };

  readonly #watches = new Map<Subject<WatchEvent>, string>();

  get backup(): Contents {
    return this.#contents;
  }

  restore(backup: Contents): void {
    this.#epoch += 1;
    this.#contents = backup;
    const watches = [...this.#watches.keys()];
    this.#watches.clear();
    watches.forEach((watch) => watch.error({ code: 'version_too_old', message: 'restored' }));
  }

  #change(kind: string, event: (version: number) => WatchEvent): void {
    this.#watches.forEach((other, watch) => {
      if (other === kind) watch.next(event(versionOf(this.#epoch, this.#contents.revision)));
    });
  }

  put(kind: string, name: string, value: unknown): void {
    const revision = this.#contents.revision + 1;
    const object = { name, version: revision, value: JSON.stringify(value) };
    const objects = new Map(this.#contents.objects).set(`${kind}/${name}`, object);
    this.#contents = { revision, objects };
    this.#change(kind, (version) => ({ kind: 'put', object: { ...object, version } }));
  }

  remove(kind: string, name: string): void {
    const objects = new Map(this.#contents.objects);
    objects.delete(`${kind}/${name}`);
    this.#contents = { revision: this.#contents.revision + 1, objects };
    this.#change(kind, (version) => ({ kind: 'delete', name, version }));
  }

  readonly list: ObjectReader['list'] = (kind) => {
    const { revision, objects } = this.#contents;
    return Promise.resolve(ok({
      version: versionOf(this.#epoch, revision),
      objects: [...objects].filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => ({ ...object, version: versionOf(this.#epoch, object.version) })),
    }));
  };

  readonly watch: ObjectReader['watch'] = (kind) => new Observable((subscriber) => {
    const watch = new Subject<WatchEvent>();
    this.#watches.set(watch, kind);
    const running = watch.subscribe(subscriber);
    return () => {
      running.unsubscribe();
      this.#watches.delete(watch);
    };
  });
}

function entryOf(id: string, change: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id,
    service: 's',
    address: `1.2.3.4:${id.length}${id.charCodeAt(0)}`,
    zone: 'a',
    state: 'ready',
    slots: 4,
    startedAt: 1,
    software: 'v1',
    weights: 1,
    ...change,
  };
}

async function startFeed(t: ExecutionContext) {
  const clock = new VirtualClock();
  const store = new RestorableStore();
  const log = new RecordedLog();
  const common = { scheduler: clock, random: Random.of(1), log };
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
      objects: store,
      dialect: testDialect,
      cacheQuery: { target: '/', read: () => new Map() },
      configurationKind: CONFIGURATION,
      configurationName: 'main',
      serverKind: SERVERS,
      readConfiguration: (value) => ok(value as RelayConfiguration),
      readServer: (id, value) => ({ ...value as ServerEntry, id }),
    },
    heartbeatMs: HEARTBEAT_MS,
    configurationDelayMs: 2_000,
    leavingDelayMs: 2_000,
    adopt: ({ version }) => versions.push(version),
  });
  store.put(CONFIGURATION, 'main', relayConfiguration());
  ['stays', 'leaves', 'ends'].forEach((id) => store.put(SERVERS, id, entryOf(id)));
  const running = feed.run.subscribe();
  t.teardown(() => running.unsubscribe());
  const sweeping = fleet.start();
  t.teardown(() => sweeping.unsubscribe());
  await clock.advance(1_000);
  const usable = () => fleet.candidates('s', []).map(({ server }) => server.entry.id).sort();
  t.deepEqual(usable(), ['ends', 'leaves', 'stays']);
  return {
    clock, store, feed, log, fleet, versions, usable,
  };
}

test('what is written after a restore is followed, though its revisions are lower', async (t) => {
  const {
    clock, store, usable, versions,
  } = await startFeed(t);
  const { backup } = store;
  for (let version = 2; version < 9; version += 1) {
    store.put(CONFIGURATION, 'main', relayConfiguration({ version }));
  }
  await clock.advance(500);
  store.restore(backup);
  await clock.advance(500);
  store.put(CONFIGURATION, 'main', relayConfiguration({ version: 9 }));
  store.put(SERVERS, 'leaves', entryOf('leaves', { state: 'leaving' }));
  store.put(SERVERS, 'new', entryOf('new'));
  await clock.advance(500);
  t.is(versions.at(-1), 9);
  t.deepEqual(usable(), ['ends', 'new', 'stays']);
});

test('a server that left before a restore does not come back with the backup', async (t) => {
  const { clock, store, usable } = await startFeed(t);
  const { backup } = store;
  store.put(SERVERS, 'leaves', entryOf('leaves', { state: 'leaving' }));
  store.remove(SERVERS, 'ends');
  await clock.advance(1_000);
  t.deepEqual(usable(), ['stays']);
  store.restore(backup);
  await clock.advance(1_000);
  t.deepEqual(usable(), ['stays']);
  store.remove(SERVERS, 'ends');
  await clock.advance(20_000);
  t.deepEqual(usable(), ['stays']);
});

test('a removed server that is still listed long after a restore is used again', async (t) => {
  const { clock, store, usable } = await startFeed(t);
  const { backup } = store;
  store.remove(SERVERS, 'ends');
  await clock.advance(1_000);
  store.restore(backup);
  await clock.advance(1_000);
  t.deepEqual(usable(), ['leaves', 'stays']);
  await clock.advance(4 * HEARTBEAT_MS);
  t.deepEqual(usable(), ['ends', 'leaves', 'stays']);
});

test('a server that registered after the backup stays until it registers again', async (t) => {
  const {
    clock, store, usable, log,
  } = await startFeed(t);
  const { backup } = store;
  store.put(SERVERS, 'new', entryOf('new'));
  store.put(SERVERS, 'newer', entryOf('newer'));
  await clock.advance(500);
  store.restore(backup);
  await clock.advance(1_000);
  t.like(log.of('store_restored'), [{ epoch: 2, before: 1, from: 'store' }]);
  t.true(usable().includes('new') && usable().includes('newer'));
  store.put(SERVERS, 'new', entryOf('new'));
  await clock.advance(3_000);
  t.true(usable().includes('new'));
  t.false(usable().includes('newer'));
});

test('another instance\'s copy from before a restore does not replace a newer one', async (t) => {
  const {
    clock, store, feed, usable,
  } = await startFeed(t);
  const { backup } = store;
  for (let round = 0; round < 9; round += 1) store.put(SERVERS, 'new', entryOf('new'));
  await clock.advance(500);
  const { snapshot } = feed;
  store.restore(backup);
  store.put(SERVERS, 'leaves', entryOf('leaves', { state: 'leaving' }));
  await clock.advance(5_000);
  feed.adopt(snapshot, '10.0.0.2');
  t.deepEqual(usable(), ['ends', 'stays']);
  t.false(feed.compare({ servers: { newestChange: snapshot.copies.servers.version, ageMs: 1 } }));
});
