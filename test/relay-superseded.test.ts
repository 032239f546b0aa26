/** Servers that share an address with one before them. */
import test from 'ava';
import { Random } from '../src/common/random.js';
import { Connections } from '../src/relay/connections.js';
import { Fleet } from '../src/relay/fleet.js';
import { Meter } from '../src/relay/meter.js';
import type { ServerEntry } from '../src/relay/serverentry.js';
import { VirtualClock } from './fakes/clock.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { testDialect } from './fakes/relaydialect.js';

function fleetOf() {
  const clock = new VirtualClock();
  const fleet = Fleet.of({
    scheduler: clock,
    random: Random.of(1),
    log: new RecordedLog(),
    connections: Connections.of(Meter.of()),
    dialect: testDialect,
    healthPath: () => undefined,
    reuseAfterMs: 0,
    admission: () => ({ isLimited: false, delayMs: 0 }),
    peerLoads: () => [],
    onRestart: () => undefined,
    onUrgentChange: () => undefined,
  });
  const sweeping = fleet.start();
  const usable = () => fleet.candidates('s', []).map(({ server }) => server.entry.id);
  return {
    clock, fleet, usable, close: () => sweeping.unsubscribe(),
  };
}

function entryOf(id: string): ServerEntry {
  return {
    id,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'a',
    state: 'ready',
    slots: 1,
    startedAt: 0,
    software: 'v1',
    weights: 1,
  };
}

test('a removed server is not listed again when the one before it leaves', async (t) => {
  const {
    clock, fleet, usable, close,
  } = fleetOf();
  t.teardown(close);
  fleet.upsert(entryOf('before'), 'store');
  fleet.upsert(entryOf('after'), 'store');
  t.deepEqual(usable(), ['after']);
  // The entry of the first one is still there, and it is swept.
  await clock.advance(1_000);
  fleet.remove('after');
  fleet.markLeaving('before', 0, 'another instance');
  t.deepEqual(usable(), []);
});

test('a server whose entry lapsed in an outage stays usable for a time', (t) => {
  const { fleet, usable, close } = fleetOf();
  t.teardown(close);
  fleet.upsert(entryOf('only'), 'store');
  fleet.renewals.extend();
  fleet.remove('only');
  t.deepEqual(usable(), ['only']);
});
