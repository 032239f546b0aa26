import test from 'ava';
import { Random } from '../src/common/random.js';
import type { Folder } from '../src/configuration/check.js';
import { Publisher } from '../src/configuration/publisher.js';
import type { Publication } from '../src/configuration/publisher.js';
import type { ObjectFaults } from '../src/standin/objects.js';
import { memoryObjects } from './fakes/objects.js';

const BASE: Folder = { 'a.toml': '[deployment]\nname = "lisbon"\nzones = ["lis-a"]\n' };
const EDIT = { who: 'ana' };

/** A file that defines one model: any number of these files with `BASE` is a valid folder. */
function model(name: string, version = '1'): string {
  return `models.${name}.version = "${version}"\n`;
}

function start(seed = 1) {
  const { clock, objects } = memoryObjects(seed);
  const publisherOf = (operator: number) => Publisher.of({
    api: objects, scheduler: clock, random: Random.of(operator), wallClock: () => clock.now(),
  });
  const run = async <Value>(work: Promise<Value>): Promise<Value> => {
    await clock.advance(20_000);
    return work;
  };
  return {
    clock, objects, publisherOf, run,
  };
}

async function startStored(files: Folder = BASE) {
  const setup = start();
  const publisher = setup.publisherOf(99);
  await publisher.apply(files, { ...EDIT, base: 0 });
  return { ...setup, publisher };
}

async function filesOf(publisher: Publisher): Promise<Folder> {
  return (await publisher.pull()).unwrapOr({ revision: 0, files: {}, history: [] }).files;
}

const rejections: readonly [string, Folder, number, Publication['kind']][] = [
  ['no files', {}, 1, 'empty'],
  ['a folder with errors', { 'a.toml': 'x = 1' }, 1, 'invalid'],
  ['the stored folder', BASE, 1, 'unchanged'],
  ['a base that never existed', BASE, 9, 'base_unknown'],
  ['a file named __proto__', { ...BASE, ['__proto__']: '' }, 1, 'invalid'],
  ['a folder over the size limit', {
    ...BASE,
    ...Object.fromEntries(Array.from({ length: 9 }, (_, i) => [
      `${i}.toml`, `# ${'x'.repeat(120_000)}`,
    ])),
  }, 1, 'too_large'],
];

rejections.forEach(([name, folder, base, kind]) => {
  test(`applying ${name} results in ${kind} and changes nothing`, async (t) => {
    const { publisher } = await startStored();
    t.is((await publisher.apply(folder, { ...EDIT, base })).kind, kind);
    t.deepEqual(await filesOf(publisher), BASE);
  });
});

test('an empty folder is accepted with allowEmpty', async (t) => {
  const { publisher } = await startStored();
  const result = await publisher.apply({}, { ...EDIT, base: 1, allowEmpty: true });
  t.like(result, { kind: 'accepted', revision: 2 });
});

interface Race {
  readonly name: string;
  readonly theirs: Folder;
  readonly mine: Folder;
  readonly outcome: Folder | readonly string[];
}

const X1 = model('x');
const X2 = model('x', '2');
const X3 = model('x', '3');
const START: Folder = { ...BASE, 'x.toml': X1 };

const races: readonly Race[] = [
  {
    name: 'different files',
    theirs: { ...START, 'y.toml': model('y') },
    mine: { ...START, 'x.toml': X2 },
    outcome: { ...BASE, 'x.toml': X2, 'y.toml': model('y') },
  },
  {
    name: 'the same file in the same way',
    theirs: { ...START, 'x.toml': X2 },
    mine: { ...START, 'x.toml': X2, 'y.toml': model('y') },
    outcome: { ...BASE, 'x.toml': X2, 'y.toml': model('y') },
  },
  {
    name: 'the same file',
    theirs: { ...START, 'x.toml': X2 },
    mine: { ...START, 'x.toml': X3 },
    outcome: ['x.toml changed, changed by ben in 2'],
  },
  {
    name: 'a file that the other operator removed',
    theirs: BASE,
    mine: { ...START, 'x.toml': X3 },
    outcome: ['x.toml changed, removed by ben in 2'],
  },
  {
    name: 'a file that one edited and the other removed',
    theirs: { ...START, 'x.toml': X2 },
    mine: BASE,
    outcome: ['x.toml removed, changed by ben in 2'],
  },
  {
    name: 'a file that the other created, by renaming another file to it',
    theirs: { ...START, 'z.toml': model('z') },
    mine: { ...BASE, 'z.toml': X1 },
    outcome: ['z.toml changed, changed by ben in 2'],
  },
];

races.forEach(({
  name, theirs, mine, outcome,
}) => {
  test(`concurrent operators who change ${name}`, async (t) => {
    const { publisher } = await startStored(START);
    await publisher.apply(theirs, { who: 'ben', base: 1 });
    const result = await publisher.apply(mine, { ...EDIT, base: 1 });
    if (result.kind === 'conflict') {
      t.deepEqual(result.conflicts.map((c) => (
        `${c.file} ${c.mine}, ${c.theirs.change} by ${c.theirs.who} in ${c.theirs.revision}`
      )), outcome);
      t.deepEqual(await filesOf(publisher), theirs);
    } else {
      t.is(result.kind, 'accepted');
      t.deepEqual(await filesOf(publisher), outcome);
    }
  });
});

test('of two concurrent puts of one file, one is a conflict', async (t) => {
  const {
    objects, publisher, run, publisherOf,
  } = await startStored(START);
  objects.setFaults({ latencyMs: 20 });
  const results = await run(Promise.all([
    publisher.put('x.toml', X2, EDIT), publisherOf(5).put('x.toml', X3, { who: 'ben' }),
  ]));
  t.deepEqual(results.map((end) => end.kind).sort(), ['accepted', 'conflict']);
});

test('files that are valid alone but not together are rejected with findings', async (t) => {
  const { publisher } = await startStored({ ...BASE, 'p.toml': '[pools.p]' });
  await publisher.remove('p.toml', EDIT);
  const server = '[servers.s]\naddress = "10.0.0.1:80"\nzone = "lis-a"\npool = "p"\n';
  const result = await publisher.put('s.toml', server, { ...EDIT, base: 1 });
  t.is(result.kind, 'invalid');
});

test('the history has authors and files, and deleting the object resets no revision', async (t) => {
  const { publisher, objects } = await startStored();
  await publisher.put('x.toml', X1, { who: 'ben' });
  await publisher.remove('x.toml', { who: 'ana' });
  t.is((await publisher.remove('x.toml', EDIT)).kind, 'no_such_file');
  const entries = (await publisher.history()).unwrapOr([]);
  t.deepEqual(entries.map((entry) => [entry.revision, entry.who, entry.changes[0]?.file]), [
    [3, 'ana', 'x.toml'], [2, 'ben', 'x.toml'], [1, 'ana', 'a.toml'],
  ]);
  t.is((await publisher.diff(START)).unwrapOr([]).length, 1);
  const object = await objects.get('configuration', 'status');
  await objects.remove('configuration', object.isOk() ? object.value.version : 0, 'status');
  t.like(await publisher.apply(BASE, { ...EDIT, base: 0 }), { kind: 'accepted', revision: 5 });
});

test('a base that the bounded history no longer reaches is unknown', async (t) => {
  const { publisher } = await startStored();
  for (let version = 0; version < 101; version += 1) {
    // eslint-disable-next-line no-await-in-loop -- changes run in sequence
    await publisher.put('x.toml', model('x', String(version)), EDIT);
  }
  t.is((await publisher.apply(BASE, { ...EDIT, base: 1 })).kind, 'base_unknown');
  t.is((await publisher.apply(BASE, { ...EDIT, base: 102 })).kind, 'accepted');
});

const faults: readonly [Partial<ObjectFaults>, Publication['kind'], boolean][] = [
  [{ lostAnswers: 1 }, 'accepted', true],
  [{ lostAnswers: 1, latencyMs: 400 }, 'accepted', true],
  [{ lostAnswers: 1, staleReads: true }, 'unsettled', true],
  [{ lostWrites: 1 }, 'unsettled', false],
  [{ outage: true }, 'unavailable', false],
];

faults.forEach(([fault, kind, written]) => {
  test(`with ${Object.keys(fault).join(' and ')} a change results in ${kind}`, async (t) => {
    const { publisher, objects, run } = await startStored();
    objects.setFaults(fault);
    const result = await run(publisher.put('x.toml', X1, EDIT));
    t.is(result.kind, kind);
    objects.setFaults({
      ...fault, staleReads: false, outage: false, latencyMs: 0,
    });
    t.is('x.toml' in await filesOf(publisher), written);
    if (result.kind !== 'unsettled') return;
    t.is((await publisher.outcomeOf(result.writeId)).unwrapOr(undefined) !== undefined, written);
  });
});

test('50 concurrent edits with lost answers and lost writes lose no accepted edit', async (t) => {
  const { objects, publisherOf, run } = await startStored();
  objects.setFaults({ lostAnswers: 0.2, lostWrites: 0.1, latencyMs: 10 });
  const edits = Array.from({ length: 50 }, (_, operator) => (
    publisherOf(operator).put(`m${operator}.toml`, model(`m${operator}`), EDIT)));
  const results = await run(Promise.all(edits));
  objects.setFaults({ lostAnswers: 0, lostWrites: 0, latencyMs: 0 });
  const files = await filesOf(publisherOf(99));
  const accepted = results.flatMap((end, operator) => (end.kind === 'accepted' ? [operator] : []));
  t.true(accepted.length >= 45, `${accepted.length} accepted`);
  t.deepEqual(accepted.filter((operator) => !(`m${operator}.toml` in files)), []);
  const revisions = results.flatMap((end) => (end.kind === 'accepted' ? [end.revision] : []));
  t.is(new Set(revisions).size, revisions.length);
  const refused = results
    .flatMap((end, operator) => (end.kind === 'unavailable' ? [operator] : []));
  t.deepEqual(refused.filter((operator) => `m${operator}.toml` in files), []);
});
