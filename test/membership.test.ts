import test from 'ava';
import { VirtualTimeScheduler } from 'rxjs';
import { PERIOD_MS } from '../src/membership/membership.js';
import { Cluster, namesOf, runTo } from './fakes/peers.js';

const SETTLED_MS = 5 * PERIOD_MS;
/** Time within which all daemons of a small deployment suspect and remove a crashed member. */
const REMOVAL_MS = 8 * PERIOD_MS;

interface Setting {
  readonly scheduler: VirtualTimeScheduler;
  readonly cluster: Cluster;
  readonly names: readonly string[];
  /** Advances virtual time. */
  run(ms: number): void;
}

function settingOf(count: number, seed = 1): Setting {
  const scheduler = new VirtualTimeScheduler(undefined, 0);
  const names = namesOf(count);
  const cluster = Cluster.of({ scheduler, names, seed });
  return {
    scheduler, cluster, names, run: (ms) => runTo(scheduler, scheduler.frame + ms),
  };
}

function viewsOf({ cluster }: Setting, names: readonly string[]): readonly string[] {
  return [...new Set(names.map((name) => cluster.view(name)))];
}

const SIZES = [2, 6, 9, 40];

SIZES.forEach((size) => {
  test(`${size} daemons discover each other from the instance list`, (t) => {
    const setting = settingOf(size);
    setting.run(SETTLED_MS);
    t.deepEqual(viewsOf(setting, setting.names), [setting.names.join(' ')]);
  });

  test(`a crashed daemon among ${size} becomes suspect, then is removed everywhere`, (t) => {
    const setting = settingOf(size);
    const { cluster, names } = setting;
    setting.run(SETTLED_MS);
    cluster.crash(names[1]!);
    setting.run(REMOVAL_MS * 1.5);
    const others = names.filter((name) => name !== names[1]);
    t.deepEqual(viewsOf(setting, others), [others.join(' ')]);
    const told = cluster.log.filter((line) => line.startsWith(`d000: ${names[1]} `));
    t.regex(told[1] ?? '', / suspect /);
    t.regex(told[2] ?? '', / dead /);
  });
});

test('one-way loss between two daemons removes neither if others reach both', (t) => {
  const setting = settingOf(9);
  const { cluster, names } = setting;
  setting.run(SETTLED_MS);
  cluster.cut(['d001'], ['d002']);
  setting.run(60 * PERIOD_MS);
  t.deepEqual(viewsOf(setting, names), [names.join(' ')]);
  t.deepEqual(cluster.log.filter((line) => / (suspect|dead) /.test(line)), []);
});

test('with two daemons, one whose requests still arrive is not removed', (t) => {
  const setting = settingOf(2);
  const { cluster } = setting;
  setting.run(SETTLED_MS);
  cluster.cut(['d000'], ['d001']);
  setting.run(60 * PERIOD_MS);
  t.is(cluster.view('d000'), 'd000 d001:suspect');
});

test('each side of a partition removes the other, and they rejoin when it heals', (t) => {
  const setting = settingOf(9);
  const { cluster, names } = setting;
  const [left, right] = [names.slice(0, 3), names.slice(3)];
  setting.run(SETTLED_MS);
  cluster.cut(left, right);
  cluster.cut(right, left);
  setting.run(5 * REMOVAL_MS);
  t.deepEqual(viewsOf(setting, left), [left.join(' ')]);
  t.deepEqual(viewsOf(setting, right), [right.join(' ')]);
  cluster.heal();
  setting.run(10 * PERIOD_MS);
  t.deepEqual(viewsOf(setting, names), [names.join(' ')]);
});

test('a daemon that wakes from a pause suspects nobody, and rejoins', (t) => {
  const setting = settingOf(9);
  const { cluster, names } = setting;
  setting.run(SETTLED_MS);
  const before = cluster.log.length;
  cluster.pause('d004');
  setting.run(5 * REMOVAL_MS);
  t.notRegex(cluster.view('d000'), /d004/);
  cluster.wake('d004');
  setting.run(5 * PERIOD_MS);
  t.deepEqual(viewsOf(setting, names), [names.join(' ')]);
  const accused = cluster.log.slice(before)
    .filter((line) => /^d004: .* (suspect|dead) /.test(line));
  t.deepEqual(accused, []);
});

test('a daemon paused for less than the suspicion timeout refutes the suspicion', (t) => {
  const setting = settingOf(9);
  const { cluster, names } = setting;
  setting.run(SETTLED_MS);
  cluster.pause('d004');
  setting.run(2.5 * PERIOD_MS);
  cluster.wake('d004');
  setting.run(3 * PERIOD_MS);
  t.deepEqual(viewsOf(setting, names), [names.join(' ')]);
  t.deepEqual(cluster.log.filter((line) => / dead /.test(line)), []);
});

test('a daemon that was itself paused restarts the timeouts of its suspects', (t) => {
  const setting = settingOf(2);
  const { cluster } = setting;
  setting.run(SETTLED_MS);
  cluster.pause('d001');
  setting.run(3 * PERIOD_MS);
  t.is(cluster.view('d000'), 'd000 d001:suspect');
  cluster.pause('d000');
  setting.run(REMOVAL_MS);
  cluster.wake('d000');
  cluster.wake('d001');
  setting.run(2 * PERIOD_MS);
  t.is(cluster.view('d000'), 'd000 d001');
  t.deepEqual(cluster.log.filter((line) => / dead /.test(line)), []);
});

test('a new incarnation of a restarted daemon replaces the old one at once', (t) => {
  const setting = settingOf(6);
  const { cluster } = setting;
  setting.run(SETTLED_MS);
  cluster.event('d002', { kind: 'publish', key: 'load/e', value: 1 });
  setting.run(SETTLED_MS);
  cluster.crash('d002');
  cluster.start('d002');
  setting.run(SETTLED_MS);
  t.is(cluster.members('d005').find((member) => member.name === 'd002')?.incarnation, 2);
  t.is(cluster.state('d005').entries.get('d002\nload/e'), undefined);
});

test('exchanges that fail because of a pause cause no suspicion', (t) => {
  const setting = settingOf(2);
  const { cluster } = setting;
  setting.run(SETTLED_MS);
  const { lastTickAt } = cluster.state('d000');
  while (cluster.state('d000').lastTickAt === lastTickAt) setting.run(1);
  cluster.pause('d000');
  setting.run(REMOVAL_MS);
  cluster.wake('d000');
  setting.run(PERIOD_MS);
  t.deepEqual(cluster.log.filter((line) => /^d000: .* (suspect|dead) /.test(line)), []);
});

test('a leaving daemon informs its neighbours at once and all members within two periods', (t) => {
  const setting = settingOf(9);
  const { cluster, names } = setting;
  setting.run(SETTLED_MS);
  cluster.event('d003', { kind: 'leave' });
  setting.run(5);
  t.true(names.filter((name) => /d003:leaving/.test(cluster.view(name))).length >= 3);
  setting.run(2 * PERIOD_MS);
  names.forEach((name) => t.regex(cluster.view(name), /d003:leaving/));
});

test('a daemon no longer in the instance list stays a member while it answers', (t) => {
  const setting = settingOf(6);
  const { cluster, names } = setting;
  setting.run(SETTLED_MS);
  names.forEach((name) => cluster.list(name, names.slice(1)));
  setting.run(10 * PERIOD_MS);
  t.deepEqual(viewsOf(setting, names), [names.join(' ')]);
});

test('a listed instance that never answered is not a member', (t) => {
  const setting = settingOf(3);
  const { cluster, names } = setting;
  names.forEach((name) => cluster.list(name, [...names, 'ghost']));
  setting.run(10 * PERIOD_MS);
  t.is(cluster.view('d000'), names.join(' '));
});
