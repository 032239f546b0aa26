/** What an instance takes over from another instance's snapshot. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay, relayConfiguration, ROUTES } from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

/** One stream on this engine takes three seconds. */
const ENGINE: RelayEngineOptions = {
  id: 'e1', zone: 'a', stepMs: 50, events: 60,
};
const STREAM = { 'x-prompt': '80', 'x-output': '20', 'x-deadline': '9000' };
const VERSION_2 = relayConfiguration({
  version: 2,
  routes: Object.values(ROUTES).map((route) => ({ ...route, timeoutMs: 9_000 })),
});

function serversUp(relay: Relay): Promise<string | undefined> {
  return relay.metrics().then((text) => /^shallotshunt_relay_servers_up (\d+)/m.exec(text)?.[1]);
}

function follows(relay: Relay, version: number): boolean {
  return relay.log.of('configuration_in_force').some((fields) => fields.version === version);
}

/** Two instances whose own stores list the same engine. */
async function twoInstances(t: ExecutionContext) {
  const first = await Relay.of(t, { engines: [ENGINE] });
  const second = await Relay.of(t, { peer: first });
  await second.putEntry(first.engines[0]!, 'engines');
  const ready = async (relay: Relay) => relay.daemon.ready && await serversUp(relay) === '1';
  t.true(await eventually(async () => await ready(first) && ready(second)));
  return { first, second, engine: first.engines[0]! };
}

test('a removed server stays removed when another instance\'s snapshot still has it', async (t) => {
  const { first, second, engine } = await twoInstances(t);
  const stream = second.call('/stream/', STREAM, 'prompt');
  t.true(await eventually(() => engine.runs.length === 1));
  await Promise.all([first.removeEntry('e1'), second.removeEntry('e1')]);
  t.true(await eventually(async () => await serversUp(first) === '0'));
  await second.configure(VERSION_2);
  t.true(await eventually(() => follows(first, 2)));
  t.is((await first.call('/stream/', { ...STREAM, 'x-id': 'r2' }, 'prompt')).status, 503);
  t.is(engine.runs.length, 1);
  t.is((await stream).status, 200);
});

test('a server taken from a snapshot is dropped once the store is read without it', async (t) => {
  const { first, second } = await twoInstances(t);
  second.stop();
  const third = await Relay.of(t, { peer: first, configuration: undefined, outage: true });
  t.true(await eventually(async () => await serversUp(third) === '1'));
  third.objects.setFaults({ outage: false });
  await third.configure(relayConfiguration());
  await third.objects.put('other', '', { kind: 'absent' }, 'status');
  t.true(await eventually(async () => await serversUp(third) === '0'));
});
