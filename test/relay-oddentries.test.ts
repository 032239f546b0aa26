/** An entry that another writer left among those of the servers. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { readServer } from '../platform/servers.js';
import { PlatformStore } from '../platform/store.js';
import { monotonicScheduler } from '../src/common/time.js';
import { eventually } from './fakes/eventually.js';
import { itemOf, RawStore } from './fakes/rawstore.js';
import type { RawItem } from './fakes/rawstore.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { Relay, relayConfiguration } from './fakes/relay.js';
import type { RelayEngine } from './fakes/relayengine.js';

const KIND = 'servers';
/** Enough that each server would be picked. */
const CALLS = 12;

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

type Started = Awaited<ReturnType<typeof startRelay>>;

async function statuses({ relay }: Started): Promise<Set<number>> {
  const replies = await Promise.all(Array.from({ length: CALLS }, (_, index) => (
    relay.call(`/safe/${index}`, { 'x-id': `r${index}` }))));
  return new Set(replies.map(({ status }) => status));
}

/** Lists the first sound server, then the odd entry, then the second sound server. */
function listAll(started: Started, key: string, item: RawItem): void {
  const { store, relay, list } = started;
  list(relay.plain[0]);
  store.put(KIND, key, item);
  list(relay.plain[1]);
}

function isListed({ relay }: Started, server: string): boolean {
  return relay.log.of('server_listed').some((fields) => fields.server === server);
}

function isRemoved({ relay }: Started, server: string): boolean {
  return relay.log.of('server_removed').some((fields) => fields.server === server);
}

/** Sound servers are served on, and what changes beside the odd entry is followed. */
async function checkFollows(t: ExecutionContext, started: Started): Promise<void> {
  const { store, relay, list } = started;
  t.true(await eventually(() => relay.daemon.ready), 'ready');
  t.true(await eventually(() => isListed(started, 'a-1') && isListed(started, 'z-2')), 'listed');
  t.deepEqual([...await statuses(started)], [200]);
  t.deepEqual(relay.plain.map(({ runs }) => runs.length > 0), [true, true]);
  list(relay.plain[0], { State: 'draining' });
  t.true(await eventually(() => (
    relay.log.of('server_listed').some(({ server, state }) => (
      server === 'a-1' && state === 'leaving')))), 'leaving');
  store.remove(KIND, 'a-1');
  t.true(await eventually(() => isRemoved(started, 'a-1')), 'removed');
  t.deepEqual([...await statuses(started)], [200]);
}

interface OddEntry {
  readonly name: string;
  readonly key?: string;
  readonly item: RawItem;
}

const ENTRIES: readonly OddEntry[] = [
  { name: 'with a port out of range', item: itemOf('m-odd', specOf('127.0.0.1:70000')) },
];

ENTRIES.forEach(({ name, key = 'm-odd', item }) => {
  test(`an entry ${name}, found in the list, names no server and hides none`, async (t) => {
    const started = await startRelay(t);
    listAll(started, key, item);
    started.store.put('config', 'main', itemOf('main', relayConfiguration()));
    await checkFollows(t, started);
  });

  test(`an entry ${name}, found by the watch, names no server and hides none`, async (t) => {
    const started = await startRelay(t);
    started.store.put('config', 'main', itemOf('main', relayConfiguration()));
    t.true(await eventually(() => started.store.calls.some((call) => call.includes('Watch'))));
    listAll(started, key, item);
    await checkFollows(t, started);
  });
});
