/** An instance that stops: what its callers get, and what its log tells of them. */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { RawCaller, headText } from './fakes/rawcaller.js';
import { Relay } from './fakes/relay.js';
import type { RelayFixture } from './fakes/relay.js';

const LARGE_BYTES = 6_000_000;

async function servingRelay(t: ExecutionContext, fixture: RelayFixture): Promise<Relay> {
  const relay = await Relay.of(t, fixture);
  t.true(await eventually(() => relay.daemon.ready));
  return relay;
}

function callerOf(relay: Relay): Promise<RawCaller> {
  return RawCaller.of({ host: relay.endpoint.ip, port: relay.endpoint.callersPort });
}

test('an answer that its caller could not read is not logged as whole', async (t) => {
  const relay = await servingRelay(t, {
    plain: [{
      id: 'p1',
      zone: 'a',
      respond: (req, res, engine) => {
        res.writeHead(200, engine.responseHeaders(req)).end(Buffer.alloc(LARGE_BYTES));
        return true;
      },
    }],
  });
  const caller = await callerOf(relay);
  caller.pause();
  caller.send(headText({ id: 'large', path: '/safe/a' }));
  await eventually(() => relay.plain[0]!.requests.length === 1);
  await pause(300);
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
