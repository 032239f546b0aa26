/** Requests that crash each server which begins to run them, sent again and again. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const DEADLY = 'deadly';
/** Crashes of the request, and retries that may still reach a server. */
const MAX_ARRIVALS = 3 + 3;
/** Two instances may send all attempts of their first call before the third crash is confirmed. */
const MAX_ARRIVALS_AT_ONCE = 2 * 5;
const RESTART_MS = 300;
const IDS = Array.from({ length: 6 }, (_, index) => `s${index}`);

/** A server that crashes as it runs the deadly body, and is back under its id after a while. */
function fragileServer(id: string): RelayEngineOptions {
  return {
    id,
    zone: 'a',
    respond: (_, __, engine) => {
      if (engine.bodies.at(-1) !== DEADLY) return false;
      setTimeout(() => {
        engine.crash();
        engine.restartAfter(RESTART_MS);
      }, 10);
      return true;
    },
  };
}

function deadlyArrivals(servers: readonly RelayEngine[]): number {
  return servers.flatMap(({ bodies }) => bodies).filter((body) => body === DEADLY).length;
}

async function ready(t: ExecutionContext, relay: Relay): Promise<Relay> {
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= IDS.length)));
  return relay;
}

async function twoInstances(t: ExecutionContext): Promise<readonly [Relay, Relay]> {
  const first = await ready(t, await Relay.of(t, { plain: IDS.map(fragileServer) }));
  const second = await Relay.of(t, { peer: first });
  await Promise.all(first.plain.map((engine) => second.putEntry(engine, 'plain')));
  await ready(t, second);
  t.true(await eventually(() => second.log.of('peer_reached').length > 0));
  return [first, second];
}

const pause = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

interface Round {
  readonly name: string;
  readonly path: string;
  readonly rounds: number;
  readonly outage: boolean;
  /** Whether all instances get the request at the same moment. */
  readonly atOnce: boolean;
}
const ROUNDS: readonly Round[] = [
  {
    name: 'safe', path: '/safe/x', rounds: 6, outage: false, atOnce: false,
  },
  {
    name: 'unsafe', path: '/unsafe/x', rounds: 12, outage: false, atOnce: false,
  },
  {
    name: 'safe, at all instances at once', path: '/safe/x', rounds: 6, outage: false, atOnce: true,
  },
  {
    name: 'unsafe, with the store down', path: '/unsafe/x', rounds: 12, outage: true, atOnce: false,
  },
];
ROUNDS.forEach(({
  name, path, rounds, outage, atOnce,
}) => {
  test(`a plain call that crashes servers stops reaching them: ${name}`, async (t) => {
    const relays = await twoInstances(t);
    relays.forEach(({ objects }) => objects.setFaults({ outage }));
    let arrivalsWhenKnown: number | undefined;
    for (let round = 0; round < rounds; round += 1) {
      const targets = atOnce ? relays : [relays[round % relays.length]!];
      // eslint-disable-next-line no-await-in-loop -- the request comes again after each answer
      await Promise.all(targets.map((relay, index) => (
        relay.call(path, { 'x-id': `r${round}-${index}` }, DEADLY))));
      // eslint-disable-next-line no-await-in-loop
      await pause(RESTART_MS);
      const isKnown = relays.every(({ log }) => log.of('request_quarantined').length > 0);
      if (isKnown) arrivalsWhenKnown ??= deadlyArrivals(relays[0].plain);
    }
    const { plain } = relays[0];
    const arrivals = deadlyArrivals(plain);
    t.true(arrivals <= (atOnce ? MAX_ARRIVALS_AT_ONCE : MAX_ARRIVALS), `${arrivals}`);
    t.is(arrivalsWhenKnown, arrivals);
    const refused = await relays[1].call(path, { 'x-id': 'again' }, DEADLY);
    t.is(refused.status, 503);
    t.like(JSON.parse(refused.text), { error: { code: 'query_of_death', ran: 'no' } });
    const sound = await Promise.all(relays.map((relay, index) => (
      relay.call(path, { 'x-id': `sound-${index}` }, 'sound'))));
    t.deepEqual(sound.map(({ status }) => status), [200, 200]);
  });
});
