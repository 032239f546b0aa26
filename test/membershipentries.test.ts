import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import { VirtualTimeScheduler } from 'rxjs';
import { EXCHANGE_DEADLINE_MS, PERIOD_MS } from '../src/membership/membership.js';
import type { PeerAnswer, PeerRequest } from '../src/membership/message.js';
import { publishIntervalMs } from '../src/membership/bandwidth.js';
import { Cluster, namesOf, runTo } from './fakes/peers.js';

const SETTLED_MS = 5 * PERIOD_MS;
const MESSAGE_LIMIT_BYTES = 40_000;

interface Setting {
  readonly cluster: Cluster;
  readonly names: readonly string[];
  readonly sent: { entries: number; largest: number };
  run(ms: number): void;
}

function settingOf(count: number): Setting {
  const scheduler = new VirtualTimeScheduler(undefined, 0);
  const names = namesOf(count);
  const sent = { entries: 0, largest: 0 };
  const onMessage = (_from: string, _to: string, message: PeerRequest | PeerAnswer) => {
    if (message.kind === 'heartbeat') sent.entries += message.entries.length;
    sent.largest = Math.max(sent.largest, JSON.stringify(message).length);
  };
  const cluster = Cluster.of({
    scheduler, names, seed: 7, onMessage,
  });
  const run = (ms: number) => runTo(scheduler, scheduler.frame + ms);
  run(SETTLED_MS);
  return {
    cluster, names, sent, run,
  };
}

function publish({ cluster }: Setting, name: string, key: string, value: unknown): void {
  cluster.event(name, { kind: 'publish', key, value });
}

/** The distinct values of entry `id` that the daemons hold. */
function valuesOf({ cluster }: Setting, names: readonly string[], id: string): readonly unknown[] {
  return [...new Set(names.map((name) => cluster.state(name).entries.get(id)?.value))];
}

test('a value reaches all daemons, and unchanged entries are not sent again', (t) => {
  const setting = settingOf(24);
  publish(setting, 'd003', 'load/e', 5);
  setting.run(8 * PERIOD_MS);
  t.deepEqual(valuesOf(setting, setting.names, 'd003\nload/e'), [5]);
  const before = setting.sent.entries;
  t.true(before < 3 * setting.names.length);
  setting.run(20 * PERIOD_MS);
  t.is(setting.sent.entries, before);
});

test('a revision reaches 40 daemons without waiting for a period', (t) => {
  const setting = settingOf(40);
  publish(setting, 'd003', 'configuration', { revision: 9 });
  setting.run(PERIOD_MS / 10);
  const revisions = setting.names
    .map((name) => setting.cluster.members(name).find((member) => member.name === 'd003'));
  t.true(revisions.every((member) => member?.revision === 9));
});

test('rapid changes of a value are published at a bounded rate, including the last one', (t) => {
  const setting = settingOf(3);
  for (let value = 1; value <= 50; value += 1) {
    publish(setting, 'd000', 'load/e', value);
    setting.run(PERIOD_MS / 10);
  }
  setting.run(3 * PERIOD_MS);
  t.deepEqual(valuesOf(setting, setting.names, 'd000\nload/e'), [50]);
  t.true(setting.cluster.state('d000').version <= 8);
});

test('growth of a category lengthens the intervals of its own keys only', (t) => {
  const setting = settingOf(3);
  const publishes = (key: string) => {
    const before = setting.cluster.state('d000').version;
    for (let value = 1; value <= 60; value += 1) {
      publish(setting, 'd000', key, value);
      setting.run(PERIOD_MS);
    }
    return setting.cluster.state('d000').version - before;
  };
  const alone = publishes('demand/models');
  for (let index = 0; index < 800; index += 1) {
    publish(setting, 'd001', `demand/${index}`, 'x'.repeat(400));
  }
  setting.run(20 * PERIOD_MS);
  const crowded = publishes('demand/models');
  const load = publishes('load/e');
  t.true(alone >= 55 && crowded <= 6 && load >= 55, `${alone} ${crowded} ${load}`);
});

test('values lost in transit are sent again', (t) => {
  const setting = settingOf(2);
  setting.cluster.cut(['d000'], ['d001']);
  publish(setting, 'd000', 'load/e', 5);
  setting.run(EXCHANGE_DEADLINE_MS + PERIOD_MS);
  t.deepEqual(valuesOf(setting, ['d001'], 'd000\nload/e'), [undefined]);
  setting.cluster.heal();
  setting.run(2 * PERIOD_MS);
  t.deepEqual(valuesOf(setting, ['d001'], 'd000\nload/e'), [5]);
});

test('a large state reaches a restarted daemon in messages of bounded size', (t) => {
  const setting = settingOf(2);
  const keys = Array.from({ length: 200 }, (_, index) => `load/${index}`);
  keys.forEach((key) => publish(setting, 'd000', key, 'x'.repeat(400)));
  setting.run(10 * PERIOD_MS);
  const sizes = Array.from({ length: 8 }, () => 'd001').map((name) => {
    setting.cluster.crash(name);
    setting.cluster.start(name);
    setting.run(10.13 * PERIOD_MS);
    return setting.cluster.state(name).entries.size;
  });
  t.deepEqual(sizes, sizes.map(() => keys.length));
  t.true(setting.sent.largest < MESSAGE_LIMIT_BYTES, `largest was ${setting.sent.largest} bytes`);
});

test('the values of a removed member are dropped, and return when it rejoins', (t) => {
  const setting = settingOf(6);
  const { cluster, names } = setting;
  const others = names.slice(1);
  publish(setting, 'd000', 'load/e', 5);
  setting.run(SETTLED_MS);
  cluster.cut(['d000'], others);
  cluster.cut(others, ['d000']);
  setting.run(30 * PERIOD_MS);
  t.deepEqual(valuesOf(setting, others, 'd000\nload/e'), [undefined]);
  cluster.heal();
  setting.run(8 * PERIOD_MS);
  t.deepEqual(valuesOf(setting, names, 'd000\nload/e'), [5]);
});

const CATEGORY_CASES = [
  { sizes: { load: 0, demand: 0, other: 0 }, intervals: [1_000, 1_000, 1_000] },
  { sizes: { load: 0, demand: 0, other: 20_000 }, intervals: [1_000, 1_000, 1_000] },
  { sizes: { load: 0, demand: 0, other: 80_000 }, intervals: [1_000, 1_000, 4_000] },
  { sizes: { load: 26_000, demand: 40_000, other: 30_000 }, intervals: [2_000, 10_000, 10_000] },
];

CATEGORY_CASES.forEach(({ sizes, intervals }) => {
  test(`categories share unused bandwidth: ${Object.values(sizes).join(' ')}`, (t) => {
    const keys = ['load/e', 'demand/models', 'configuration'];
    t.deepEqual(keys.map((key) => publishIntervalMs(sizes, key)), intervals);
  });
});

const stepArbitrary = fc.record({
  act: fc.constantFrom('crash', 'start', 'pause', 'wake', 'cut', 'mend', 'publish', 'urgent'),
  name: fc.integer({ min: 0, max: 5 }),
  other: fc.integer({ min: 0, max: 5 }),
  runMs: fc.integer({ min: 50, max: 8_000 }),
});

testProp(
  'after any crashes, pauses and partitions all daemons converge to the same members and values',
  [fc.array(stepArbitrary, { minLength: 3, maxLength: 30 })],
  (t, steps) => {
    const setting = settingOf(6);
    const { cluster, names } = setting;
    const down = new Set<string>();
    const start = (name: string) => {
      cluster.wake(name);
      if (down.delete(name)) cluster.start(name);
    };
    steps.forEach((step, index) => {
      const [name, other] = [names[step.name]!, names[step.other]!];
      if (step.act === 'crash') {
        cluster.crash(name);
        down.add(name);
      }
      if (step.act === 'start') start(name);
      if (step.act === 'pause') cluster.pause(name);
      if (step.act === 'wake') cluster.wake(name);
      if (step.act === 'cut') cluster.cut([name], [other]);
      if (step.act === 'mend') cluster.heal();
      if (step.act === 'publish') publish(setting, name, 'load/e', index);
      if (step.act === 'urgent') publish(setting, name, 'configuration', { revision: index });
      setting.run(step.runMs);
    });
    cluster.heal();
    names.forEach(start);
    setting.run(40 * PERIOD_MS);
    names.forEach((name) => t.is(cluster.view(name), names.join(' ')));
    names.forEach((origin) => ['load/e', 'configuration'].forEach((key) => {
      const id = `${origin}\n${key}`;
      const own = cluster.state(origin).entries.get(id)?.value;
      t.deepEqual(valuesOf(setting, names, id), [own]);
    }));
  },
  { numRuns: 100, seed: 20_261_203 },
);
