/** Requests that a caller sends on one connection without waiting for the answers before them. */
import { connect } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { monotonicScheduler } from '../src/common/time.js';
import { readBody } from '../src/entry/body.js';
import { createCallerServer } from '../src/entry/httpserver.js';
import { MemoryBudget } from '../src/memory/budget.js';
import { CallerConnection, headText } from './fakes/callerconnection.js';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngine } from './fakes/relayengine.js';

const ANSWER_MS = 40;
/** One that runs and 16 that wait. */
const MAX_REQUESTS = 17;

const ids = (count: number) => Array.from({ length: count }, (_, index) => `r-${index}`);

const callsText = (count: number) => ids(count)
  .map((id) => headText({ id, path: '/unsafe/a' })).join('');

/** A relay whose plain server tells the most requests that it had at once. */
async function slowRelay(t: ExecutionContext) {
  const open = { now: 0, most: 0 };
  const respond = (...[req, res, engine]: Parameters<
    NonNullable<RelayEngine['options']['respond']>>) => {
    open.now += 1;
    open.most = Math.max(open.most, open.now);
    setTimeout(() => {
      open.now -= 1;
      res.writeHead(200, engine.responseHeaders(req)).end(String(req.headers['x-id']));
    }, ANSWER_MS);
    return true;
  };
  const relay = await Relay.of(t, {
    plain: [{ id: 'p1', zone: 'a', respond }],
    engines: [{
      id: 'e1', zone: 'a', stepMs: 20, events: 500,
    }],
  });
  t.true(await eventually(() => relay.daemon.ready));
  const caller = await CallerConnection.of({
    host: relay.endpoint.ip, port: relay.endpoint.callersPort,
  });
  return { relay, caller, open };
}

const statuses = (text: string) => text.match(/HTTP\/1\.1 \d+/g) ?? [];

test('requests of one connection do not run at once, and all are answered in order', async (t) => {
  const { relay, caller, open } = await slowRelay(t);
  caller.send(callsText(10));
  t.true(await eventually(() => statuses(caller.text).length === 10));
  t.is(open.most, 1);
  t.deepEqual([...new Set(statuses(caller.text))], ['HTTP/1.1 200']);
  t.deepEqual(relay.plain[0]!.requests.map(({ headers }) => headers['x-id']), ids(10));
});

test('more requests than may be sent ahead do not run, and the connection closes', async (t) => {
  const { relay, caller } = await slowRelay(t);
  caller.send(callsText(100));
  t.is(await caller.closed, '');
  t.is(statuses(caller.text).length, MAX_REQUESTS);
  t.deepEqual(relay.plain[0]!.requests.map(({ headers }) => headers['x-id']), ids(MAX_REQUESTS));
});

test('a caller that leaves a stream is noticed behind requests sent ahead', async (t) => {
  const { relay, caller } = await slowRelay(t);
  const body = 'x'.repeat(60_000);
  const behind = headText({
    id: 'behind', path: '/unsafe/a', method: 'POST', fields: [`content-length: ${body.length}`],
  });
  caller.send(headText({ id: 's', path: '/stream/a' }) + behind + body + callsText(30));
  t.true(await eventually(() => relay.engines[0]!.runs.length === 1));
  caller.destroy();
  t.true(await eventually(() => relay.engines[0]!.cancelled.length === 1));
  t.is(relay.plain[0]!.requests.length, 0);
});

test('a call that waits behind another one at the signal is not lost', async (t) => {
  const { relay, caller } = await slowRelay(t);
  caller.send(callsText(3));
  t.true(await eventually(() => relay.plain[0]!.requests.length === 1));
  relay.daemon.startDrain();
  await caller.closed;
  t.is(statuses(caller.text).length, 3, caller.text);
});

test('bodies that wait for their turn are not held on after their caller has left', async (t) => {
  const budget = MemoryBudget.of(4_194_304);
  const server = createCallerServer((req, res) => {
    readBody(req, monotonicScheduler, { budget, isKnown: true, res }).catch(t.fail);
  });
  t.teardown(() => server.close());
  const port = await new Promise<number>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port));
  });
  const caller = connect({ host: '127.0.0.1', port });
  const body = 'x'.repeat(50_000);
  const request = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  caller.write(request.repeat(5));
  t.true(await eventually(() => budget.held >= 5 * body.length));
  caller.destroy();
  t.true(await eventually(() => budget.held === 0), `${budget.held}`);
});
