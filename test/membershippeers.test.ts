import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { SchedulerLike } from 'rxjs';
import type { Log, LogFields } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { PeerServer } from '../src/membership/peerserver.js';
import type { PeerHandlers } from '../src/membership/peerserver.js';
import { Heartbeats } from '../src/membership/heartbeats.js';
import type { ListedInstance } from '../src/membership/instances.js';
import { PROTOCOL } from '../src/membership/message.js';
import type { PeerAnswer } from '../src/membership/message.js';
import { PeerClient } from '../src/membership/peerclient.js';
import { MAX_BODY_BYTES, MAX_SKEW_MS } from '../src/membership/peerwire.js';
import { VirtualClock } from './fakes/clock.js';
import { eventually } from './fakes/eventually.js';

const KEY = 'a key that only peers know';
const DEADLINE_MS = 2_000;
const NOW = 1_700_000_000_000;

const ALIVE: PeerAnswer = {
  kind: 'probed', protocol: PROTOCOL, target: 'x', reached: true,
};

interface Listener {
  readonly address: string;
  readonly lines: string[];
}

async function listen(
  t: ExecutionContext,
  handlers: PeerHandlers = { heartbeat: async () => ALIVE },
): Promise<Listener> {
  const lines: string[] = [];
  const log: Log = {
    event: (_level, event, fields: LogFields = {}) => {
      lines.push(`${event} ${JSON.stringify(fields)}`);
    },
  };
  const port = await new Promise<number>((resolve) => {
    const server = PeerServer.of({
      host: '127.0.0.1',
      port: 0,
      key: KEY,
      handlers,
      log,
      wallClock: () => NOW,
      onListening: resolve,
    });
    const subscription = server.run.subscribe();
    t.teardown(() => subscription.unsubscribe());
  });
  return { address: `127.0.0.1:${port}`, lines };
}

/**
 * A client whose deadlines depend only on the given clock, so that tests don't time out on a busy
 * machine.
 */
function clientOf(
  t: ExecutionContext,
  key = KEY,
  seed = 1,
  wallClock = () => NOW,
  scheduler: SchedulerLike = new VirtualClock(),
): PeerClient {
  const client = PeerClient.of({
    key, wallClock, scheduler, random: Random.of(seed),
  });
  t.teardown(() => client.close());
  return client;
}

const PROBE = {
  kind: 'probe',
  protocol: PROTOCOL,
  sender: { name: 'a', incarnation: 1 },
  target: 'x',
  peerAddress: '127.0.0.1:1',
};

test('a signed message is answered, also a long one', async (t) => {
  const { address } = await listen(t);
  const client = clientOf(t);
  t.deepEqual(await client.exchange(address, PROBE, DEADLINE_MS), ALIVE);
  const long = { ...PROBE, padding: 'x'.repeat(100_000) };
  t.deepEqual(await client.exchange(address, long, DEADLINE_MS), ALIVE);
});

const REFUSED = [
  { what: 'another key', reason: 'signature', client: { key: 'another key' } },
  { what: 'a late clock', reason: 'stale', client: { wallClock: () => NOW - MAX_SKEW_MS - 1 } },
  { what: 'an early clock', reason: 'stale', client: { wallClock: () => NOW + MAX_SKEW_MS + 1 } },
  { what: 'no clock', reason: 'stale', client: { wallClock: () => NaN } },
];

REFUSED.forEach(({ what, reason, client }) => {
  test(`a call signed with ${what} is refused without running a handler`, async (t) => {
    const { address, lines } = await listen(t, { heartbeat: async () => t.fail() });
    const stranger = clientOf(t, client.key, 1, client.wallClock);
    await t.throwsAsync(stranger.exchange(address, PROBE, DEADLINE_MS));
    t.regex(lines[0] ?? '', new RegExp(`peer_refused .*"${reason}"`));
    t.false(lines.some((line) => line.includes(KEY) || line.includes('another key')));
  });
});

test('a replayed call is refused', async (t) => {
  const { address, lines } = await listen(t);
  await clientOf(t, KEY, 5).exchange(address, PROBE, DEADLINE_MS);
  await t.throwsAsync(clientOf(t, KEY, 5).exchange(address, PROBE, DEADLINE_MS));
  t.regex(lines[0] ?? '', /replayed/);
});

test('refusals of unauthenticated calls are logged at a limited rate', async (t) => {
  const { address, lines } = await listen(t);
  const stranger = clientOf(t, 'another key');
  for (let tries = 0; tries < 5; tries += 1) {
    // eslint-disable-next-line no-await-in-loop -- Calls are made one after another.
    await t.throwsAsync(stranger.exchange(address, PROBE, DEADLINE_MS));
  }
  t.is(lines.length, 1);
});

test('an unsigned answer is rejected', async (t) => {
  const impostor = createServer((request, response) => {
    request.resume();
    response.end(JSON.stringify({ result: { data: ALIVE } }));
  }).listen(0, '127.0.0.1');
  t.teardown(() => impostor.close());
  await new Promise((resolve) => {
    impostor.on('listening', resolve);
  });
  const address = `127.0.0.1:${(impostor.address() as AddressInfo).port}`;
  await t.throwsAsync(clientOf(t).exchange(address, PROBE, DEADLINE_MS), { message: /not signed/ });
});

test('a body over the limit is refused, and the server keeps serving', async (t) => {
  const { address, lines } = await listen(t);
  const random = Random.of(3);
  const noise = Array.from({ length: MAX_BODY_BYTES / 16 }, () => random.identifier()).join('');
  const client = clientOf(t);
  await t.throwsAsync(client.exchange(address, { ...PROBE, noise }, DEADLINE_MS));
  t.regex(lines[0] ?? '', /too_large/);
  t.deepEqual(await client.exchange(address, PROBE, DEADLINE_MS), ALIVE);
});

test('a call in another protocol version is answered with ours, and serving goes on', async (t) => {
  const { address } = await listen(t);
  const client = clientOf(t);
  const other = { ...PROBE, protocol: PROTOCOL + 1, kind: 'unheard of' };
  const answer = await client.exchange(address, other, DEADLINE_MS);
  t.deepEqual(answer, { kind: 'unsupported', protocol: PROTOCOL });
  t.deepEqual(await client.exchange(address, PROBE, DEADLINE_MS), ALIVE);
});

test('a malformed message is refused, and the server keeps serving', async (t) => {
  const { address } = await listen(t);
  const client = clientOf(t);
  await t.throwsAsync(client.exchange(address, { ...PROBE, target: 5 }, DEADLINE_MS));
  t.deepEqual(await client.exchange(address, PROBE, DEADLINE_MS), ALIVE);
});

test('other calls are routed to their handlers, and a call without a handler fails', async (t) => {
  const claim = async (body: unknown) => ({ got: body });
  const { address } = await listen(t, { heartbeat: async () => ALIVE, claim });
  const client = clientOf(t);
  t.deepEqual(await client.call('claim', address, { key: 1 }, DEADLINE_MS), { got: { key: 1 } });
  await t.throwsAsync(client.call('configuration', address, {}, DEADLINE_MS));
});

test('a call to a peer that does not answer fails at its deadline', async (t) => {
  const { address } = await listen(t, { heartbeat: () => new Promise(() => {}) });
  const clock = new VirtualClock();
  let failed = false;
  const call = clientOf(t, KEY, 1, () => NOW, clock).exchange(address, PROBE, DEADLINE_MS)
    .catch(() => {
      failed = true;
    });
  await clock.advance(DEADLINE_MS - 1);
  t.false(failed);
  await clock.advance(1);
  await call;
  t.true(failed);
});

test('three daemons over loopback discover each other and share a value', async (t) => {
  const instances: ListedInstance[] = [];
  const daemons = await Promise.all(['a', 'b', 'c'].map(async (name, index) => {
    const holder: { heartbeats?: Heartbeats } = {};
    const { address } = await listen(t, {
      heartbeat: (request) => holder.heartbeats!.receive(request),
    });
    instances.push({
      name, zone: 'z', peerAddress: address, state: 'live',
    });
    const heartbeats = Heartbeats.of({
      identity: {
        name, zone: 'z', peerAddress: address, incarnation: 1,
      },
      list: { read: async () => instances },
      network: clientOf(t, KEY, index + 10, () => NOW, monotonicScheduler),
      scheduler: monotonicScheduler,
      random: Random.of(index),
      log: { event: () => undefined },
    });
    holder.heartbeats = heartbeats;
    return heartbeats;
  }));
  daemons.forEach((daemon) => {
    const subscription = daemon.run.subscribe();
    t.teardown(() => subscription.unsubscribe());
  });
  daemons[0]!.softState.publish('x'.repeat(300), 'a key that peers would refuse');
  daemons[0]!.softState.publish('configuration', { revision: 4 });
  const seen = () => daemons.map((daemon) => daemon.current()
    .map((member) => `${member.name}:${member.state}:${member.revision}`).join(' '));
  const expected = daemons.map(() => 'a:alive:4 b:alive:0 c:alive:0');
  await eventually(() => seen().join() === expected.join());
  t.deepEqual(seen(), expected);
});
