import test from 'ava';
import type { ExecutionContext } from 'ava';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import type { Folder } from '../src/configuration/check.js';
import { Follower } from '../src/configuration/follower.js';
import { initialState, transaction } from '../src/configuration/followstate.js';
import { Publisher } from '../src/configuration/publisher.js';
import { memoryObjects } from './fakes/objects.js';

const BASE: Folder = { 'a.toml': '[deployment]\nname = "lisbon"\nzones = ["lis-a"]\n' };

interface Daemon { readonly follower: Follower; readonly seen: number[] }

/** Starts daemons that share one store; a daemon's name is its address for the others. */
function start(t: ExecutionContext) {
  const { clock, objects } = memoryObjects();
  const daemons = new Map<string, Daemon>();
  const fetched: string[] = [];
  const publisher = Publisher.of({
    api: objects, scheduler: clock, random: Random.of(99), wallClock: () => clock.now(),
  });
  const fetch = async (address: string): Promise<string> => {
    fetched.push(address);
    const current = daemons.get(address)?.follower.current();
    if (!current) throw new Error('nothing in force');
    return current.text;
  };
  const join = (name: string, api = objects): Daemon => {
    const follower = Follower.of({
      name, api, peers: { fetch }, scheduler: clock, random: Random.of(1), log: silentLog,
    });
    const seen: number[] = [];
    follower.configurations.subscribe(({ revision }) => seen.push(revision));
    const running = follower.start();
    t.teardown(() => running.unsubscribe());
    daemons.set(name, { follower, seen });
    return { follower, seen };
  };
  /** Tells every daemon the revisions in force at all others. */
  const gossip = () => daemons.forEach(({ follower }, name) => {
    follower.updatePeers([...daemons].filter(([other]) => other !== name).map(([other, daemon]) => (
      { address: other, revision: daemon.follower.current()?.revision ?? 0 })));
    follower.recordPeerContact();
  });
  const publish = (files: Folder, base: number) => publisher.apply(files, { who: 'ana', base });
  return {
    clock, objects, daemons, fetched, join, gossip, publish,
  };
}

function version(value: number): Folder {
  return { ...BASE, 'm.toml': `models.m.version = "${value}"\n` };
}

/** A store for one daemon, which is unavailable or out of date while that of the others isn't. */
function separateStore(faults: { outage?: boolean; staleReads?: boolean }) {
  const { objects } = memoryObjects();
  objects.setFaults(faults);
  return objects;
}

test('a daemon that has never received a revision is not ready', async (t) => {
  const { clock, join } = start(t);
  const { follower } = join('a');
  await clock.advance(60_000);
  t.false(follower.ready);
  t.is(follower.current(), undefined);
});

test('the first revision waits 3 s for a peer, unless there are no other instances', async (t) => {
  const { clock, join, publish } = start(t);
  await publish(BASE, 0);
  const [waiting, alone] = [join('a'), join('b')];
  await clock.advance(10);
  alone.follower.markAlone();
  t.deepEqual([waiting.seen, alone.seen], [[], [1]]);
  await clock.advance(3_000);
  t.deepEqual(waiting.seen, [1]);
});

test('a change that the watch delivers is put in force at once', async (t) => {
  const { clock, join, publish } = start(t);
  await publish(BASE, 0);
  const { follower, seen } = join('a');
  await clock.advance(4_000);
  await publish(version(1), 1);
  t.deepEqual(seen, [1, 2]);
  t.true(follower.ready);
});

test('a daemon that starts during a store outage fetches the revision from a peer', async (t) => {
  const {
    clock, objects, join, gossip, publish,
  } = start(t);
  await publish(BASE, 0);
  join('a');
  await clock.advance(4_000);
  objects.setFaults({ outage: true });
  const { seen } = join('b');
  gossip();
  await clock.advance(500);
  t.deepEqual(seen, [1]);
});

test('a change reaches daemons that are cut off from the store within 3 s', async (t) => {
  const {
    clock, join, gossip, publish, fetched,
  } = start(t);
  await publish(BASE, 0);
  const all = Array.from({ length: 9 }, (_, index) => (
    index % 3 === 0 ? join(`d${index}`, separateStore({ outage: true })) : join(`d${index}`)));
  await clock.advance(4_000);
  gossip();
  await clock.advance(1_000);
  await publish(version(1), 1);
  gossip();
  await clock.advance(1_000);
  t.deepEqual(all.map(({ seen }) => seen), all.map(() => [1, 2]));
  t.is(fetched.length, 6);
});

test('a restart with an out-of-date store does not return to an older revision', async (t) => {
  const {
    clock, daemons, join, gossip, publish,
  } = start(t);
  await publish(version(1), 0);
  const stale = separateStore({});
  await stale.put('configuration', JSON.stringify({
    format: 1, revision: 1, files: version(1), history: [],
  }), { kind: 'absent' }, 'status');
  await publish(version(2), 1);
  join('a');
  await clock.advance(4_000);
  const { seen } = join('b', stale);
  await clock.advance(100);
  t.deepEqual(seen, []);
  gossip();
  await clock.advance(1_000);
  t.deepEqual(seen, [2]);
  daemons.get('b')!.follower.offer(JSON.stringify({
    format: 1, revision: 1, files: version(1), history: [],
  }));
  await clock.advance(100_000);
  t.deepEqual(seen, [2]);
});

test('a revision that fails the checks is reported, and the previous one stays', async (t) => {
  const {
    clock, join, publish,
  } = start(t);
  await publish(BASE, 0);
  const { follower, seen } = join('a');
  await clock.advance(4_000);
  const offer = (revision: number, files: Folder) => follower.offer(JSON.stringify({
    format: 1, revision, files, history: [],
  }));
  offer(5, { ...BASE, 'x.toml': 'unknown = 1' });
  t.like(follower.status(), { revision: 1, rejected: { revision: 5 } });
  t.is(follower.status().rejected?.findings.length, 1);
  follower.offer('not a folder');
  offer(4, version(4));
  offer(6, version(6));
  t.deepEqual(seen, [1, 4, 6]);
  t.is(follower.status().rejected, undefined);
});

test('after a failed fetch the other peers are tried, with backoff', async (t) => {
  const {
    clock, objects, join, fetched,
  } = start(t);
  objects.setFaults({ outage: true });
  const { follower, seen } = join('a');
  const unreachable = ['x', 'y'].map((address) => ({ address, revision: 3 }));
  follower.updatePeers(unreachable);
  await clock.advance(60_000);
  t.true(fetched.length > 5 && fetched.length < 60, String(fetched.length));
  t.deepEqual(new Set(fetched), new Set(['x', 'y']));
  const { follower: other } = join('z');
  other.offer(JSON.stringify({
    format: 1, revision: 3, files: BASE, history: [],
  }));
  await clock.advance(4_000);
  follower.updatePeers([...unreachable, { address: 'z', revision: 3 }]);
  await clock.advance(10_000);
  t.deepEqual(seen, [3]);
});

test('status gives the time since the last contact with the store and with a peer', async (t) => {
  const { clock, objects, join } = start(t);
  const { follower } = join('a');
  await clock.advance(5_000);
  follower.recordPeerContact();
  objects.setFaults({ outage: true });
  await clock.advance(30_000);
  const { storeSilentMs, peerSilentMs } = follower.status();
  t.true(storeSilentMs >= 30_000 && storeSilentMs <= 35_000, String(storeSilentMs));
  t.is(peerSilentMs, 30_000);
  objects.setFaults({ outage: false });
  await clock.advance(6_000);
  t.true(follower.status().storeSilentMs <= 6_000);
});

test('no peer is asked for a revision that the watch delivers in time', async (t) => {
  const {
    clock, join, publish, fetched,
  } = start(t);
  await publish(BASE, 0);
  const { follower, seen } = join('a');
  await clock.advance(4_000);
  follower.updatePeers([{ address: 'x', revision: 2 }]);
  await clock.advance(50);
  await publish(version(1), 1);
  await clock.advance(5_000);
  t.deepEqual(seen, [1, 2]);
  t.deepEqual(fetched, []);
});

test('daemons that are cut off from the store spread their fetches over the peers', async (t) => {
  const { clock, join, fetched } = start(t);
  const peers = Array.from({ length: 10 }, (_, index) => ({ address: `p${index}`, revision: 2 }));
  for (let index = 0; index < 40; index += 1) {
    join(`d${index}`, separateStore({ outage: true })).follower.updatePeers(peers);
  }
  await clock.advance(301);
  t.is(fetched.length, 40);
  t.true(new Set(fetched).size >= 8, String(new Set(fetched).size));
});

test('a revision is put in force while a higher one is being fetched', (t) => {
  const text = JSON.stringify({
    format: 1, revision: 2, files: BASE, history: [],
  });
  const { state } = transaction(initialState('a', 0), { kind: 'heard', from: 'peer' }, 0);
  const first = transaction(state, { kind: 'offered', text }, 0);
  const between = transaction(
    { ...first.state, peers: [{ address: 'x', revision: 5 }] },
    { kind: 'offered', text: text.replace('"revision":2', '"revision":4') },
    0,
  );
  t.deepEqual(between.effects.map(({ kind }) => kind), ['put_in_force', 'fetch']);
});
