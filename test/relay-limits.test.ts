/** Servers that name a rate limit, at several instances. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { SchedulerLike } from 'rxjs';
import { eventually } from './fakes/eventually.js';
import { HeldClock } from './fakes/heldclock.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

const WINDOW_MS = 4_000;
/** From the first answer that names a limit to the time from which it has to be kept. */
const NOTICE_MS = 3_000;
const pause = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

/** A server that names what `limit` returns, and records when it gets requests. */
class LimitedServer {
  readonly arrivals: number[] = [];

  limit: string | undefined;

  readonly options: RelayEngineOptions;

  constructor(id: string, limit?: string) {
    this.limit = limit;
    this.options = {
      id,
      zone: 'a',
      respond: (req, res, engine) => {
        this.arrivals.push(performance.now());
        const named = this.limit === undefined ? {} : { 'x-limit': this.limit };
        res.writeHead(200, { ...engine.responseHeaders(req), ...named }).end(id);
        return true;
      },
    };
  }

  /** The most arrivals in any window after the notice. */
  mostInWindow(windowMs = WINDOW_MS): number {
    const from = this.arrivals[0]! + NOTICE_MS;
    const counted = this.arrivals.filter((at) => at >= from);
    return Math.max(0, ...counted.map((first) => (
      counted.filter((at) => at >= first && at < first + windowMs).length)));
  }
}

async function ready(t: ExecutionContext, relay: Relay, count: number): Promise<Relay> {
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= count)));
  return relay;
}

async function twoInstances(
  t: ExecutionContext,
  servers: readonly LimitedServer[],
  clock?: SchedulerLike,
): Promise<readonly [Relay, Relay]> {
  const plain = servers.map(({ options }) => options);
  const timed = clock ? { clock } : {};
  const first = await ready(t, await Relay.of(t, { plain, ...timed }), servers.length);
  const second = await Relay.of(t, { peer: first, ...timed });
  await Promise.all(first.plain.map((engine) => second.putEntry(engine, 'plain')));
  await ready(t, second, servers.length);
  t.true(await eventually(() => second.log.of('peer_reached').length > 0));
  return [first, second];
}

/** Calls in turn at the relays, one every `everyMs`; resolves to the statuses. */
async function load(
  relays: readonly Relay[],
  { path = '/safe/x', everyMs = 20, forMs = NOTICE_MS + WINDOW_MS + 1_000 } = {},
): Promise<readonly number[]> {
  const calls: Promise<number>[] = [];
  const end = performance.now() + forMs;
  for (let index = 0; performance.now() < end; index += 1) {
    const relay = relays[index % relays.length]!;
    calls.push(relay.call(path, { 'x-id': `r${index}` }, 'body').then(({ status }) => status));
    // eslint-disable-next-line no-await-in-loop -- one call after another
    await pause(everyMs);
  }
  return Promise.all(calls);
}

test('a server gets no more requests from all instances than the limit it names', async (t) => {
  const limited = new LimitedServer('limited', '2');
  const relays = await twoInstances(t, [limited, new LimitedServer('other')]);
  const statuses = await load(relays);
  t.true(limited.mostInWindow() <= 4 * 2 * 1.5 + 5, `${limited.mostInWindow()}`);
  t.true(limited.mostInWindow() >= 4 * 2 * 0.5, `${limited.mostInWindow()}`);
  t.deepEqual([...new Set(statuses)], [200]);
});

interface FurtherAttempt {
  readonly name: string;
  readonly path: string;
  /** How the servers without a limit fail, so that all calls go on to the limited one. */
  readonly respond: NonNullable<RelayEngineOptions['respond']>;
}
const FURTHER_ATTEMPTS: readonly FurtherAttempt[] = [
  {
    name: 'retries',
    path: '/safe/x',
    respond: (req, res, engine) => {
      res.writeHead(500, engine.responseHeaders(req)).end('failed');
      return true;
    },
  },
  {
    name: 'hedges',
    path: '/safe/x',
    respond: (req, res, engine) => {
      setTimeout(() => res.writeHead(200, engine.responseHeaders(req)).end('late'), 600);
      return true;
    },
  },
];
FURTHER_ATTEMPTS.forEach(({ name, path, respond }) => {
  test(`${name} keep the limit of a server`, async (t) => {
    const limited = new LimitedServer('limited', '2');
    const plain = [limited.options, { id: 'other', zone: 'a', respond }];
    const relay = await ready(t, await Relay.of(t, { plain }), plain.length);
    await load([relay], { path });
    t.true(limited.mostInWindow() <= 4 * 2 * 1.5 + 5, `${limited.mostInWindow()}`);
    t.true(limited.mostInWindow() >= 4 * 2 * 0.5, `${limited.mostInWindow()}`);
  });
});

test('streams that move from a lost engine keep the limit of another', async (t) => {
  const arrivals: number[] = [];
  const engines: readonly RelayEngineOptions[] = [
    {
      id: 'limited',
      zone: 'a',
      respond: (req, res, engine) => {
        arrivals.push(performance.now());
        const last = Number(req.headers['x-last'] ?? 0);
        res.writeHead(200, { ...engine.responseHeaders(req), 'x-limit': '2' });
        res.end(`id: ${last + 1}\ndata: text ${last + 1}\n\n`);
        return true;
      },
    },
    {
      id: 'lossy',
      zone: 'a',
      respond: (req, res, engine) => {
        const last = Number(req.headers['x-last'] ?? 0);
        res.writeHead(200, engine.responseHeaders(req));
        res.write(`id: ${last + 1}\ndata: text ${last + 1}\n\n`);
        setTimeout(() => res.destroy(), 5);
        return true;
      },
    },
  ];
  const relay = await ready(t, await Relay.of(t, { engines }), engines.length);
  const end = performance.now() + NOTICE_MS + WINDOW_MS;
  for (let index = 0; performance.now() < end; index += 1) {
    const headers = {
      'x-id': `r${index}`, 'x-prompt': '8', 'x-output': '2', 'x-deadline': '60000',
    };
    // eslint-disable-next-line no-await-in-loop -- one stream after another
    await relay.call('/stream/', headers, 'prompt');
  }
  const counted = arrivals.filter((at) => at >= arrivals[0]! + NOTICE_MS);
  t.true(counted.length <= 4 * 2 * 1.5 + 5, `${counted.length}`);
  t.true(counted.length >= 2, `${counted.length}`);
});

test('when all servers are at their limits, callers are refused at once', async (t) => {
  const servers = ['a', 'b'].map((id) => new LimitedServer(id, '4'));
  const clock = new HeldClock();
  const relays = await twoInstances(t, servers, clock);
  await load(relays, { forMs: 300 });
  await pause(3_000);
  clock.hold();
  const replies = await Promise.all(Array.from({ length: 12 }, (_, index) => (
    relays[0].call('/safe/x', { 'x-id': `late-${index}` }, 'body'))));
  t.true(replies.some(({ status }) => status === 200), JSON.stringify(replies));
  const refused = replies.filter(({ status }) => status === 503);
  t.true(refused.length >= 6, `${refused.length}`);
  const waits = refused.map(({ headers }) => Number(headers['retry-after']));
  t.true(waits.every((wait) => wait > 0 && wait <= 10));
  // Each refused caller is told a time of its own, as the servers admit one after the other.
  t.is(new Set(waits).size, refused.length, waits.join(' '));
  clock.release();
  t.true(await eventually(async () => (
    /throttled_total [1-9]/.test(await relays[0].metrics()))));
});

test('a limit that one instance has read holds at another before it has asked', async (t) => {
  const limited = new LimitedServer('limited', '0.2');
  const [first, second] = await twoInstances(t, [limited]);
  await load([first], { forMs: 100 });
  t.true(await eventually(() => second.log.of('server_limit').length > 0));
  const reply = await second.call('/unsafe/x', { 'x-id': 'second' }, 'body');
  t.is(reply.status, 503);
  t.like(JSON.parse(reply.text), { error: { code: 'unavailable', ran: 'no' } });
});

test('a stream goes to an engine that is below its limit', async (t) => {
  const limit = (id: string, perSecond: string): RelayEngineOptions => ({
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      res.writeHead(200, { ...engine.responseHeaders(req), 'x-limit': perSecond });
      res.end('id: 1\ndata: text 1\n\n');
      return true;
    },
  });
  const engines = [limit('e1', '0'), limit('e2', '100')];
  const relay = await ready(t, await Relay.of(t, { engines }), engines.length);
  const send = (id: string) => relay.call('/stream/', {
    'x-id': id, 'x-prompt': '80', 'x-output': '20', 'x-deadline': '60000',
  }, 'prompt');
  await Promise.all(Array.from({ length: 6 }, (_, index) => send(`warm-${index}`)));
  await pause(500);
  const before = relay.engines[0]!.requests.length;
  t.true(before > 0);
  t.is((await send('r1')).status, 200);
  t.is(relay.engines[0]!.requests.length, before);
});
