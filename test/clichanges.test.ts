import {
  mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { reportPublication } from '../src/cli/publication.js';
import { Terminal } from '../src/cli/terminal.js';
import type { Publication } from '../src/configuration/publisher.js';
import { administered, runAgainst } from './fakes/adminserver.js';

const BASE = '[deployment]\nname = "d"\nzones = ["a"]\n';

function model(name: string, version = '1'): string {
  return `[models.${name}]\nversion = "${version}"\n`;
}

async function folder(t: ExecutionContext, files: Readonly<Record<string, string>> = {}) {
  const directory = await mkdtemp(join(tmpdir(), 'shallotshunt-cli-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const write = (name: string, text: string) => writeFile(join(directory, name), text);
  await Promise.all(Object.entries(files).map(([name, text]) => write(name, text)));
  return { directory, write };
}

/** Two operators' folders, both based on the same revision. */
async function twoOperators(t: ExecutionContext) {
  const daemon = await administered(t);
  const first = await folder(t, { 'base.toml': BASE, 'm.toml': model('m') });
  t.is((await daemon.tool('apply', first.directory)).code, 0);
  const second = await folder(t);
  t.is((await daemon.tool('pull', second.directory)).code, 0);
  return { ...daemon, ana: first, bela: second };
}

test('changes of two operators to different files are merged', async (t) => {
  const { tool, ana, bela } = await twoOperators(t);
  await ana.write('x.toml', model('x'));
  await bela.write('y.toml', model('y'));
  t.is((await tool('apply', ana.directory)).code, 0);
  const merged = await tool('apply', bela.directory);
  t.is(merged.code, 0);
  t.regex(merged.out, /kept the changes of others to x\.toml/);
  t.is(await readFile(join(bela.directory, 'x.toml'), 'utf8'), model('x'), 'on disk as well');
  await bela.write('y.toml', model('y', '2'));
  t.is((await tool('apply', bela.directory)).code, 0, 'the folder is based on the merged revision');
  await tool('pull', bela.directory);
  const names = (await readdir(bela.directory)).filter((name) => name.endsWith('.toml'));
  t.deepEqual(names.sort(), ['base.toml', 'm.toml', 'x.toml', 'y.toml']);
});

test('the second of two changes to one file is refused and names the first', async (t) => {
  const {
    tool, address, ana, bela,
  } = await twoOperators(t);
  await ana.write('m.toml', model('m', '2'));
  await bela.write('m.toml', model('m', '3'));
  t.is((await tool('apply', ana.directory)).code, 0);
  const refused = await runAgainst(address, ['apply', bela.directory], {
    SHALLOTSHUNT_OPERATOR: 'bela',
  });
  t.is(refused.code, 3);
  t.regex(refused.errors, /conflict: m\.toml was changed by chief\/ana in revision/);
  await tool('pull', bela.directory);
  t.is(await readFile(join(bela.directory, 'm.toml'), 'utf8'), model('m', '2'));
});

test('an empty folder is applied only with --allow-empty', async (t) => {
  const { tool } = await twoOperators(t);
  const { directory } = await folder(t);
  const refused = await tool('apply', directory, '--base', '1');
  t.is(refused.code, 1);
  t.regex(refused.errors, /--allow-empty/);
  t.is((await tool('apply', directory, '--base', '1', '--allow-empty')).code, 0);
});

test('a folder with an unknown base revision is not applied', async (t) => {
  const { tool } = await twoOperators(t);
  const { directory } = await folder(t, { 'z.toml': model('z') });
  const { code, errors } = await tool('apply', directory);
  t.is(code, 2);
  t.regex(errors, /pull first/);
});

test('a folder with errors is refused, and every finding is printed', async (t) => {
  const { tool, ana } = await twoOperators(t);
  await ana.write('bad.toml', 'nothing = 1\nneither = 2\n');
  const { code, errors } = await tool('apply', ana.directory);
  t.is(code, 1);
  t.regex(errors, /bad\.toml:1:1 nothing/);
  t.regex(errors, /bad\.toml:2:1 neither/);
});

test('put, diff, remove and history report changes and their author', async (t) => {
  const { tool, ana } = await twoOperators(t);
  await ana.write('x.toml', model('x'));
  t.regex((await tool('diff', ana.directory)).out, /^added {4}x\.toml$/m);
  t.is((await tool('put', join(ana.directory, 'x.toml'))).code, 0);
  t.is((await tool('diff', ana.directory)).out, 'no change\n');
  t.is((await tool('remove', 'x.toml')).code, 0);
  t.is((await tool('remove', 'x.toml')).code, 1);
  const history = await tool('history', '--json');
  const entries = JSON.parse(history.out) as { who: string; writeId: string; revision: number }[];
  t.deepEqual(entries.map(({ who }) => who), ['chief/ana', 'chief/ana', 'chief/ana']);
  const outcome = await tool('outcome', entries[0]!.writeId);
  t.is(outcome.code, 0);
  t.regex(outcome.out, new RegExp(`accepted as revision ${entries[0]!.revision}`));
  t.is((await tool('outcome', 'never-written')).code, 1);
});

test('a change is accepted once if the store\'s answer is lost', async (t) => {
  const { tool, objects, ana } = await twoOperators(t);
  await ana.write('x.toml', model('x'));
  objects.setFaults({ lostAnswers: 1 });
  const { code, out } = await tool('apply', ana.directory);
  t.is(code, 0, out);
  const entries = JSON.parse((await tool('history', '--json')).out) as unknown[];
  t.is(entries.length, 2);
});

test('apply --wait prints the progress and returns once the change is in force', async (t) => {
  const { tool, instance, ana } = await twoOperators(t);
  await ana.write('x.toml', model('x'));
  const { code, out } = await tool('apply', ana.directory, '--wait');
  t.is(code, 0);
  t.regex(out, /lis-1: revision \d+ in force/);
  t.truthy(instance.configuration.models.x);
});

test('apply --wait names the instances on which the change isn\'t in force in time', async (t) => {
  const { tool, objects, ana } = await twoOperators(t);
  await ana.write('x.toml', model('x'));
  objects.setFaults({ silentWatches: true, staleReads: false });
  const { code, errors } = await tool('apply', ana.directory, '--wait', '--wait-limit', '0');
  t.is(code, 4);
  t.regex(errors, /lis-1 still works by revision \d+/);
});

test('a drained backend server stays drained across edits, until undrain', async (t) => {
  const { tool, ana, instance } = await twoOperators(t);
  const server = (name: string, port: number) => (
    `[servers.${name}]\naddress = "10.0.0.1:${port}"\nzone = "a"\npool = "p"\n`);
  await ana.write('s.toml', `[pools.p]\nkind = "service"\n${server('s1', 1)}${server('s2', 2)}`);
  const applied = await tool('apply', ana.directory, '--wait');
  t.is(applied.code, 0, applied.errors);
  const drained = async (edit: string) => {
    await ana.write('x.toml', `# ${edit}\n`);
    t.is((await tool('apply', ana.directory, '--wait')).code, 0);
    const { servers } = instance.configuration;
    return [servers.s1!.drained, servers.s2!.drained];
  };
  t.is((await tool('drain', 's1')).code, 0);
  t.is((await tool('drain', 's2')).code, 0);
  t.deepEqual(await drained('one edit'), [true, true]);
  t.is((await tool('undrain', 's1')).code, 0);
  t.deepEqual(await drained('another edit'), [false, true]);
});

const ERROR = { code: 'ambiguous', message: 'reset' } as const;
const PUBLICATIONS: readonly (readonly [Publication, number])[] = [
  [{
    kind: 'accepted', revision: 2, taken: [], findings: [],
  }, 0],
  [{ kind: 'unchanged', revision: 2 }, 0],
  [{ kind: 'conflict', conflicts: [] }, 3],
  [{ kind: 'base_unknown', base: 1, current: 900 }, 3],
  [{ kind: 'invalid', findings: [] }, 1],
  [{ kind: 'empty' }, 1],
  [{ kind: 'no_such_file', file: 'a.toml' }, 1],
  [{ kind: 'too_large', bytes: 2_000_000 }, 1],
  [{ kind: 'unavailable', error: ERROR }, 4],
  [{ kind: 'unsettled', writeId: 'w-17', error: ERROR }, 4],
];

PUBLICATIONS.forEach(([publication, expected]) => {
  test(`a change that ends as ${publication.kind} exits with ${expected}`, (t) => {
    const texts: string[] = [];
    const output = { write: (text: string) => texts.push(text) };
    t.is(reportPublication(Terminal.of(output, output, false), publication), expected as never);
    if (publication.kind === 'unsettled') t.regex(texts.join(), /shallotshunt outcome w-17/);
    const json: string[] = [];
    const forScripts = { write: (text: string) => json.push(text) };
    reportPublication(Terminal.of(forScripts, { write: () => undefined }, true), publication);
    t.deepEqual(JSON.parse(json.join('')), publication);
  });
});
