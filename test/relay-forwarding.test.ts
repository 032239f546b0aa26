import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { NEVER } from 'rxjs';
import type { Refusal } from '../src/common/refusal.js';
import { monotonicScheduler } from '../src/common/time.js';
import type { Call } from '../src/relay/call.js';
import { Connections } from '../src/relay/connections.js';
import type { Caller, RelayContext } from '../src/relay/context.js';
import { ForwardedCall } from '../src/relay/forwardedcall.js';
import { outcomeHeaders } from '../src/relay/forwardedrequest.js';
import { Meter } from '../src/relay/meter.js';
import { freePort } from './fakes/freeport.js';
import { HOST, ROUTES } from './fakes/relay.js';
import { testDialect } from './fakes/relaydialect.js';
import { RecordedLog } from './fakes/recordedlog.js';

/** Another instance, as far as it answers forwarded requests. */
async function instance(t: ExecutionContext, ip: string, port: number, serve: RequestListener) {
  const server = createServer(serve);
  await new Promise<void>((resolve) => {
    server.listen(port, ip, resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
}

/** Forwards a call; resolves to how it is refused. */
function refusalOf(
  port: number,
  targets: readonly string[],
  route: keyof typeof ROUTES = 'safe',
): Promise<Refusal> {
  const call: Partial<Call> = {
    id: 'r1',
    method: 'GET',
    target: '/safe/1',
    headers: ['Host', HOST],
    body: Buffer.alloc(0),
    route: ROUTES[route],
    fields: testDialect.readRequest([]),
    service: { name: 'plain', engine: undefined, healthPath: undefined },
    deadlineAt: monotonicScheduler.now() + 60_000,
  };
  const meter = Meter.of();
  const context = {
    scheduler: monotonicScheduler,
    connections: Connections.of(meter),
    log: new RecordedLog(),
    meter,
    dialect: testDialect,
    stopping: { limit: NEVER },
  } as unknown as RelayContext;
  return new Promise((resolve, reject) => {
    const caller: Partial<Caller> = {
      sending: () => undefined,
      refuse: resolve,
      respond: ({ status }) => reject(new Error(`answered with ${status}`)),
      fail: reject,
    };
    ForwardedCall.start(call as Call, caller as Caller, context, {
      ip: '127.0.0.9', port, targets, progress: { attempts: 0 },
    });
  });
}

const breakOff: RequestListener = (req) => {
  req.socket.destroy();
};
const refuse: RequestListener = (_, res) => {
  res.writeHead(503, outcomeHeaders('no', 300)).end();
};

// The first instance ended amid the request, so a server of its may have run it.
const SECOND: readonly (readonly [string, RequestListener | undefined])[] = [
  ['accepts no connections', undefined], ['refuses it unrun', refuse],
];
SECOND.forEach(([name, serve]) => {
  test(`a request that an instance broke off counts as run: another ${name}`, async (t) => {
    const port = await freePort();
    await instance(t, '127.0.0.2', port, breakOff);
    if (serve) await instance(t, '127.0.0.3', port, serve);
    t.like(await refusalOf(port, ['127.0.0.2', '127.0.0.3']), { ran: 'unknown' });
  });
});

test('a request that all instances refuse unrun counts as not run', async (t) => {
  const port = await freePort();
  await instance(t, '127.0.0.2', port, refuse);
  t.like(await refusalOf(port, ['127.0.0.2', '127.0.0.3']), { ran: 'no' });
});

(['stream', 'safe', 'unsafe'] as const).forEach((route) => {
  test(`a server's own 503 that an older instance passes on is no refusal: ${route}`, async (t) => {
    const port = await freePort();
    await instance(t, '127.0.0.2', port, (_, res) => {
      res.writeHead(503, [...outcomeHeaders('answered'), 'x-id', 'r1', 'x-signature', 's']);
      res.end('busy');
    });
    const refusal = await refusalOf(port, ['127.0.0.2'], route);
    t.like(refusal, { code: 'backend_failed', ran: 'unknown' });
  });
});
