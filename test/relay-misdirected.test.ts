/** Servers whose addresses others have taken over, as after a restart that nobody has noticed. */
import test from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngine, RelayEngineOptions } from './fakes/relayengine.js';

const STREAM = { 'x-prompt': '80', 'x-output': '20', 'x-deadline': '60000' };

/** An engine at whose address another one refuses every request. */
function replacedEngine(id: string): RelayEngineOptions {
  return {
    id,
    zone: 'a',
    respond: (_, res) => {
      res.writeHead(421).end();
      return true;
    },
  };
}

const REPLACED: readonly RelayEngineOptions[] = ['e1', 'e2', 'e3', 'e4', 'e5'].map(replacedEngine);

function arrivals(engines: readonly RelayEngine[]): number {
  return engines.flatMap(({ requests }) => requests).length;
}

async function metricOf(relay: Relay, name: string): Promise<number> {
  const line = new RegExp(`^shallotshunt_relay_${name} (\\d+)`, 'm').exec(await relay.metrics());
  return Number(line?.[1] ?? Number.NaN);
}

test('requests that another server has refused use the retry budget', async (t) => {
  const relay = await Relay.of(t, { engines: REPLACED });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length === REPLACED.length)));
  await relay.call('/stream/', STREAM, 'prompt');
  t.is(arrivals(relay.engines), REPLACED.length);
  t.true(await eventually(async () => (
    await metricOf(relay, 'retries_total') === REPLACED.length - 1)));
});

test('an instance that finds a server replaced tells the others', async (t) => {
  const first = await Relay.of(t, { engines: REPLACED });
  const second = await Relay.of(t, { peer: first });
  await Promise.all(first.engines.map((engine) => second.putEntry(engine, 'engines')));
  t.true(await eventually(() => [first, second].every(({ daemon, log }) => (
    daemon.ready && log.of('server_listed').length >= REPLACED.length
      && log.of('peer_reached').length > 0))));
  await first.call('/stream/', STREAM, 'prompt');
  const leaving = () => second.log.of('server_listed').filter(({ state }) => state === 'leaving');
  t.true(await eventually(() => leaving().length === REPLACED.length));
  const before = arrivals(first.engines);
  t.is((await second.call('/stream/', STREAM, 'prompt')).status, 503);
  t.is(arrivals(first.engines), before);
});
