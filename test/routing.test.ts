import test from 'ava';
import { Random } from '../src/common/random.js';
import type { Configuration } from '../src/configuration/configuration.js';
import { prefixBlocks } from '../src/engines/prefix.js';
import type { AssignmentRequest } from '../src/routing/dispatcher.js';
import {
  interactiveChanged, interactiveLoad, perServer, capacityFor,
} from '../src/routing/reserve.js';
import type { InteractiveLoad } from '../src/routing/reserve.js';
import {
  IDLE_SERVER, loadDispatched, loadReleased, loadReported, slotsLeft,
} from '../src/routing/serverload.js';
import {
  requestOf, REPORT, RoutingHarness, serverOf,
} from './fakes/routing.js';
import type { FakeEngine } from './fakes/routing.js';

const A: FakeEngine = { name: 'a' };
const B: FakeEngine = { name: 'b' };
const MODEL = requestOf().target as Extract<AssignmentRequest['target'], { kind: 'model' }>;

function servers(outcomes: readonly { readonly outcome: string | undefined }[]): string {
  return outcomes.map(({ outcome }) => outcome ?? '-').join(' ');
}

const ELIGIBILITY: readonly [
  string, readonly FakeEngine[], Partial<AssignmentRequest>, string,
][] = [
  ['drained', [{ ...A, drained: true }, B], {}, 'b'],
  ['down', [{ ...A, health: 'down' }, B], {}, 'b'],
  ['suspect when another is up', [{ ...A, health: 'suspect' }, { ...B, zone: 'b' }], {}, 'b'],
  ['suspect when no other is left', [{ ...A, health: 'suspect' }], {}, 'a'],
  ['leaving by its own report', [{ ...A, report: { role: 'leaving' } }, B], {}, 'b'],
  ['idle', [{ ...A, report: { role: 'idle' } }, B], {}, 'b'],
  ['of another pool', [{ ...A, pool: 'other' }, B], {}, 'b'],
  ['without the model', [{ ...A, report: { models: [] } }, B], {}, 'b'],
  ['with another version',
    [{ ...A, report: { models: [{ model: 'm', version: '2', adapters: [] }] } }, B], {}, 'b'],
  ['with the version a resume needs',
    [{ ...A, report: { models: [{ model: 'm', version: '2', adapters: [] }] } }, B],
    { target: { ...MODEL, version: '2' }, resume: true }, 'a'],
  ['without the adapter',
    [{ ...A, report: { models: [{ model: 'm', version: '1', adapters: [] }] } }, B],
    { target: { ...MODEL, adapter: 'lora' } }, 'b'],
  ['tried before', [A, B], { exclude: ['a'] }, 'b'],
  ['none at all', [{ ...A, health: 'down' }], {}, 'unavailable'],
  ['no such model', [A], { target: { ...MODEL, model: 'none' } }, 'not_found'],
];

ELIGIBILITY.forEach(([title, engines, change, expected]) => {
  test(`an engine that is ${title}`, (t) => {
    const bench = new RoutingHarness(engines);
    t.is(servers(bench.assignMany(4, change)), Array(4).fill(expected).join(' '));
  });
});

test('a server that other daemons know to be leaving gets nothing, and no resumes', (t) => {
  const bench = new RoutingHarness([A, B]);
  bench.leaving.add('a');
  t.is(servers([...bench.assignMany(3), ...bench.assignMany(3, { resume: true })]), 'b b b b b b');
});

test('a configuration that drains or removes a server holds from the next request on', (t) => {
  const bench = new RoutingHarness([A]);
  t.is(bench.assign().outcome, 'a');
  bench.report([{ ...A, drained: true }]);
  t.is(bench.assign().outcome, 'unavailable');
  bench.report([]);
  t.is(bench.assign().outcome, 'unavailable');
});

test('lagging reports are corrected by own dispatches and releases', async (t) => {
  const bench = new RoutingHarness([{ ...A, report: { running: 5 } }, B]);
  const first = bench.assignMany(10);
  const counts = (name: string) => first.filter(({ outcome }) => outcome === name).length;
  t.true(counts('b') >= 7 && counts('b') <= 8, servers(first));
  await bench.clock.advance(100);
  // The next reports include the dispatched requests; nothing is counted twice.
  bench.report([
    { ...A, report: { running: 5 + counts('a') } }, { ...B, report: { running: counts('b') } },
  ]);
  first.filter(({ outcome }) => outcome === 'b')
    .forEach(({ assignment }) => assignment?.release('answered'));
  t.is(servers(bench.assignMany(4)), 'b b b b');
  const load = Object.fromEntries(bench.router.snapshot().servers
    .map(({ server, inFlight, othersInFlight }) => [server, [inFlight, othersInFlight]]));
  t.deepEqual(load, { a: [counts('a'), 5], b: [4, 0] });
});

test('servers of the same zone are preferred, and other zones serve when it is lost', (t) => {
  const far: FakeEngine = { name: 'far', zone: 'b' };
  const bench = new RoutingHarness([{ ...A, zone: 'a' }, far]);
  t.is(bench.assign().outcome, 'a');
  bench.report([{ ...A, zone: 'a', health: 'down' }, far]);
  t.is(servers(bench.assignMany(3)), 'far far far');
});

test('a cached prefix outweighs another zone where resources are favoured', async (t) => {
  const text = 'x'.repeat(256 * 20);
  const target = { ...MODEL, input: { kind: 'prompt', text } } as const;
  const far: FakeEngine = { name: 'far', zone: 'b' };
  const outcome = async (favour: 'latency' | 'resources') => {
    const bench = RoutingHarness.favouring(favour, [A, far]);
    await bench.clock.advance(10);
    bench.events.get('far')?.next({
      incarnation: 'i1', sequence: 1, kind: 'stored', blocks: prefixBlocks('m', text),
    });
    return bench.assign({ target }).outcome;
  };
  t.is(await outcome('latency'), 'a');
  t.is(await outcome('resources'), 'far');
});

test('several daemons with the same reports do not all send to the same engine', (t) => {
  const engines = Array.from({ length: 8 }, (_, index) => ({ name: `e${index}` }));
  const chosen = new Set(Array.from({ length: 16 }, (_, seed) => (
    new RoutingHarness(engines, {}, { random: Random.of(seed) }).assign().outcome)));
  t.true(chosen.size >= 5, `${chosen.size}`);
});

test('batch leaves slots to interactive requests, and waits until a slot is free', async (t) => {
  const bench = new RoutingHarness([A]);
  const batch = bench.assignMany(10, { priority: 'batch' });
  t.is(servers(batch), 'a a a a a a - - - -');
  t.is(servers(bench.assignMany(3)), 'a a -');
  t.is(bench.assign({ priority: 'interactive' }).outcome, 'a');
  t.deepEqual(bench.router.snapshot().queues, [
    { workspace: 'w', priority: 'standard', waiting: 1 },
    { workspace: 'w', priority: 'batch', waiting: 4 },
  ]);
  batch.slice(0, 6).forEach(({ assignment }) => assignment?.release('answered'));
  t.is(batch[6]?.outcome, 'a');
});

test('a queued request is placed after a new report, and refused at its deadline', async (t) => {
  const bench = new RoutingHarness([{ ...A, report: { running: 10 } }]);
  const [first, second] = [bench.assign(), bench.assign({ priority: 'interactive' })];
  await bench.clock.advance(100);
  t.is(servers([first, second]), '- -');
  bench.report([{ ...A, report: { running: 9 } }]);
  await bench.clock.advance(30);
  t.is(servers([first, second]), '- a');
  await bench.clock.advance(4_860);
  t.is(first.outcome, undefined);
  await bench.clock.advance(50);
  t.is(first.outcome, 'queue_timeout');
  t.is(first.refusal?.ran, 'no');
  t.true((first.refusal?.retryAfterMs ?? 0) > 0);
});

test('unsubscribing removes the request from the queue', (t) => {
  const bench = new RoutingHarness([{ ...A, report: { running: 10 } }]);
  bench.assign().subscription.unsubscribe();
  t.deepEqual(bench.router.snapshot().queues, []);
});

test('a breaker opens after failures, probes once and closes again', async (t) => {
  const bench = new RoutingHarness([A, B]);
  const onA = () => bench.assign({ exclude: ['b'], retry: false });
  for (let failure = 0; failure < 5; failure += 1) onA().assignment?.release('failed');
  t.is(servers(bench.assignMany(3)), 'b b b');
  await bench.clock.advance(700);
  const probe = onA();
  t.is(probe.outcome, 'a');
  t.is(onA().outcome, undefined);
  probe.assignment?.release('answered');
  t.is(onA().outcome, 'a');
});

test('retries are bounded by their budget, resumes and first attempts are not', (t) => {
  const engines = Array.from({ length: 8 }, (_, index) => ({ name: `e${index}` }));
  const bench = new RoutingHarness(engines);
  const retries = bench.assignMany(8, { exclude: ['e0'] }).map(({ outcome }) => outcome);
  t.is(retries.filter((outcome) => outcome === 'overloaded').length, 3);
  const resumes = bench.assignMany(8, { exclude: ['e0'], resume: true });
  t.true(resumes.every(({ outcome }) => outcome?.startsWith('e')));
  t.is(bench.assign().outcome?.[0], 'e');
});

test('a resume waits a second for a server, and a new request is refused at once', async (t) => {
  const bench = new RoutingHarness([{ ...A, health: 'down' }]);
  const [first, second] = [bench.assign({ resume: true }), bench.assign({ resume: true })];
  t.is(bench.assign().outcome, 'unavailable');
  await bench.clock.advance(500);
  t.is(first.outcome, undefined);
  bench.report([{ ...A, report: { slots: 1 } }]);
  await bench.clock.advance(30);
  t.is(servers([first, second]), 'a -');
  bench.report([{ ...A, health: 'down' }]);
  await bench.clock.advance(600);
  t.is(second.outcome, 'unavailable');
});

test('resumes after a loss leave slots to interactive requests and wait for free ones', (t) => {
  const bench = new RoutingHarness([A]);
  const resumes = bench.assignMany(12, { resume: true, priority: 'batch' });
  const placed = () => resumes.filter(({ outcome }) => outcome === 'a').length;
  t.is(placed(), 8);
  t.is(bench.assign({ priority: 'interactive' }).outcome, 'a');
  const fresh = bench.assign({ priority: 'batch' });
  resumes.slice(0, 4).forEach(({ assignment }) => assignment?.release('answered'));
  t.is(placed(), 11);
  t.is(fresh.outcome, undefined);
});

test('a plain service is called on its pool, least in flight and same zone first', (t) => {
  const service = (name: string, zone: string) => serverOf({ name, zone, pool: 's' }, 'service');
  const change: Partial<Configuration> = {
    servers: { near: service('near', 'a'), far: service('far', 'b'), a: serverOf(A) },
    services: { stock: { name: 'stock', pool: 's', routes: [] } },
  };
  const bench = new RoutingHarness([A], change);
  const target = { kind: 'service', service: 'stock' } as const;
  t.is(bench.assign({ target }).outcome, 'near');
  for (let failure = 0; failure < 5; failure += 1) {
    bench.assign({ target, exclude: ['far'], retry: false }).assignment?.release('failed');
  }
  t.is(servers(bench.assignMany(3, { target })), 'far far far');
  t.is(bench.assign({ target: { kind: 'service', service: 'none' } }).outcome, 'not_found');
});

test('a plain service that many daemons share has a slot for each', (t) => {
  const change: Partial<Configuration> = {
    servers: { s: serverOf({ name: 's' }, 'service') },
    services: { stock: { name: 'stock', pool: 'p', routes: [] } },
  };
  const bench = new RoutingHarness([], change, { daemons: () => 380 });
  t.is(servers(bench.assignMany(2, { target: { kind: 'service', service: 'stock' } })), 's -');
});

test('the configured version is preferred, and an older one serves while it is full', (t) => {
  const held = (version: string) => ({ models: [{ model: 'm', version, adapters: [] }], slots: 2 });
  const old = { ...A, report: held('0') };
  const bench = new RoutingHarness([old]);
  t.is(bench.assign({ priority: 'interactive' }).assignment?.version, '0');
  bench.report([old, { ...B, report: held('1') }]);
  const asked = bench.assignMany(4, { priority: 'interactive' });
  t.is(servers(asked), 'b b a -');
  t.is(asked[2]?.assignment?.version, '0');
  t.is(bench.assign({ resume: true, target: { ...MODEL, version: '9' } }).outcome, undefined);
});

test('each decision logs the scores of the candidates', (t) => {
  const bench = new RoutingHarness([A, { ...B, zone: 'b' }, { name: 'c', drained: true }]);
  bench.assign();
  const [line] = bench.routes;
  t.is(line?.server, 'a');
  t.is(line?.candidates, 2);
  t.deepEqual(line?.excluded, ['drained:1']);
  t.deepEqual(line?.weighed, ['a:0.0', 'b:3.0']);
});

test('slots reserved for interactive requests follow their traffic', (t) => {
  const busy = interactiveChanged(interactiveLoad(6, 13, 0), 8, 0);
  const later = interactiveChanged(busy, -8, 60_000);
  const places = (load: InteractiveLoad, now: number) => (
    16 - capacityFor('batch', 16, perServer(load, 6, 13, now)));
  t.deepEqual([places(busy, 0), places(busy, 60_000), places(later, 120_000)], [4, 8, 2]);
  t.is(capacityFor('interactive', 16, 5), 16);
});

test('free slots are divided between daemons, and a released slot is reused', (t) => {
  const report = { ...REPORT, running: 4 };
  const draws = Array.from({ length: 100 }, (_, index) => index / 100);
  const places = draws.map((draw) => (
    slotsLeft(loadReported(IDLE_SERVER, report, 1, draw), 10, 9)));
  t.is(places.reduce((sum, each) => sum + each, 0), 66);
  const holding = loadDispatched(loadDispatched(IDLE_SERVER, 0, 0), 0, 0);
  const full = loadReported(holding, { ...REPORT, running: 10 }, 100, 0.5);
  t.is(slotsLeft(full, 10, 9), 0);
  t.is(slotsLeft(loadReleased(full), 10, 9), 1);
  // Above capacity, the daemons that hold the excess give it up.
  t.is(slotsLeft(loadReported(holding, { ...REPORT, running: 2 }, 100, 0), 1, 9), -1);
  t.is(slotsLeft(loadReported(IDLE_SERVER, { ...REPORT, running: 12 }, 100, 0), 10, 9), 0);
});
