/** An instance that stops: what its callers get, and what its log tells of them. */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { CallerConnection, headText } from './fakes/callerconnection.js';
import { eventsText, Relay } from './fakes/relay.js';
import type { RelayFixture } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const LARGE_BYTES = 6_000_000;

async function servingRelay(t: ExecutionContext, fixture: RelayFixture): Promise<Relay> {
  const relay = await Relay.of(t, fixture);
  t.true(await eventually(() => relay.daemon.ready));
  return relay;
}

/** A plain server that gives large answers; `given` counts those that it has written whole. */
function largeAnswers() {
  const state = { given: 0 };
  const options: RelayEngineOptions = {
    id: 'p1',
    zone: 'a',
    respond: (req, res, engine) => {
      res.writeHead(200, engine.responseHeaders(req)).end(Buffer.alloc(LARGE_BYTES));
      res.on('finish', () => {
        state.given += 1;
      });
      return true;
    },
  };
  return { state, options };
}

function callerOf(relay: Relay): Promise<CallerConnection> {
  return CallerConnection.of({ host: relay.endpoint.ip, port: relay.endpoint.callersPort });
}

test('an answer that its caller could not read is not logged as whole', async (t) => {
  const { state, options } = largeAnswers();
  const relay = await servingRelay(t, { plain: [options] });
  const caller = await callerOf(relay);
  caller.pause();
  caller.send(headText({ id: 'large', path: '/safe/a' }));
  t.true(await eventually(() => state.given === 1));
  // The relay reads the rest of it from its socket.
  await pause(500);
  t.deepEqual(relay.log.of('answered'), []);
  caller.destroy();
  t.true(await eventually(() => relay.log.of('answered').length === 1));
  t.like(relay.log.of('answered')[0], { request: 'large', whole: false, stage: 'ended' });
});

test('the log of a stop tells which answers were open, how far, and at which server', async (t) => {
  const relay = await servingRelay(t, {
    engines: [{
      id: 'e1', zone: 'a', stepMs: 50, events: 1_000,
    }],
    plain: [{ id: 'p1', zone: 'a', respond: () => true }],
  });
  const stream = await callerOf(relay);
  stream.send(headText({ id: 'stream', path: '/stream/a' }));
  const call = await callerOf(relay);
  call.send(headText({ id: 'call', path: '/unsafe/a' }));
  const upload = await callerOf(relay);
  upload.send(headText({
    id: 'upload', path: '/unsafe/a', method: 'POST', fields: ['content-length: 9'],
  }));
  t.true(await eventually(() => stream.bytes > 0 && relay.plain[0]!.requests.length > 0));
  t.true(await eventually(() => relay.daemon.drain.open === 3));
  relay.daemon.startDrain();
  t.true(await eventually(() => relay.daemon.drain.state === 'expired'));
  ['lagging', 'expired'].forEach((state) => {
    const lines = relay.log.of('open_answer').filter((line) => line.state === state);
    t.like(lines.find(({ request }) => request === 'stream'), { stage: 'answering', server: 'e1' });
  });
  const atSignal = relay.log.of('open_answer').filter(({ state }) => state === 'lagging');
  t.like(atSignal.find(({ request }) => request === 'call'), { stage: 'running', server: 'p1' });
  t.like(atSignal.find(({ request }) => request === 'upload'), { stage: 'reading' });
});

/** A stream of 4.6 s; the limit of a stop is at 4.85 s. */
const LONG_STREAM = {
  id: 'e1', zone: 'a', stepMs: 230, events: 20,
};
/** After the balancer's lag, with more time left than a plain call takes. */
const LATE_MS = 3_100;

interface LateRequest {
  readonly name: string;
  readonly before: string;
  /** Sent this long after the signal. */
  readonly atMs: number;
  readonly early?: string;
  readonly after: string;
  /** Whether the instance has seen how long streams take. */
  readonly isKnown?: boolean;
}

const LATE_REQUESTS: readonly LateRequest[] = (() => {
  const head = headText({ id: 'late', path: '/stream/a' });
  const upload = headText({
    id: 'late', path: '/stream/a', method: 'POST', fields: ['transfer-encoding: chunked'],
  });
  return [
    {
      name: 'on a connection that had sent nothing', before: '', atMs: LATE_MS, after: head,
    },
    {
      name: 'with half of its head sent before',
      before: head.slice(0, 20),
      atMs: LATE_MS,
      after: head.slice(20),
    },
    {
      name: 'with a body in chunks that ends late',
      before: '',
      early: `${upload}3\r\nabc\r\n`,
      atMs: LATE_MS,
      after: '0\r\n\r\n',
    },
    {
      name: 'in the lag of the balancer', before: '', atMs: 1_000, after: head, isKnown: true,
    },
  ];
})();

LATE_REQUESTS.forEach(({
  name, before, early = '', atMs, after, isKnown = false,
}) => {
  test(`a stream that can't end before the limit of a stop is not begun: ${name}`, async (t) => {
    const relay = await servingRelay(t, { engines: [LONG_STREAM] });
    if (isKnown) t.true((await relay.call('/stream/a', { 'x-id': 'known' })).whole);
    const known = relay.engines[0]!.runs.length;
    const caller = await callerOf(relay);
    caller.send(before);
    await pause(50);
    relay.daemon.startDrain();
    await pause(500);
    caller.send(early);
    await pause(atMs - 500);
    caller.send(after);
    await caller.closed;
    t.is(caller.status, 503, caller.text.slice(0, 200));
    t.regex(caller.text, /\r\nretry-after: /i);
    t.is(relay.engines[0]!.runs.length, known);
  });
});

test('a stream that fits into the time of a stop is served in the balancer\'s lag', async (t) => {
  const relay = await servingRelay(t, { engines: [{ id: 'e1', zone: 'a' }] });
  t.true((await relay.call('/stream/a', { 'x-id': 'before' })).whole);
  relay.daemon.startDrain();
  const reply = await relay.call('/stream/a', { 'x-id': 'during' });
  t.deepEqual([reply.status, reply.whole], [200, true]);
});

test('a stream whose engine fails in a stop is not begun again without the time', async (t) => {
  let failing = '';
  // Whichever engine gets the second stream fails it; the other one would take 4.6 s.
  const failSecond: RelayEngineOptions['respond'] = (req, res, { options: { id } }) => {
    if (req.headers['x-id'] !== 'repeated' || (failing !== '' && failing !== id)) return false;
    failing = id;
    setTimeout(() => res.destroy(), 1_000);
    return true;
  };
  const relay = await servingRelay(t, {
    engines: ['e1', 'e2'].map((id) => ({ ...LONG_STREAM, id, respond: failSecond })),
  });
  t.true((await relay.call('/stream/a', { 'x-id': 'known' })).whole);
  const caller = await callerOf(relay);
  caller.send(headText({ id: 'repeated', path: '/stream/a' }));
  t.true(await eventually(() => failing !== ''));
  relay.daemon.startDrain();
  await caller.closed;
  t.is(caller.status, 502, caller.text.slice(0, 200));
  t.deepEqual(relay.engines.flatMap(({ runs }) => runs), ['known@1']);
});

/** Another engine holds a copy of the stream. */
const STANDBY_PAIR = ['a', 'b'].map((zone) => ({
  id: `e-${zone}`, zone, stepMs: 100, events: 20,
}));

const LOSSES: Readonly<Record<string, (engine: RelayEngine) => void>> = {
  'falls silent for a second': (engine) => engine.silence(1_000),
  crashes: (engine) => engine.crash(),
};
Object.entries(LOSSES).forEach(([name, lose]) => {
  test(`a stream that has begun goes on in a stop when its engine ${name}`, async (t) => {
    const relay = await servingRelay(t, { engines: STANDBY_PAIR });
    // By this one, a stream with three times its tokens takes longer than a stop.
    t.true((await relay.call('/stream/a', { 'x-id': 'known', 'x-output': '10' })).whole);
    const begun = relay.call('/stream/a', { 'x-id': 'begun', 'x-output': '30' });
    const serving = () => relay.engines.find(({ streamed }) => streamed.has('begun'));
    t.true(await eventually(() => serving() !== undefined));
    relay.daemon.startDrain();
    await pause(300);
    lose(serving()!);
    const reply = await begun;
    t.deepEqual([reply.status, reply.whole], [200, true]);
    t.is(reply.text, eventsText(20));
  });
});

test('a stream stays at a silent engine in a stop when the other one is silent too', async (t) => {
  const relay = await servingRelay(t, { engines: STANDBY_PAIR });
  const begun = relay.call('/stream/a', { 'x-id': 'begun' });
  const serving = () => relay.engines.find(({ streamed }) => streamed.has('begun'));
  t.true(await eventually(() => serving() !== undefined));
  relay.daemon.startDrain();
  await pause(300);
  relay.engines.forEach((engine) => engine.silence(engine === serving() ? 1_000 : 30_000));
  const reply = await begun;
  t.deepEqual([reply.status, reply.whole], [200, true]);
  t.is(reply.text, eventsText(20));
});

test('a stream that has not begun stays at a silent engine in a stop', async (t) => {
  const relay = await servingRelay(t, { engines: STANDBY_PAIR });
  t.true((await relay.call('/stream/a', { 'x-id': 'known', 'x-output': '10' })).whole);
  const waiting = relay.call('/stream/a', { 'x-id': 'waiting', 'x-output': '30' });
  relay.engines.forEach((engine) => engine.silence(1_500));
  await pause(100);
  relay.daemon.startDrain();
  const reply = await waiting;
  t.deepEqual([reply.status, reply.whole], [200, true]);
});

test('a call that may run once is not begun late if it may outlast the stop', async (t) => {
  const relay = await servingRelay(t, { plain: [{ id: 'p1', zone: 'a' }] });
  const known = await relay.call('/unsafe/a', { 'x-id': 'known' });
  t.is(known.status, 200);
  const callers = await Promise.all([1, 2, 3].map(() => callerOf(relay)));
  const upload = await callerOf(relay);
  // The instance waits for it.
  upload.send(headText({
    id: 'upload', path: '/unsafe/a', method: 'POST', fields: ['content-length: 9'],
  }));
  t.true(await eventually(() => relay.daemon.drain.open === 1));
  relay.daemon.startDrain();
  await pause(LATE_MS);
  callers[0]!.send(headText({ id: 'once', path: '/unsafe/a' }));
  callers[1]!.send(headText({ id: 'short', path: '/unsafe/a', fields: ['x-deadline: 300'] }));
  callers[2]!.send(headText({ id: 'safe', path: '/safe/a' }));
  await Promise.all(callers.map(({ closed }) => closed));
  t.deepEqual(callers.map(({ status }) => status), [503, 200, 200], callers[1]!.text);
});

test('an answer that ended before the listener closes arrives whole', async (t) => {
  const { state, options } = largeAnswers();
  const relay = await servingRelay(t, { plain: [options] });
  const caller = await callerOf(relay);
  caller.pause();
  caller.send(headText({ id: 'large', path: '/safe/a' }));
  t.true(await eventually(() => state.given === 1));
  relay.daemon.startDrain();
  t.true(await eventually(() => relay.daemon.drain.state === 'finishing'));
  await pause(300);
  caller.resume();
  t.true(await eventually(() => caller.bytes > LARGE_BYTES));
  t.true(await eventually(() => relay.daemon.drain.state === 'done'));
  t.like(relay.log.of('answered')[0], { request: 'large', whole: true });
});

test('a call that no server has answered at the limit of a stop is told so', async (t) => {
  const relay = await servingRelay(t, { plain: [{ id: 'p1', zone: 'a', respond: () => true }] });
  const call = await callerOf(relay);
  call.send(headText({ id: 'call', path: '/unsafe/a' }));
  const upload = await callerOf(relay);
  upload.send(headText({
    id: 'upload', path: '/unsafe/a', method: 'POST', fields: ['content-length: 9'],
  }));
  t.true(await eventually(() => relay.daemon.drain.open === 2));
  relay.daemon.startDrain();
  await Promise.all([call.closed, upload.closed]);
  t.is(call.status, 502, call.text);
  t.is(upload.status, 503, upload.text);
  t.true(await eventually(() => relay.daemon.drain.state === 'expired'));
});

test('a stream whose body goes on is refused at once in a stop', async (t) => {
  const relay = await servingRelay(t, { engines: [LONG_STREAM] });
  t.true((await relay.call('/stream/a', { 'x-id': 'known' })).whole);
  relay.daemon.startDrain();
  const caller = await callerOf(relay);
  caller.send(headText({
    id: 'late', path: '/stream/a', method: 'POST', fields: ['transfer-encoding: chunked'],
  }));
  for (let chunk = 0; chunk < 40; chunk += 1) {
    caller.send('1\r\nx\r\n');
    // eslint-disable-next-line no-await-in-loop -- one chunk after another
    await pause(10);
  }
  caller.send('0\r\n\r\n');
  t.is(await caller.closed, '');
  t.is(caller.status, 503, caller.text);
});
