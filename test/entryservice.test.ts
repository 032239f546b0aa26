import { createHash } from 'node:crypto';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { buffer } from 'node:stream/consumers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { ClaimOutcome, Claims } from '../src/claims/claims.js';
import { endToEnd } from '../src/entry/upstream.js';
import {
  call, startEntry,
} from './fakes/entry.js';
import type { EntryFixture } from './fakes/entry.js';
import { eventually } from './fakes/eventually.js';
import { KEY } from './fakes/deployment.js';
import { callRaw } from './fakes/rawcaller.js';

/** A listener that records its calls. */
function recorder(answer: (req: IncomingMessage, res: ServerResponse) => void) {
  const seen: string[] = [];
  const listener: RequestListener = (req, res) => {
    seen.push(`${req.method} ${req.url}`);
    answer(req, res);
  };
  return { seen, listener };
}

const ok = () => recorder((_, res) => res.end('ok'));
/** Resets the connection on each request. */
const resetsConnection = () => recorder((req) => req.socket.destroy());
const neverResponds = () => recorder(() => undefined);

async function withEntry(
  t: ExecutionContext,
  fixture: EntryFixture,
  run: (own: Awaited<ReturnType<typeof startEntry>>) => Promise<void>,
): Promise<void> {
  const own = await startEntry({ engines: 1, ...fixture });
  t.teardown(() => own.stop());
  await run(own);
}

test('a call and its response are forwarded completely', async (t) => {
  const body = Buffer.from(Array.from({ length: 500_000 }, (_, index) => index % 251));
  const seen: IncomingMessage[] = [];
  await withEntry(t, {
    services: [async (req, res) => {
      seen.push(req);
      res.writeHead(201, { 'x-answer': 'yes', connection: 'x-hop', 'x-hop': '1' });
      res.end(createHash('sha256').update(await buffer(req)).digest('hex'));
    }],
  }, async ({ address }) => {
    const reply = await call(address, '/services/stock/fryers/7?hold=1', {
      method: 'PUT', body, headers: { connection: 'x-gone', 'x-gone': '1', 'x-kept': '1' },
    });
    t.is(reply.status, 201);
    t.is(reply.headers['x-answer'], 'yes');
    t.is(reply.headers['x-hop'], undefined);
    t.is(reply.text, createHash('sha256').update(body).digest('hex'));
    const [req] = seen;
    t.is(`${req!.method} ${req!.url}`, 'PUT /fryers/7?hold=1');
    t.like(req!.headers, { 'x-kept': '1', 'x-workspace': 'w' });
    t.is(req!.headers.authorization, undefined);
    t.is(req!.headers['x-gone'], undefined);
  });
});

test('hop-by-hop headers are removed', (t) => {
  t.deepEqual(endToEnd([
    'Connection', 'close, X-Own', 'X-Own', '1', 'TE', 'trailers', 'Accept', '*/*',
  ]), ['Accept', '*/*']);
});

test('a failed read is retried on another server', async (t) => {
  const [first, second] = [resetsConnection(), ok()];
  await withEntry(t, { services: [first.listener, second.listener] }, async ({ address }) => {
    const reply = await call(address, '/services/stock/price');
    t.is(reply.text, 'ok');
    t.is(first.seen.length, 1);
    t.is(second.seen.length, 1);
  });
});

test('never: a call that may have run is not retried', async (t) => {
  const [first, second] = [resetsConnection(), ok()];
  await withEntry(t, { services: [first.listener, second.listener] }, async ({ address }) => {
    const reply = await call(address, '/services/stock/reserve', { method: 'POST', body: '{}' });
    t.is(reply.status, 502);
    t.like(JSON.parse(reply.text), { error: { ran: 'unknown' } });
    t.is(first.seen.length, 1);
    t.is(second.seen.length, 0);
  });
});

[408, 429, 503].forEach((status) => {
  const fails = () => recorder((_, res) => {
    res.writeHead(status, { 'retry-after': '1' }).end('busy');
  });

  test(`never: a service's own ${status} does not tell callers that nothing ran`, async (t) => {
    const service = fails();
    await withEntry(t, { services: [service.listener] }, async ({ address }) => {
      const reply = await call(address, '/services/stock/reserve', { method: 'POST', body: '{}' });
      t.is(reply.status, 502);
      t.like(JSON.parse(reply.text), { error: { ran: 'unknown' } });
      t.is(service.seen.length, 1);
    });
  });

  test(`a read that a service fails with ${status} is retried on another server`, async (t) => {
    await withEntry(t, {
      services: [fails().listener, ok().listener],
    }, async ({ address }) => {
      t.is((await call(address, '/services/stock/price')).text, 'ok');
    });
  });
});

test('never: after a refused connection the call is retried with its body', async (t) => {
  const bodies: string[] = [];
  const down = ok();
  await withEntry(t, {
    services: [down.listener, async (req, res) => {
      bodies.push((await buffer(req)).toString());
      res.end('ok');
    }],
  }, async ({ address, serviceServers }) => {
    serviceServers[0]!.close();
    const reply = await call(address, '/services/stock/reserve', {
      method: 'POST', body: '{"a":1}',
    });
    t.is(reply.text, 'ok');
    t.deepEqual(bodies, ['{"a":1}']);
  });
});

test('never: if every connection is refused, the call has not run', async (t) => {
  await withEntry(t, { services: [ok().listener] }, async ({ address, serviceServers }) => {
    serviceServers[0]!.close();
    const reply = await call(address, '/services/stock/reserve', { method: 'POST', body: '{}' });
    t.like(JSON.parse(reply.text), { error: { ran: 'no' } });
  });
});

test('never: if a service does not respond, it is unknown whether the call ran', async (t) => {
  const service = neverResponds();
  await withEntry(t, {
    services: [service.listener],
    routes: [{
      path: '/reserve', methods: ['POST'], repeat: 'never', priority: 'standard', timeoutMs: 2_000,
    }],
  }, async ({ address }) => {
    const reply = await call(address, '/services/stock/reserve', { method: 'POST', body: '{}' });
    t.like(JSON.parse(reply.text), { error: { ran: 'unknown' } });
    t.is(service.seen.length, 1);
  });
});

test('a route can allow writes to be repeated', async (t) => {
  const [first, second] = [resetsConnection(), ok()];
  await withEntry(t, {
    services: [first.listener, second.listener],
    routes: [{
      path: '/price', methods: ['POST'], repeat: 'safe', priority: 'standard', timeoutMs: 1_000,
    }],
  }, async ({ address }) => {
    const reply = await call(address, '/services/stock/price', { method: 'POST', body: '{}' });
    t.is(reply.text, 'ok');
  });
});

test('a response that is cut off is cut off for the caller too', async (t) => {
  const truncated = recorder((_, res) => {
    res.write('half');
    setTimeout(() => res.destroy(), 20);
  });
  await withEntry(t, { services: [truncated.listener, ok().listener] }, async ({ address }) => {
    const reply = await call(address, '/services/stock/price');
    t.is(reply.text, 'half');
    t.false(reply.whole);
    t.is(truncated.seen.length, 1);
  });
});

test('a response that is cut off is reset for a caller that reads no chunks', async (t) => {
  const truncated = recorder((_, res) => {
    res.write('half');
    setTimeout(() => res.destroy(), 20);
  });
  await withEntry(t, { services: [truncated.listener] }, async ({ address }) => {
    const [ip, port] = address.split(':');
    const reply = await callRaw({ ip: ip!, callersPort: Number(port) }, [
      'GET /services/stock/price HTTP/1.0', 'Host: x', `Authorization: Bearer ${KEY}`,
    ]);
    t.like(reply, { status: 200, reset: true, whole: false });
  });
});

test('when the caller disconnects, the connection to the service is closed', async (t) => {
  const state = { taken: false, left: false };
  await withEntry(t, {
    services: [(_, res) => {
      state.taken = true;
      res.on('close', () => {
        state.left = true;
      });
    }],
  }, async ({ address }) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host);
    socket.write('GET /services/stock/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key\r\n\r\n');
    t.true(await eventually(() => state.taken));
    socket.destroy();
    t.true(await eventually(() => state.left));
  });
});

function claimsOf(outcome: ClaimOutcome) {
  const ledgerCalls: string[] = [];
  const claims: Claims = {
    claim: () => Promise.resolve(outcome),
    complete: (_, status) => ledgerCalls.push(`complete ${status}`),
    release: () => ledgerCalls.push('release'),
  };
  return { ledgerCalls, claims };
}

const GRANTED: ClaimOutcome = {
  kind: 'granted',
  ref: {
    workspace: 'w', key: 'k', nonce: 'n', request: 'r',
  },
};

const KEYED_CALLS: readonly [string, ClaimOutcome, 'ok' | 'breaks' | 'refuses', object][] = [
  ['granted', GRANTED, 'ok', { status: 200, seen: 1, ledgerCalls: ['complete 200'] }],
  ['granted, then a reset', GRANTED, 'breaks',
    {
      status: 502, ran: 'unknown', seen: 1, ledgerCalls: ['complete 502'],
    }],
  ['granted, then not run', GRANTED, 'refuses',
    {
      status: 502, ran: 'no', seen: 0, ledgerCalls: ['release'],
    }],
  ['running', { kind: 'running', owner: 'i', request: 'r' }, 'ok',
    {
      status: 409, ran: 'unknown', seen: 0, ledgerCalls: [],
    }],
  ['used with another body', { kind: 'reused_key' }, 'ok', {
    status: 422, ran: 'no', seen: 0, ledgerCalls: [],
  }],
  ['store unavailable', { kind: 'unavailable', message: 'out' }, 'ok',
    {
      status: 503, ran: 'no', seen: 0, ledgerCalls: [],
    }],
];

KEYED_CALLS.forEach(([title, outcome, how, expected]) => {
  test(`never with a key: ${title}`, async (t) => {
    const { ledgerCalls, claims } = claimsOf(outcome);
    const service = how === 'breaks' ? resetsConnection() : ok();
    await withEntry(t, {
      services: [service.listener], context: { claims },
    }, async ({ address, serviceServers }) => {
      if (how === 'refuses') serviceServers[0]!.close();
      const reply = await call(address, '/services/stock/reserve', {
        method: 'POST', body: '{}', headers: { 'idempotency-key': 'k' },
      });
      const error = reply.status === 200 ? {}
        : (JSON.parse(reply.text) as { error: { ran: string } }).error;
      t.like({
        status: reply.status, ...error, seen: service.seen.length, ledgerCalls,
      }, expected);
    });
  });
});

const FRAMINGS: readonly { readonly framing: string; readonly head: string; body: string }[] = [
  { framing: 'with a length', head: 'content-length: 4', body: 'body' },
  { framing: 'in chunks', head: 'transfer-encoding: chunked', body: '4\r\nbody\r\n0\r\n\r\n' },
];
const TRAILERS = ['nonsense', 'HTTP/1.1 200 OK\r\n\r\n'];
FRAMINGS.forEach(({ framing, head, body }) => TRAILERS.forEach((after) => {
  test(`a response ${framing} is forwarded whole before ${after.slice(0, 8)}`, async (t) => {
    await withEntry(t, {
      services: [(req) => req.socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}${after}`)],
    }, async ({ address }) => {
      const reply = await call(address, '/services/stock/fryers', { method: 'POST', body: 'x' });
      t.is(`${reply.status} ${reply.text}`, '200 body');
      t.true(reply.whole);
    });
  });
}));
