import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { planOf } from '../src/placement/plan.js';
import {
  configurationOf, Fleet, modelOf, serverOf,
} from './fakes/fleet.js';

const MAX_STEPS = 200;
const QUIET_STEPS = 6;

function namesOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `e${index}`);
}

/** Steps until plans are empty and nothing is loading; throws if that isn't reached. */
function settle(fleet: Fleet): void {
  let quiet = 0;
  for (let step = 1; step <= MAX_STEPS && quiet < QUIET_STEPS; step += 1) {
    const plan = fleet.step(planOf);
    const loading = [...fleet.engines.values()].some((engine) => engine.up && engine.loading.size);
    quiet = plan.decisions.length === 0 && !loading ? quiet + 1 : 0;
  }
  if (quiet < QUIET_STEPS) throw new Error('the plan does not settle');
}

function setDemand(fleet: Fleet, model: string, running = 1, waiting = 0): void {
  fleet.demand.set(model, { running, waiting });
}

test('replicas are spread over all zones, at the weight store\'s rate', (t) => {
  const servers = namesOf(6)
    .map((name, index) => serverOf(name, { zone: index < 3 ? 'z0' : `z${1 + (index % 2)}` }));
  const fleet = Fleet.of(configurationOf([modelOf('a', { replicas: 3 }), modelOf('b')], servers));
  let most = 0;
  for (let step = 0; step < 30; step += 1) {
    fleet.step(planOf, 2);
    const loading = [...fleet.engines.values()]
      .reduce((sum, { loading: own }) => sum + own.size, 0);
    most = Math.max(most, loading);
  }
  t.is(most, 2);
  t.deepEqual([fleet.current('a'), fleet.current('b')], [3, 2]);
  const zones = [...fleet.engines.values()]
    .filter(({ models }) => models.some(({ model }) => model === 'a'))
    .map(({ server }) => server.zone);
  t.is(new Set(zones).size, 3);
  t.is(fleet.loads, 5);
});

test('a new version is loaded beside the old one, which is unloaded after its streams', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('a', { replicas: 4 })],
    namesOf(4).map((name) => serverOf(name, { memory: 2 })),
  ));
  fleet.preload('a', namesOf(4));
  setDemand(fleet, 'a');
  fleet.resetMinServing();
  fleet.update('a', { version: '2' });
  settle(fleet);
  t.is(fleet.current('a'), 4);
  t.is(fleet.minServing.get('a'), 4);
  t.is(fleet.loads, 4);
  t.deepEqual(fleet.violations, []);
  t.true([...fleet.engines.values()].every(({ models }) => models.length === 1));
});

test('without memory for two versions, one engine at a time is reloaded', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('a', { replicas: 4 })],
    namesOf(4).map((name) => serverOf(name)),
  ));
  fleet.preload('a', namesOf(4));
  setDemand(fleet, 'a');
  fleet.resetMinServing();
  fleet.update('a', { version: '2' });
  settle(fleet);
  t.is(fleet.current('a'), 4);
  t.is(fleet.minServing.get('a'), 3);
  t.is(fleet.loads, 4);
  t.deepEqual(fleet.violations, []);
});

test('a rollout waits while the demand needs every engine, and reports the reason', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('a', { replicas: 2 })],
    namesOf(2).map((name) => serverOf(name)),
  ));
  fleet.preload('a', namesOf(2));
  setDemand(fleet, 'a', 14);
  fleet.update('a', { version: '2' });
  fleet.resetMinServing();
  const plan = fleet.step(planOf);
  t.deepEqual(plan.decisions, []);
  t.deepEqual(plan.blocked, [{ model: 'a', missing: 2, reason: 'no_room' }]);
  setDemand(fleet, 'a', 1);
  settle(fleet);
  t.is(fleet.current('a'), 2);
  t.is(fleet.minServing.get('a'), 1);
});

test('the last engine of a model is never evicted', (t) => {
  const fleet = Fleet.of(configurationOf([modelOf('a', { replicas: 1 })], [serverOf('e0')]));
  fleet.preload('a', ['e0']);
  fleet.update('a', { version: '2' });
  settle(fleet);
  t.is(fleet.serving('a'), 1);
});

test('a version stays loaded until its streams are known to have ended', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('a', { replicas: 1 })],
    [serverOf('e0', { memory: 2 })],
  ));
  fleet.preload('a', ['e0']);
  setDemand(fleet, 'a');
  fleet.update('a', { version: '2' });
  for (let step = 0; step < 30; step += 1) {
    fleet.step((input) => planOf({ ...input, streams: () => undefined }));
  }
  t.is(fleet.engines.get('e0')!.models.length, 2);
  t.is(fleet.unloads, 0);
});

test('an engine lost while loading is replaced, and so is a drained one', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('a', { replicas: 2 })],
    namesOf(4).map((name) => serverOf(name)),
  ));
  const first = fleet.step(planOf).decisions[0]!.server;
  Object.assign(fleet.engines.get(first)!, { up: false });
  settle(fleet);
  t.is(fleet.current('a'), 2);
  t.is(fleet.loads, 3);
  const drained = [...fleet.engines.values()].find(({ up, models }) => up && models.length > 0)!;
  Object.assign(drained, { server: { ...drained.server, drained: true } });
  settle(fleet);
  const kept = [...fleet.engines.values()]
    .filter(({ up, server, models }) => up && !server.drained && models.length > 0);
  t.is(kept.length, 2);
});

test('a starved urgent model gets engines of a model whose demand needs fewer', (t) => {
  const fleet = Fleet.of(configurationOf(
    [
      modelOf('counter', { replicas: 1, priority: 'interactive' }),
      modelOf('lists', { replicas: 5 }),
    ],
    namesOf(6).map((name) => serverOf(name)),
  ));
  fleet.preload('counter', ['e0']);
  fleet.preload('lists', ['e1', 'e2', 'e3', 'e4', 'e5']);
  setDemand(fleet, 'lists', 20);
  setDemand(fleet, 'counter', 10, 8);
  fleet.resetMinServing();
  for (let step = 0; step < 60; step += 1) fleet.step(planOf);
  t.is(fleet.current('counter'), 3);
  t.is(fleet.current('lists'), 3);
  t.deepEqual(fleet.violations, []);
});

test('a starved batch model gets no engine of a more urgent model', (t) => {
  const fleet = Fleet.of(configurationOf(
    [modelOf('counter', { replicas: 3, priority: 'interactive' }),
      modelOf('lists', { replicas: 1, priority: 'batch' })],
    namesOf(4).map((name) => serverOf(name)),
  ));
  fleet.preload('counter', ['e0', 'e1', 'e2']);
  fleet.preload('lists', ['e3']);
  setDemand(fleet, 'lists', 10, 30);
  for (let step = 0; step < 30; step += 1) fleet.step(planOf);
  t.is(fleet.current('counter'), 3);
});

test('a removed model is unloaded, and pools hold only the models they allow', (t) => {
  const servers = [serverOf('e0'), serverOf('e1', { pool: 'q' })];
  const pool = {
    name: 'q', kind: 'engine' as const, models: ['b'], retryRatio: 0, concurrencyPerServer: 1,
  };
  const fleet = Fleet.of(configurationOf([modelOf('a', { replicas: 2 }), modelOf('old')], servers, {
    pools: { q: pool },
  }));
  fleet.preload('old', ['e0']);
  const { old, ...models } = fleet.configuration.models;
  fleet.configuration = { ...fleet.configuration, models };
  settle(fleet);
  t.is(old!.name, 'old');
  t.is(fleet.current('a'), 1);
  t.deepEqual(fleet.engines.get('e1')!.models, []);
});

test('adapters are loaded with their model, and unloaded when nothing runs', (t) => {
  const fleet = Fleet.of(configurationOf([modelOf('a', { adapters: ['x'] })], [serverOf('e0')]));
  fleet.preload('a', ['e0']);
  settle(fleet);
  t.deepEqual(fleet.engines.get('e0')!.models[0]!.adapters, ['x']);
  fleet.update('a', { adapters: ['y'] });
  settle(fleet);
  t.deepEqual(fleet.engines.get('e0')!.models[0]!.adapters, ['y']);
});

const changeArbitrary = fc.record({
  act: fc.constantFrom('version', 'replicas', 'down', 'up', 'demand'),
  model: fc.constantFrom('a', 'b', 'c'),
  engine: fc.nat({ max: 7 }),
  amount: fc.integer({ min: 1, max: 4 }),
});

testProp(
  'no plan exceeds an engine\'s memory, ends a stream, or evicts a model\'s last engine',
  [fc.array(changeArbitrary, { minLength: 1, maxLength: 12 }), fc.integer({ min: 1, max: 3 })],
  (t, changes, memory) => {
    const fleet = Fleet.of(configurationOf(
      ['a', 'b', 'c'].map((name) => modelOf(name)),
      namesOf(8).map((name) => serverOf(name, { memory })),
    ));
    settle(fleet);
    changes.forEach(({
      act, model, engine, amount,
    }) => {
      if (act === 'version') fleet.update(model, { version: `${amount}` });
      if (act === 'replicas') fleet.update(model, { replicas: amount });
      if (act === 'down' || act === 'up') {
        Object.assign(fleet.engines.get(`e${engine}`)!, { up: act === 'up' });
      }
      if (act === 'demand') setDemand(fleet, model, amount);
      fleet.resetMinServing();
      for (let step = 0; step < 7; step += 1) {
        const before = ['a', 'b', 'c'].map((name) => fleet.serving(name));
        fleet.step(planOf);
        const after = ['a', 'b', 'c'].map((name) => fleet.serving(name));
        after.forEach((count, index) => t.false(before[index]! > 0 && count === 0));
      }
    });
    fleet.engines.forEach((engine) => Object.assign(engine, { up: true }));
    settle(fleet);
    t.deepEqual(fleet.violations, []);
    ['a', 'b', 'c'].forEach((name) => {
      t.true(fleet.current(name) >= fleet.configuration.models[name]!.replicas || memory === 1);
    });
  },
  { numRuns: 150, seed: 20_261_203 },
);
