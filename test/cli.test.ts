import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { runAgainst } from './fakes/adminserver.js';

/** An address on which nothing listens. */
const UNREACHABLE = '127.0.0.1:1';
const COMMANDS = [
  'check', 'apply', 'put', 'remove', 'pull', 'diff', 'history', 'outcome', 'status', 'instances',
  'revisions', 'engines', 'lease', 'queues', 'workspaces', 'why', 'drain', 'undrain',
  'explain',
];

async function folder(
  t: ExecutionContext,
  files: Readonly<Record<string, string>>,
): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'shallotshunt-cli-'));
  t.teardown(() => rm(directory, { recursive: true }));
  await Promise.all(Object.entries(files)
    .map(([name, text]) => writeFile(join(directory, name), text)));
  return directory;
}

const MODELS = {
  '10-base.toml': '[deployment]\nname = "d"\nzones = ["a"]\n[models.m]\nversion = "1"\n',
  '20-later.toml': '[models.m]\nversion = "2"\n',
};

test('help lists every command, and every command has its own help', async (t) => {
  const { code, out } = await runAgainst(UNREACHABLE, ['--help']);
  t.is(code, 0);
  COMMANDS.forEach((name) => t.regex(out, new RegExp(`^  ${name} `, 'm')));
  await Promise.all(COMMANDS.map(async (name) => {
    const help = await runAgainst(UNREACHABLE, [name, '--help']);
    t.is(help.code, 0);
    t.true(help.out.startsWith(`usage: shallotshunt ${name}`));
  }));
});

const INVALID_COMMAND_LINES: readonly (readonly string[])[] = [
  ['frobnicate'], ['check'], ['put', 'a', 'b'], ['status', '--frob'], ['explain'],
  ['apply', '.', '--base'],
  ['remove', 'a.toml', '--base', 'x'], ['remove', 'a.toml', '--base=-1'],
  ['put', 'a.toml', '--wait', '--wait-limit', 'soon'],
];

INVALID_COMMAND_LINES.forEach((args) => {
  test(`\`${args.join(' ')}\` is an invalid command line`, async (t) => {
    const { code, out, errors } = await runAgainst(UNREACHABLE, args);
    t.is(code, 2);
    t.is(out, '');
    t.not(errors, '');
  });
});

test('a command line without a daemon or a key is invalid', async (t) => {
  const missing = [{ SHALLOTSHUNT_DAEMON: undefined }, { SHALLOTSHUNT_KEY: undefined }];
  const codes = await Promise.all(missing.map(async (environment) => (
    await runAgainst(UNREACHABLE, ['status'], environment as never)).code));
  t.deepEqual(codes, [2, 2]);
});

test('a refused connection is reported as not done', async (t) => {
  const { code, errors } = await runAgainst(UNREACHABLE, ['status']);
  t.is(code, 4);
  t.regex(errors, /not done: no daemon/);
});

test('check prints every finding with its place and exits with 1', async (t) => {
  const text = 'modles.m.version = "1"\n[deployment]\nname = 3\n';
  const directory = await folder(t, { 'a.toml': text });
  const { code, errors } = await runAgainst(UNREACHABLE, ['check', directory]);
  t.is(code, 1);
  t.regex(errors, /error: a\.toml:1:1 modles: .*models/);
  t.regex(errors, /error: a\.toml:3:1 deployment\.name: /);
});

test('check --json prints the findings as JSON', async (t) => {
  const directory = await folder(t, { 'a.toml': 'x = 1\n' });
  const { code, out } = await runAgainst(UNREACHABLE, ['check', directory, '--json']);
  t.is(code, 1);
  t.deepEqual((JSON.parse(out) as { path: string }[]).map(({ path }) => path).includes('x'), true);
});

test('check --explain names the file that sets a value and the value that it hides', async (t) => {
  const directory = await folder(t, MODELS);
  const { code, out } = await runAgainst(
    UNREACHABLE,
    ['check', directory, '--explain', 'models.m.version'],
  );
  t.is(code, 0);
  t.regex(out, /models\.m\.version = "?2"? \(20-later\.toml:2:1\)/);
  t.regex(out, /hides "?1"? from 10-base\.toml:5/);
});

test('a folder that cannot be read is refused with the reason', async (t) => {
  const { code, errors } = await runAgainst(UNREACHABLE, ['check', '/nowhere/at/all']);
  t.is(code, 1);
  t.regex(errors, /ENOENT/);
});
