/** What servers say of themselves in their answers: that they leave, pause, or are brittle. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

const pause = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

async function ready(t: ExecutionContext, relay: Relay, count: number): Promise<Relay> {
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= count)));
  return relay;
}

interface Load { readonly path: string; readonly forMs: number; readonly everyMs: number }

/** Sends requests at intervals; returns the statuses of their answers. */
async function load(
  relays: readonly Relay[],
  { path, forMs, everyMs }: Load,
): Promise<readonly number[]> {
  const replies = Array.from({ length: Math.floor(forMs / everyMs) }, async (_, index) => {
    await pause(index * everyMs);
    const relay = relays[index % relays.length]!;
    const headers = { 'x-id': `${path}${index}`, 'x-deadline': '2000' };
    return (await relay.call(path, headers, `body ${index}`)).status;
  });
  return Promise.all(replies);
}

(['unsafe', 'stream'] as const).forEach((kind) => {
  test(`a server that asks for a pause with Retry-After gets it: ${kind}`, async (t) => {
    const arrivals: number[] = [];
    const pausing: RelayEngineOptions = {
      id: 's0',
      zone: 'a',
      respond: (req, res, engine) => {
        arrivals.push(performance.now());
        res.writeHead(503, {
          ...engine.responseHeaders(req), 'x-not-run': '1', 'retry-after': '4',
        }).end();
        return true;
      },
    };
    const others = ['s1', 's2', 's3'].map((id) => ({ id, zone: 'a', events: 3 }));
    const servers = [pausing, ...others];
    const relay = await ready(t, await Relay.of(t, kind === 'stream'
      ? { engines: servers } : { plain: servers }), servers.length);
    const statuses = await load([relay], { path: `/${kind}/`, forMs: 4_000, everyMs: 20 });
    t.true(arrivals.length > 0);
    const from = arrivals[0]! + 500;
    t.true(arrivals.filter((at) => at >= from && at < arrivals[0]! + 4_000).length <= 2);
    t.is(statuses.filter((status) => status === 200).length, statuses.length);
  });

  test(`a server that says in its answers that it leaves gets nothing new: ${kind}`, async (t) => {
    const arrivals: number[] = [];
    const leaving: RelayEngineOptions = {
      id: 's0',
      zone: 'a',
      respond: (req, res, engine) => {
        arrivals.push(performance.now());
        res.writeHead(200, {
          ...engine.responseHeaders(req), 'x-leaving': '1',
        }).end(kind === 'stream' ? 'id: 1\ndata: x\n\n' : 'x');
        return true;
      },
    };
    const servers = [leaving, { id: 's1', zone: 'a', events: 3 }];
    const relay = await ready(t, await Relay.of(t, kind === 'stream'
      ? { engines: servers } : { plain: servers }), servers.length);
    await load([relay], { path: `/${kind}/`, forMs: 4_000, everyMs: 20 });
    t.true(arrivals.length > 0);
    t.deepEqual(arrivals.filter((at) => at > arrivals[0]! + 2_000), []);
  });
});

const BRITTLE_LIMIT = 5;
const BRITTLE_SLOTS = 2;
const WORK_MS = 100;
const RESTART_MS = 1_000;

/** Ends when it turns away more requests in a second than it says. */
class BrittleServer {
  readonly options: RelayEngineOptions;

  ends = 0;

  #running = 0;

  #turnedAway: number[] = [];

  constructor(id: string) {
    this.options = {
      id,
      zone: 'a',
      respond: (req, res, engine) => {
        const brittle = { 'x-brittle': String(BRITTLE_LIMIT) };
        if (this.#running < BRITTLE_SLOTS) {
          this.#running += 1;
          setTimeout(() => {
            this.#running -= 1;
            res.writeHead(200, { ...engine.responseHeaders(req), ...brittle }).end(id);
          }, WORK_MS);
          return true;
        }
        const now = performance.now();
        this.#turnedAway = [...this.#turnedAway.filter((at) => at > now - 1_000), now];
        res.writeHead(503, { ...engine.responseHeaders(req), 'x-not-run': '1', ...brittle }).end();
        if (this.#turnedAway.length > BRITTLE_LIMIT) {
          this.ends += 1;
          this.#turnedAway = [];
          engine.crash();
          engine.restartAfter(RESTART_MS);
        }
        return true;
      },
    };
  }
}

test('brittle servers don\'t end under twice the load that they bear', async (t) => {
  const servers = ['s0', 's1', 's2', 's3', 's4'].map((id) => new BrittleServer(id));
  const plain = servers.map(({ options }) => options);
  const first = await Relay.of(t, { plain });
  const second = await Relay.of(t, { peer: first });
  await Promise.all([first, second].flatMap((relay) => first.plain.map((server) => (
    relay.putEntry(server, 'plain', { slots: BRITTLE_SLOTS })))));
  const relays = [await ready(t, first, servers.length), await ready(t, second, servers.length)];
  // Both learn of it, as in the time before it is held against them.
  await load(relays, { path: '/safe/', forMs: 3_000, everyMs: 50 });
  servers.forEach((server) => Object.assign(server, { ends: 0 }));
  const capacityPerSecond = (servers.length * BRITTLE_SLOTS * 1_000) / WORK_MS;
  const statuses = await load(relays, {
    path: '/unsafe/', forMs: 6_000, everyMs: 1_000 / (2 * capacityPerSecond),
  });
  t.true(servers.reduce((sum, { ends }) => sum + ends, 0) <= 2);
  t.true(statuses.filter((status) => status === 200).length >= statuses.length / 8);
});
