import { readFile } from 'node:fs/promises';
import test from 'ava';
import { fc, testProp } from '@fast-check/ava';
import { formatFinding } from '../src/common/finding.js';
import { checkFolder, explain } from '../src/configuration/check.js';
import type { Folder } from '../src/configuration/check.js';
import { DEFAULT_LIMITS, DEFAULT_PLACEMENT } from '../src/configuration/defaults.js';
import { configurationPage, EXAMPLE_FILE } from '../src/configuration/page.js';

const BASE = `[deployment]
name = "lisbon"
zones = ["lis-a"]
`;

/** The formatted findings of a folder with a valid base file and `text` in a second file. */
function findings(text: string, rest: Folder = {}): readonly string[] {
  return checkFolder({ 'a.toml': BASE, 'b.toml': text, ...rest }).findings.map(formatFinding);
}

const POOL = '[pools.p]\n[servers.s]\naddress="10.0.0.1:80"\nzone="lis-a"\npool="p"\n';

const cases: readonly [string, readonly string[]][] = [
  ['[model.x]', ['b.toml:1:2 model: is not known; did you mean models?']],
  [
    '[models.x]\nversion="1"\nmax_token=5',
    [
      'b.toml:1:9 models.x: no pool may hold it',
      'b.toml:3:1 models.x.max_token: is not known; did you mean max_tokens?',
    ],
  ],
  [
    '[placement]\nlease="5"\nloads_per_minute="many"',
    [
      'b.toml:2:1 placement.lease: must be a duration from "1s" to "5m", in ms, s, m or h',
      'b.toml:3:1 placement.loads_per_minute: must be a number from 0.1 to 10000',
    ],
  ],
  [
    'limits.caller_buffer = "99GiB"',
    [
      'b.toml:1:8 limits.caller_buffer: '
      + 'must be a size from "1KiB" to "16MiB", in B, KiB, MiB, GiB or TiB',
    ],
  ],
  ['limits = 3', ['b.toml:1:1 limits: must be a table']],
  ['a = ', ['b.toml:1:5 syntax: Unspecified values are invalid']],
  ['a = 1\na = 2', ['b.toml:2:1 syntax: Defining a key multiple times is invalid']],
  ['__proto__ = 1', ['b.toml:1:1 syntax: is not allowed as a key', 'b.toml:1:1 proto: is not known;'
    + ' known: deployment, models, pools, servers, services, workspaces, limits, placement']],
  [
    `${POOL}[workspaces.w]\nkey_hashes=["abc"]\nmodels=["none"]\n`,
    [
      'b.toml:7:13 workspaces.w.key_hashes[0]: '
      + 'must be an SHA-256 as 64 hexadecimal digits in lower case',
      'b.toml:8:9 workspaces.w.models[0]: no model none; none is known',
    ],
  ],
  [
    `${POOL}[servers.t]\naddress="10.0.0.1:80"\nzone="lis-b"\npool="q"\n`,
    [
      'b.toml:7:1 servers.t.address: is the same as that of servers.s',
      'b.toml:8:1 servers.t.zone: no availability zone lis-b; did you mean lis-a?',
      'b.toml:9:1 servers.t.pool: no pool q; did you mean p?',
    ],
  ],
  [
    `${POOL}[services.x]\npool="p"\n[[services.x.routes]]\ntimeout="1s"\nmethod=["GET"]\n`,
    [
      'b.toml:7:1 services.x.pool: pool p holds engines; must be a pool of kind "service"',
      'b.toml:10:1 services.x.routes[0].method: is not known; did you mean methods?',
    ],
  ],
  [
    'placement.order_timeout = "9s"',
    ['b.toml:1:11 placement.order_timeout: order_timeout must be shorter than lease'],
  ],
  ['[pools.p]', ['b.toml:1:8 pools.p: has no backend servers']],
  [
    'deployment.name = "lisbon"',
    ['b.toml:1:12 deployment.name: is already the same at a.toml:2'],
  ],
  [
    '[[models]]',
    ['b.toml:1:3 models: must be a table'],
  ],
];

cases.forEach(([text, expected]) => {
  test(`findings of ${JSON.stringify(text.slice(-50))}`, (t) => {
    t.deepEqual(findings(text), expected);
  });
});

test('findings of all files are reported together, including a file that fails to parse', (t) => {
  const found = findings('x = 1', { 'c.toml': '[', 'bad name.toml': '', 'd.toml': 'y = 1' });
  t.is(found.length, 4);
  t.deepEqual(found.map((line) => line.split(':')[0]), [
    'b.toml', 'bad name.toml', 'c.toml', 'd.toml',
  ]);
});

test('later files override key by key, and removing one restores the earlier values', (t) => {
  const folder = { 'a.toml': BASE, 'b.toml': 'deployment.favour = "resources"' };
  t.is(checkFolder(folder, 7).configuration?.deployment.favour, 'resources');
  t.is(checkFolder(folder, 7).configuration?.deployment.name, 'lisbon');
  t.is(checkFolder({ 'a.toml': BASE }).configuration?.deployment.favour, 'latency');
  const early = { ...folder, '0.toml': 'deployment.favour = "latency"' };
  t.is(checkFolder(early).configuration?.deployment.favour, 'resources');
});

test('explain gives the file that sets a value and the values that it overrides', (t) => {
  const check = checkFolder({ 'a.toml': BASE, 'b.toml': '[deployment]\nname = "porto"' });
  t.like(explain(check, 'deployment.name')[0], {
    value: '"porto"',
    place: { file: 'b.toml', line: 2, column: 1 },
    hidden: [{ value: '"lisbon"', place: { file: 'a.toml', line: 2, column: 1 } }],
  });
  t.is(explain(check, 'deployment').length, 2);
  t.like(explain(check, 'placement.lease')[0], { place: undefined, fallback: '"6s"' });
  t.deepEqual(explain(check, 'nothing'), []);
});

test('a minimal folder has the defaults, and lookups by name ignore Object.prototype', (t) => {
  const { configuration } = checkFolder({ 'a.toml': BASE });
  t.deepEqual(configuration?.limits, DEFAULT_LIMITS);
  t.deepEqual(configuration?.placement, DEFAULT_PLACEMENT);
  t.is(configuration?.models.constructor, undefined);
});

test('a route without repeat allows only GET and HEAD requests to be repeated', (t) => {
  const text = `${POOL}[pools.s]\nkind="service"\n[servers.x]\naddress="10.0.0.2:80"
zone="lis-a"\npool="s"\n[services.stock]\npool="s"\n[[services.stock.routes]]
path="/r"\nmethods=["GET","POST"]\n[[services.stock.routes]]\nrepeat="safe"`;
  const { configuration } = checkFolder({ 'a.toml': BASE, 'b.toml': text });
  t.deepEqual(
    configuration?.services.stock?.routes.map(({ path, methods, repeat }) => (
      [path, methods.join(), repeat])),
    [['/r', 'GET', 'safe'], ['/r', 'POST', 'never'], ['/', '', 'safe']],
  );
  const withoutRoutes = text.split('[[')[0]!;
  const defaultRoutes = checkFolder({ 'a.toml': BASE, 'b.toml': withoutRoutes }).configuration;
  t.deepEqual(
    defaultRoutes?.services.stock?.routes.map(({ methods, repeat }) => [methods.join(), repeat]),
    [['GET,HEAD', 'safe'], ['', 'never']],
  );
});

test('the page matches the schema, and its example is valid', async (t) => {
  const page = await readFile(new URL('../docs/CONFIGURATION.md', import.meta.url), 'utf8');
  t.is(page, configurationPage());
  t.deepEqual(checkFolder({ 'a.toml': EXAMPLE_FILE }).findings, []);
});

const fragment = fc.constantFrom(
  '[',
  ']',
  '[[',
  ']]',
  '=',
  '.',
  '"',
  '\n',
  '{',
  '}',
  ',',
  '__proto__',
  'models',
  'deployment',
  'constructor',
  '1e999',
  'nan',
  '1979-05-27',
  'true',
  '"x"',
  '[]',
  'name',
  'routes',
  'services',
  '\u0000',
  '99999999999999999999',
);

testProp(
  'the check accepts or rejects any file and never throws',
  [fc.oneof(fc.string(), fc.array(fragment).map((parts) => parts.join('')))],
  (t, text) => {
    const check = checkFolder({ 'a.toml': BASE, 'b.toml': text });
    t.is(check.configuration === undefined, check.findings.some((f) => f.severity === 'error'));
  },
  { numRuns: 2_000, seed: 11 },
);

test('deep nesting and oversized files are reported as findings', (t) => {
  const deep = `a = ${'['.repeat(50_000)}${']'.repeat(50_000)}`;
  t.regex(findings(deep)[0]!, /^b\.toml:\d+:\d+ syntax:/);
  t.regex(findings(`a = "${'x'.repeat(300_000)}"`)[0]!, /is larger than 262144 bytes/);
});
