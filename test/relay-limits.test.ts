/** Servers that name a rate limit, at several instances. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
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
): Promise<readonly [Relay, Relay]> {
  const plain = servers.map(({ options }) => options);
  const first = await ready(t, await Relay.of(t, { plain }), servers.length);
  const second = await Relay.of(t, { peer: first });
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
