/** Callers' kept connections while an instance stops: the lag is 2.5 s, the limit 4.85 s. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { CallerConnection, headText } from './fakes/callerconnection.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

/** A plain server that answers the request with the id `a` after 0.8 s, others after 1.6 s. */
const SLOW: RelayEngineOptions = {
  id: 'p1',
  zone: 'a',
  respond: (req, res, engine) => {
    const delayMs = req.headers['x-id'] === 'a' ? 800 : 1_600;
    setTimeout(() => res.writeHead(200, engine.responseHeaders(req)).end('answer'), delayMs);
    return true;
  },
};

async function servingRelay(t: ExecutionContext, plain: RelayEngineOptions): Promise<Relay> {
  const relay = await Relay.of(t, { plain: [plain] });
  t.true(await eventually(() => relay.daemon.ready));
  return relay;
}

function callerOf(relay: Relay): Promise<CallerConnection> {
  return CallerConnection.of({ host: relay.endpoint.ip, port: relay.endpoint.callersPort });
}

/** A caller that keeps its side of the connection open when the instance has ended its own. */
async function keepingCaller(t: ExecutionContext, relay: Relay): Promise<Socket> {
  const socket = connect({
    host: relay.endpoint.ip, port: relay.endpoint.callersPort, allowHalfOpen: true,
  });
  socket.on('error', () => undefined);
  socket.resume();
  t.teardown(() => socket.destroy());
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  return socket;
}

const statuses = (text: string) => text.match(/HTTP\/1\.1 \d+/g) ?? [];

test('a call that is open at the signal is not lost by the end of the one before it', async (t) => {
  const relay = await servingRelay(t, SLOW);
  const caller = await callerOf(relay);
  caller.send(headText({ id: 'a', path: '/unsafe/a' }) + headText({ id: 'b', path: '/unsafe/a' }));
  t.true(await eventually(() => relay.plain[0]!.requests.length === 2));
  relay.daemon.startDrain();
  await caller.closed;
  t.is(statuses(caller.text).length, 2, caller.text);
});

test('calls that one connection sends together in a stop are not lost', async (t) => {
  const relay = await servingRelay(t, SLOW);
  t.is((await relay.call('/unsafe/a', { 'x-id': 'before' })).status, 200);
  const caller = await callerOf(relay);
  relay.daemon.startDrain();
  caller.send(headText({ id: 'a', path: '/unsafe/a' }) + headText({ id: 'b', path: '/unsafe/a' }));
  await caller.closed;
  const passedOn = relay.plain[0]!.requests
    .filter(({ headers }) => ['a', 'b'].includes(String(headers['x-id']))).length;
  t.true(statuses(caller.text).length >= passedOn, `${passedOn} passed on\n${caller.text}`);
});

test('an answer whose head is written in a stop says that its connection closes', async (t) => {
  const relay = await servingRelay(t, SLOW);
  const caller = await callerOf(relay);
  caller.send(headText({ id: 'a', path: '/unsafe/a' }));
  t.true(await eventually(() => relay.plain[0]!.requests.length === 1));
  relay.daemon.startDrain();
  await caller.closed;
  t.is(caller.status, 200);
  t.regex(caller.text, /\r\nconnection: close\r\n/i);
});

test('a caller whose request was malformed does not hold up the end of a stop', async (t) => {
  const relay = await servingRelay(t, SLOW);
  const socket = await keepingCaller(t, relay);
  socket.write('no request\r\n\r\n');
  await pause(1_000);
  relay.daemon.startDrain();
  t.true(await eventually(() => ['done', 'expired'].includes(relay.daemon.drain.state)));
  t.is(relay.daemon.drain.state, 'done');
});

test('a stop is not told as cut because a caller keeps an idle connection', async (t) => {
  const relay = await servingRelay(t, { id: 'p1', zone: 'a' });
  const socket = await keepingCaller(t, relay);
  socket.write(headText({ id: 'before', path: '/safe/a' }));
  t.true(await eventually(() => relay.log.of('answered').length === 1));
  t.like(relay.log.of('answered')[0], { whole: true });
  relay.daemon.startDrain();
  t.true(await eventually(() => ['done', 'expired'].includes(relay.daemon.drain.state)));
  t.is(relay.daemon.drain.state, 'done');
});

test('an answered upgrade or expectation leaves nothing open in a stop', async (t) => {
  const relay = await servingRelay(t, { id: 'p1', zone: 'a' });
  const upgrade = await callerOf(relay);
  upgrade.send(headText({
    id: 'u', path: '/safe/a', fields: ['connection: upgrade', 'upgrade: websocket'],
  }));
  const expectation = await callerOf(relay);
  expectation.send(headText({
    id: 'e',
    path: '/unsafe/a',
    method: 'POST',
    fields: ['expect: 100-continue', 'content-length: 2'],
  }));
  t.true(await eventually(() => expectation.text.startsWith('HTTP/1.1 100')));
  const old = await callerOf(relay);
  old.send(headText({ id: 'o', path: '/safe/a' }).replace('HTTP/1.1', 'HTTP/1.0'));
  await old.closed;
  relay.daemon.startDrain();
  expectation.send('xx');
  await Promise.all([upgrade.closed, expectation.closed]);
  t.deepEqual([upgrade.status, old.status], [200, 200]);
  t.deepEqual(statuses(expectation.text), ['HTTP/1.1 100', 'HTTP/1.1 200'], expectation.text);
  t.true(await eventually(() => relay.daemon.drain.state === 'done'));
});
