/** Requests that crash each engine which begins to answer them, at two instances. */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { HOST, KEY, Relay } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const STREAM = { 'x-prompt': '80', 'x-output': '20', 'x-deadline': '60000' };
/** Requests with such a part that may still reach engines: five crashes, and three after those. */
const MAX_CRASHING = 5 + 3;

const hasPart = (parts: unknown, part: string) => String(parts).split(',').includes(part);

/** An engine that crashes right after the head of its response to a request with a bad part. */
function fragileEngine(id: string): RelayEngineOptions {
  return {
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      if (!hasPart(req.headers['x-parts'], 'bad')) return false;
      res.writeHead(200, engine.responseHeaders(req)).flushHeaders();
      setTimeout(() => engine.crash(), 20);
      return true;
    },
  };
}

/** An engine that breaks the connection of such a request, and lives on. */
function resettingEngine(id: string): RelayEngineOptions {
  return {
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      if (!hasPart(req.headers['x-parts'], 'bad')) return false;
      res.writeHead(200, engine.responseHeaders(req)).flushHeaders();
      setTimeout(() => req.socket.resetAndDestroy(), 20);
      return true;
    },
  };
}

const IDS = Array.from({ length: 12 }, (_, index) => `e${index}`);

async function ready(t: ExecutionContext, relay: Relay): Promise<Relay> {
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= IDS.length)));
  return relay;
}

async function firstInstance(
  t: ExecutionContext,
  engine: (id: string) => RelayEngineOptions = fragileEngine,
): Promise<Relay> {
  return ready(t, await Relay.of(t, { engines: IDS.map(engine) }));
}

/** An instance that exchanges messages with the first one and has a store of its own. */
async function secondInstance(t: ExecutionContext, first: Relay): Promise<Relay> {
  const second = await Relay.of(t, { peer: first });
  await Promise.all(first.engines.map((engine) => second.putEntry(engine, 'engines')));
  await ready(t, second);
  t.true(await eventually(() => second.log.of('peer_reached').length > 0));
  return second;
}

/** Sends a stream whose prompt has these parts and one of its own. */
function send(relay: Relay, id: string, parts: string, body = `prompt of ${id}`) {
  const headers = { ...STREAM, 'x-id': id, 'x-parts': `${parts},own-${id}` };
  return relay.call('/stream/', headers, body);
}

function crashingRequests(engines: readonly RelayEngine[]): number {
  return engines.flatMap(({ requests }) => requests)
    .filter(({ headers }) => hasPart(headers['x-parts'], 'bad')).length;
}

test('a part that crashes engines stops reaching engines at every instance', async (t) => {
  const first = await firstInstance(t);
  const second = await secondInstance(t, first);
  await send(first, 'bad-1', 'shared,bad');
  await send(second, 'bad-2', 'shared,bad');
  await send(second, 'bad-3', 'shared,bad');
  t.true(crashingRequests(first.engines) <= MAX_CRASHING);
  t.is((await send(first, 'sound-1', 'shared')).status, 200);
  t.is((await send(second, 'sound-2', 'shared,other')).status, 200);
});

test('the request that crashed engines may have run, later ones have not', async (t) => {
  const relay = await firstInstance(t);
  const crashing = await send(relay, 'bad-1', 'shared,bad');
  t.is(crashing.status, 502);
  t.like(JSON.parse(crashing.text), { error: { code: 'query_of_death', ran: 'unknown' } });
  t.is((await send(relay, 'bad-2', 'shared,bad')).status, 502);
  const refused = await send(relay, 'bad-3', 'shared,bad');
  t.is(refused.status, 503);
  t.like(JSON.parse(refused.text), { error: { code: 'query_of_death', ran: 'no' } });
  t.true(Number(refused.headers['retry-after']) > 200);
  t.like(relay.log.of('unplaced').at(-1), { request: 'bad-3', service: 'engines' });
  t.is(String(relay.log.of('unplaced').at(-1)?.crashed).split(',').length, 4);
  t.true(await eventually(async () => {
    const metrics = await relay.metrics();
    return metrics.includes('shallotshunt_relay_quarantines 2')
      && metrics.includes('refusals_total{code="query_of_death",ran="no"} 1');
  }));
});

test('sound streams are served after one stream with their part crashed engines', async (t) => {
  const relay = await firstInstance(t, (id) => ({
    ...fragileEngine(id),
    respond: (req, res, engine) => {
      if (engine.bodies.at(-1) !== 'deadly') return false;
      res.writeHead(200, engine.responseHeaders(req)).flushHeaders();
      setTimeout(() => engine.crash(), 20);
      return true;
    },
  }));
  const sound = async (round: string) => {
    const replies = await Promise.all(Array.from({ length: 8 }, (_, index) => (
      send(relay, `${round}-${index}`, 'shared'))));
    return replies.filter(({ status }) => status === 200).length;
  };
  t.is(await sound('before'), 8);
  await send(relay, 'crashing', 'shared', 'deadly');
  t.is(await sound('after'), 8);
  t.is((await send(relay, 'crashing', 'shared', 'deadly')).status, 503);
});

test('a stream that crashes engines after its first events stops reaching them', async (t) => {
  const relay = await firstInstance(t, (id) => ({
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      if (engine.bodies.at(-1) !== 'deadly') return false;
      const next = Number(req.headers['x-last'] ?? 0) + 1;
      res.writeHead(200, engine.responseHeaders(req));
      res.write(`id: ${next}\ndata: text ${next}\n\n`);
      setTimeout(() => engine.crash(), 20);
      return true;
    },
  }));
  await send(relay, 'crashing-1', 'shared', 'deadly');
  await send(relay, 'crashing-1', 'shared', 'deadly');
  const arrivals = relay.engines.flatMap(({ bodies }) => bodies)
    .filter((body) => body === 'deadly').length;
  t.true(arrivals <= 3 + 3, `${arrivals}`);
  const refused = await send(relay, 'crashing-1', 'shared', 'deadly');
  t.is(refused.status, 503);
  t.like(JSON.parse(refused.text), { error: { code: 'query_of_death', ran: 'no' } });
  t.is((await send(relay, 'sound', 'shared')).status, 200);
});

/** An engine that crashes some time after it has sent events of such a request's stream. */
function lateFragileEngine(events: number, delayMs: number): (id: string) => RelayEngineOptions {
  return (id) => ({
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      if (!hasPart(req.headers['x-parts'], 'bad')) return false;
      const first = Number(req.headers['x-last'] ?? 0) + 1;
      res.writeHead(200, engine.responseHeaders(req));
      res.write(Array.from({ length: events }, (_, index) => (
        `id: ${first + index}\ndata: text ${first + index}\n\n`)).join(''));
      setTimeout(() => engine.crash(), delayMs);
      return true;
    },
  });
}

[[1, 0], [1, 10], [2, 10], [5, 10], [1, 250]].forEach(([events = 0, delayMs = 0]) => {
  test(`a part is found that crashes engines ${delayMs} ms after ${events} events`, async (t) => {
    const first = await firstInstance(t, lateFragileEngine(events, delayMs));
    const second = await secondInstance(t, first);
    // Sound requests that share all other parts, and end in between.
    const sound = async (round: string) => {
      const replies = await Promise.all([first, second].map((relay, index) => (
        send(relay, `sound-${round}-${index}`, 'shared'))));
      return replies.every(({ status }) => status === 200);
    };
    t.true(await sound('before'));
    await send(first, 'bad-1', 'shared,bad');
    await sound('between');
    await send(second, 'bad-2', 'shared,bad');
    await send(first, 'bad-3', 'shared,bad');
    t.true(crashingRequests(first.engines) <= MAX_CRASHING, `${crashingRequests(first.engines)}`);
    t.is((await send(first, 'bad-4', 'shared,bad')).status, 503);
    t.true(await eventually(() => second.log.of('parts_quarantined').length > 0));
    t.is((await send(second, 'bad-5', 'shared,bad')).status, 503);
    t.true(await sound('after'));
    t.is((await send(second, 'sound-other', 'shared,other')).status, 200);
  });
});

test('a prompt that all share is served on while engines crash for another reason', async (t) => {
  const relay = await firstInstance(t, (id) => ({
    id, zone: 'a', stepMs: 20, events: 60,
  }));
  const replies: Promise<number>[] = [];
  for (let wave = 0; wave < 5; wave += 1) {
    for (let index = 0; index < 6; index += 1) {
      replies.push(send(relay, `r${wave}-${index}`, 'shared').then(({ status }) => status));
    }
    // Streams of this wave have just begun, those of the ones before have run for some time.
    // eslint-disable-next-line no-await-in-loop -- one wave after another
    await pause(400);
    relay.engines[wave]!.crash();
  }
  t.deepEqual((await Promise.all(replies)).filter((status) => status !== 200), []);
  t.true(relay.log.of('crash_recorded').length > 0);
  t.deepEqual(relay.log.of('parts_quarantined'), []);
  t.is((await send(relay, 'later', 'shared')).status, 200);
});

test('a prompt that has run for some time is not held against its later attempts', async (t) => {
  let crashes = 0;
  const relay = await firstInstance(t, (id) => ({
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      const from = Number(req.headers['x-last'] ?? 0) + 1;
      // The first attempts run for some time, those after them crash their engines at once.
      const isFirst = from === 1;
      if (!isFirst && crashes >= 4) return false;
      res.writeHead(200, engine.responseHeaders(req));
      res.write(`id: ${from}\ndata: text ${from}\n\n`);
      if (isFirst) setTimeout(() => res.write('id: 2\ndata: text 2\n\n'), 1_100);
      else crashes += 1;
      setTimeout(() => engine.crash(), isFirst ? 1_150 : 10);
      return true;
    },
  }));
  const replies = await Promise.all(['r1', 'r2', 'r3'].map((id) => send(relay, id, 'shared')));
  t.deepEqual(replies.map(({ status, whole }) => [status, whole]), replies.map(() => [200, true]));
  t.deepEqual(relay.log.of('parts_quarantined'), []);
});

test('an instance that started after the crashes refuses the part', async (t) => {
  const first = await firstInstance(t);
  await send(first, 'bad-1', 'shared,bad');
  await send(first, 'bad-2', 'shared,bad');
  const sent = crashingRequests(first.engines);
  const second = await secondInstance(t, first);
  t.true(await eventually(() => second.log.of('parts_quarantined').length > 0));
  t.is((await send(second, 'bad-3', 'shared,bad')).status, 503);
  t.is(crashingRequests(first.engines), sent);
});

test('a part that crashes engines is told to others while the store is down', async (t) => {
  const first = await firstInstance(t);
  const second = await secondInstance(t, first);
  [first, second].forEach(({ objects }) => objects.setFaults({ outage: true }));
  await send(first, 'bad-1', 'shared,bad');
  await send(first, 'bad-2', 'shared,bad');
  t.true(await eventually(() => second.log.of('parts_quarantined').length > 0));
  t.is((await send(second, 'bad-3', 'shared,bad')).status, 503);
  t.is((await send(second, 'sound-1', 'shared')).status, 200);
});

test('a request that waits on an engine is cancelled when its part is quarantined', async (t) => {
  const relay = await firstInstance(t, (id) => ({
    ...fragileEngine(id),
    respond: (req, res, engine) => (
      req.headers['x-id'] === 'waiting' || fragileEngine(id).respond!(req, res, engine)),
  }));
  const waiting = send(relay, 'waiting', 'shared,bad');
  t.true(await eventually(() => crashingRequests(relay.engines) === 1));
  await send(relay, 'bad-1', 'shared,bad');
  await send(relay, 'bad-2', 'shared,bad');
  const reply = await waiting;
  t.is(reply.status, 502);
  t.like(JSON.parse(reply.text), { error: { code: 'query_of_death', ran: 'unknown' } });
});

test('connections that break while engines live on are not held against a part', async (t) => {
  const relay = await firstInstance(t, resettingEngine);
  await send(relay, 'bad-1', 'shared,bad');
  await send(relay, 'bad-2', 'shared,bad');
  t.is(crashingRequests(relay.engines), 10);
  t.deepEqual(relay.log.of('crash_recorded'), []);
});

test('callers that hang up are not held against a part', async (t) => {
  const relay = await firstInstance(t, (id) => ({ id, zone: 'a', stepMs: 5_000 }));
  const hangUp = async (id: string) => {
    const caller = new AbortController();
    const url = `http://${relay.endpoint.ip}:${relay.endpoint.callersPort}/stream/`;
    const headers = {
      ...STREAM, 'x-id': id, 'x-key': KEY, 'x-parts': 'shared,bad,own', 'x-host': HOST,
    };
    const reply = fetch(url, { headers, signal: caller.signal }).catch(() => undefined);
    caller.abort();
    await reply;
  };
  await Promise.all(['r1', 'r2', 'r3', 'r4'].map(hangUp));
  t.deepEqual(relay.log.of('crash_recorded'), []);
  t.deepEqual(relay.log.of('parts_quarantined'), []);
});

test('engines that crash while they leave are not held against a part', async (t) => {
  const relay = await firstInstance(t, (id) => ({ id, zone: 'a', stepMs: 5_000 }));
  const replies = ['r1', 'r2', 'r3', 'r4'].map((id) => send(relay, id, 'shared,bad'));
  t.true(await eventually(() => crashingRequests(relay.engines) === 4));
  const busy = relay.engines.filter(({ requests }) => requests.length > 0);
  await Promise.all(busy.map((engine) => (
    relay.putEntry(engine, 'engines', { state: 'leaving' }))));
  const leaving = () => relay.log.of('server_listed').filter(({ state }) => state === 'leaving');
  t.true(await eventually(() => leaving().length === busy.length));
  busy.forEach((engine) => engine.crash());
  t.true(await eventually(() => relay.log.of('attempt_failed').length === 4));
  t.deepEqual(relay.log.of('crash_recorded'), []);
  relay.stop();
  await Promise.all(replies);
});
