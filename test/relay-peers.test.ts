/** Two instances exchange messages over loopback. */
import test from 'ava';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { Peers } from '../src/relay/peers.js';
import type { PeersContext } from '../src/relay/peerscontext.js';
import { serverState } from '../src/relay/serverstate.js';
import { eventually } from './fakes/eventually.js';
import { freePort } from './fakes/freeport.js';
import { RecordedLog } from './fakes/recordedlog.js';

const FIRST = '127.0.0.1';
const SECOND = '127.0.0.2';

function contextOf(
  ip: string,
  port: number,
  log: RecordedLog,
  onInstanceCount: (count: number) => void,
  change: Partial<PeersContext> = {},
): PeersContext {
  return {
    ip,
    port,
    seeds: [FIRST],
    scheduler: monotonicScheduler,
    random: Random.of(1),
    log,
    listener: {
      onLeaving: () => undefined,
      onSuccession: () => undefined,
      onRestart: () => undefined,
      onSuspect: () => undefined,
      onCopies: () => undefined,
      onCrashes: () => undefined,
      onLimits: () => undefined,
      onPaces: () => undefined,
      onOrigins: () => undefined,
      onRollouts: () => undefined,
      originsOf: () => [],
      onInstanceCount,
      onReportedCount: () => undefined,
      onUnread: () => undefined,
    },
    localState: () => ({
      configuration: 3,
      copies: {},
      servers: [],
      successors: [],
      crashes: [],
      limits: [],
      origins: [],
      sought: [],
      uses: [],
      ranks: [],
      paces: [],
      unreached: [],
      overload: 0,
      rollouts: [],
      isSilent: () => false,
    }),
    ...change,
  };
}

test('a silent instance is logged as lost and no longer counted', async (t) => {
  const port = await freePort();
  const log = new RecordedLog();
  let instanceCount = 0;
  const first = Peers.of(contextOf(FIRST, port, log, (count) => {
    instanceCount = count;
  }));
  const second = Peers.of(contextOf(SECOND, port, new RecordedLog(), () => undefined));
  const running = first.run.subscribe();
  t.teardown(() => running.unsubscribe());
  const other = second.run.subscribe();
  t.true(await eventually(() => instanceCount === 2));
  t.deepEqual(log.of('peer_reached'), [{ peer: SECOND, configuration: 3 }]);
  other.unsubscribe();
  t.true(await eventually(() => instanceCount === 1));
  t.like(log.of('peer_lost'), [{ peer: SECOND }]);
  const again = second.run.subscribe();
  t.teardown(() => again.unsubscribe());
  t.true(await eventually(() => instanceCount === 2));
  t.is(log.of('peer_reached').length, 2);
});

test('an instance is not left out of the count before it is logged as lost', async (t) => {
  const port = await freePort();
  const log = new RecordedLog();
  const unexplained: number[] = [];
  const onInstanceCount = (count: number) => {
    const logged = 1 + log.of('peer_reached').length - log.of('peer_lost').length;
    if (count !== logged) unexplained.push(count);
  };
  // Three readings pass the time after which a peer counts as lost.
  let now = 0;
  const scheduler = {
    now: () => {
      now += 600;
      return now;
    },
    schedule: monotonicScheduler.schedule,
  };
  const first = Peers.of(contextOf(FIRST, port, log, onInstanceCount, { scheduler }));
  const second = Peers.of(contextOf(SECOND, port, new RecordedLog(), () => undefined));
  const running = first.run.subscribe();
  t.teardown(() => running.unsubscribe());
  const other = second.run.subscribe();
  t.true(await eventually(() => log.of('peer_reached').length > 0));
  other.unsubscribe();
  t.true(await eventually(() => (
    log.of('peer_lost').length === log.of('peer_reached').length)));
  t.deepEqual(unexplained, []);
});

test('a server named as a property of objects has no load that nobody told', async (t) => {
  const port = await freePort();
  const first = Peers.of(contextOf(FIRST, port, new RecordedLog(), () => undefined));
  const second = Peers.of(contextOf(SECOND, port, new RecordedLog(), () => undefined));
  const running = [first, second].map((peers) => peers.run.subscribe());
  t.teardown(() => running.forEach((subscription) => subscription.unsubscribe()));
  t.true(await eventually(() => first.alive.length > 0));
  ['constructor', '__proto__', 'toString'].forEach((id) => t.deepEqual(first.loads(id), []));
});

test('more leaving servers than fit in a message are all told', async (t) => {
  const port = await freePort();
  const servers = Array.from({ length: 60 }, (_, index) => serverState({
    id: `server-${index}`,
    service: 's',
    address: '1.2.3.4:5',
    zone: 'a',
    state: 'leaving',
    slots: 4,
    startedAt: 1,
    software: 'v1',
    weights: 1,
  }));
  const told = new Set<string>();
  const first = contextOf(FIRST, port, new RecordedLog(), () => undefined);
  const second = contextOf(SECOND, port, new RecordedLog(), () => undefined, {
    localState: () => ({
      configuration: 3,
      copies: {},
      servers,
      successors: [],
      crashes: [],
      limits: [],
      origins: [],
      sought: [],
      uses: [],
      ranks: [],
      paces: [],
      unreached: [],
      overload: 0,
      rollouts: [],
      isSilent: () => false,
    }),
  });
  const running = Peers.of({
    ...first, listener: { ...first.listener, onLeaving: (id) => told.add(id) },
  }).run.subscribe();
  t.teardown(() => running.unsubscribe());
  const other = Peers.of(second).run.subscribe();
  t.teardown(() => other.unsubscribe());
  t.true(await eventually(() => told.size === servers.length));
});
