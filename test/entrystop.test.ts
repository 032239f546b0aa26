/** The product's own interface while its instance stops: the lag is 0.1 s, the limit 5 s. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { KEY } from './fakes/deployment.js';
import { call, post, startEntry } from './fakes/entry.js';
import type { EntryFixture } from './fakes/entry.js';
import { eventually } from './fakes/eventually.js';
import { CallerConnection } from './fakes/callerconnection.js';

const LARGE_BYTES = 6_000_000;

function requestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: instance\r\nauthorization: Bearer ${KEY}\r\n\r\n`;
}

async function entryOf(t: ExecutionContext, fixture: EntryFixture) {
  const entry = await startEntry(fixture);
  t.teardown(entry.stop);
  const [host = '', port] = entry.address.split(':');
  return { ...entry, connect: () => CallerConnection.of({ host, port: Number(port) }) };
}

test('a request that is read after the lag of a stop is refused as not run', async (t) => {
  const reached: string[] = [];
  const { connect, drain, address } = await entryOf(t, {
    services: [(req) => {
      reached.push(req.url ?? '');
    }],
  });
  const caller = await connect();
  const other = call(address, '/services/stock/open');
  t.true(await eventually(() => reached.length === 1));
  drain.begin();
  t.true(await eventually(() => drain.state === 'finishing'));
  caller.send(requestText('/services/stock/late'));
  await caller.closed;
  t.is(caller.status, 503, caller.text);
  t.regex(caller.text, /\r\nretry-after: /i);
  t.is((await other).status, 502);
  t.deepEqual(reached, ['/open']);
});

test('what is open at the limit of a stop ends with a status, or not as complete', async (t) => {
  let reached = 0;
  const { address, drain, engines } = await entryOf(t, {
    engines: 1,
    engine: { stepMs: 300 },
    services: [() => {
      reached += 1;
    }],
  });
  const replies = Promise.all([
    call(address, '/services/stock/open'),
    post(address, '/v1/completions', {
      model: 'm', prompt: 'List', max_tokens: 100, stream: true,
    }),
    post(address, '/v1/completions', { model: 'm', prompt: 'List', max_tokens: 100 }),
  ]);
  t.true(await eventually(() => (
    drain.open === 3 && reached === 1 && engines[0]!.started.length === 2)));
  drain.begin();
  const [service, stream, whole] = await replies;
  t.is(drain.state, 'expired');
  t.deepEqual([service.status, service.whole], [502, true], service.text);
  t.deepEqual([whole.status, whole.whole], [502, true], whole.text);
  t.is(stream.status, 200, stream.text);
  t.false(stream.whole && stream.text.includes('[DONE]'));
  t.is(engines.length, 1);
});

test('a large answer that ended before the listener closes arrives whole', async (t) => {
  let given = 0;
  const { connect, drain } = await entryOf(t, {
    services: [(_, res) => {
      res.end(Buffer.alloc(LARGE_BYTES), () => {
        given += 1;
      });
    }],
  });
  const caller = await connect();
  caller.pause();
  caller.send(requestText('/services/stock/large'));
  await eventually(() => given === 1 || drain.open === 1);
  drain.begin();
  t.true(await eventually(() => drain.state === 'finishing'));
  caller.resume();
  t.true(await eventually(() => caller.bytes > LARGE_BYTES));
  t.true(await eventually(() => drain.state === 'done'));
});
