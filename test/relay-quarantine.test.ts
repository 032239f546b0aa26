/** Requests that crash each engine which begins to answer them, at two instances. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const STREAM = { 'x-prompt': '80', 'x-output': '20', 'x-deadline': '3000' };
/** Requests with such a part that may still reach engines: five crashes, and three after those. */
const MAX_CRASHING = 5 + 3;

const hasPart = (parts: unknown, part: string) => String(parts).split(',').includes(part);

/** An engine that crashes right after the head of its response to a request with a bad part. */
function fragileEngine(id: string): RelayEngineOptions {
  return {
    id,
    zone: 'a',
    respond: (req, res, engine) => {
      if (!hasPart(req.headers['x-parts'], 'bad')) return false;
      res.writeHead(200, engine.responseHeaders(req)).flushHeaders();
      setTimeout(() => engine.crash(), 20);
      return true;
    },
  };
}

interface Instances {
  readonly first: Relay;
  readonly second: Relay;
  readonly engines: readonly RelayEngine[];
}

async function twoInstances(t: ExecutionContext): Promise<Instances> {
  const ids = Array.from({ length: 12 }, (_, index) => `e${index}`);
  const first = await Relay.of(t, { engines: ids.map(fragileEngine) });
  const second = await Relay.of(t, { peer: first });
  await Promise.all(first.engines.map((engine) => second.putEntry(engine, 'engines')));
  t.true(await eventually(() => [first, second].every(({ daemon, log }) => (
    daemon.ready && log.of('server_listed').length >= ids.length))));
  t.true(await eventually(() => second.log.of('peer_reached').length > 0));
  return { first, second, engines: first.engines };
}

/** Sends a stream whose prompt has these parts and one of its own. */
function send(relay: Relay, id: string, parts: string) {
  const headers = { ...STREAM, 'x-id': id, 'x-parts': `${parts},own-${id}` };
  return relay.call('/stream/', headers, 'prompt');
}

function crashingRequests(engines: readonly RelayEngine[]): number {
  return engines.flatMap(({ requests }) => requests)
    .filter(({ headers }) => hasPart(headers['x-parts'], 'bad')).length;
}

test('a part that crashes engines stops reaching engines at every instance', async (t) => {
  const { first, second, engines } = await twoInstances(t);
  await send(first, 'bad-1', 'shared,bad');
  await send(second, 'bad-2', 'shared,bad');
  await send(second, 'bad-3', 'shared,bad');
  t.true(crashingRequests(engines) <= MAX_CRASHING);
  t.is((await send(first, 'sound-1', 'shared')).status, 200);
  t.is((await send(second, 'sound-2', 'shared,other')).status, 200);
});
