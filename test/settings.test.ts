import test from 'ava';
import { formatFinding } from '../src/common/finding.js';
import { sha256 } from '../src/common/hash.js';
import { readSettings } from '../src/daemon/settings.js';

const PEERS = 'peers-key-0123456789';
const CURSORS = 'cursors-key-0123456789';

const LINES = [
  'name = "lis-1"',
  'zone = "lis-a"',
  '[listen]',
  'callers = "10.0.0.1:8080"',
  'peers = "10.0.0.1:8081"',
  'administrators = "10.0.0.1:8082"',
  '[platform]',
  'objects = "10.0.0.9:7700"',
  'instances = "http://10.0.0.9:7701/instances"',
  '[keys]',
  `peers = "${PEERS}"`,
  `cursors = "${CURSORS}"`,
];

function read(lines: readonly string[]) {
  return readSettings('daemon.toml', `${lines.join('\n')}\n`);
}

/** The findings about the settings with some lines replaced; lines count from 1. */
function findingsWith(changes: Readonly<Record<number, string>>): readonly string[] {
  return read(LINES.map((line, index) => changes[index + 1] ?? line)).findings.map(formatFinding);
}

test('omitted settings have their defaults', (t) => {
  const { settings, findings } = read(LINES);
  t.deepEqual(findings, []);
  t.is(settings!.log_level, 'info');
  t.is(settings!.advertise, '-');
  t.deepEqual(settings!.keys.administrators, []);
  t.deepEqual(settings!.stop, { balancer_lag: 5_000, limit: 900_000 });
});

test('all findings are reported together, each with its place', (t) => {
  const findings = findingsWith({
    1: 'nmae = "lis-1"', 4: 'callers = "balancer:http"', 11: 'peers = "short"', 6: '',
  });
  t.is(findings.length, 5, findings.join('\n'));
  t.true(findings.some((text) => /^daemon\.toml:1:1 nmae: .*"?name"?/.test(text)));
  t.true(findings.some((text) => text.startsWith('daemon.toml:4:')));
  t.true(findings.some((text) => text.startsWith('daemon.toml:11:')));
  t.true(findings.some((text) => /listen\.administrators: /.test(text)));
});

const INVALID_SETTINGS: readonly (readonly [string, Readonly<Record<number, string>>, RegExp])[] = [
  ['a name with a space', { 1: 'name = "lis 1"' }, /^daemon\.toml:1:1 name: /],
  ['a host name in place of an IP', { 8: 'objects = "store.example:7700"' }, /:8:1 platform\.obj/],
  ['an unknown log level', { 2: 'zone = "a"\nlog_level = "loud"' }, /log_level: .*debug/],
  ['the same address twice', { 5: 'peers = "10.0.0.1:8080"' }, /listen\.peers: must differ/],
  ['one key for peers and cursors', { 12: `cursors = "${PEERS}"` }, /keys\.cursors: must differ/],
  ['an administrator with the peers\' key', {
    12: `cursors = "${CURSORS}"\n[[keys.administrators]]\nname = "ana"\nkey_hash = "${
      sha256(PEERS)}"`,
  }, /:15:1 keys\.administrators.*key_hash: must not/],
  ['a stop limit shorter than the balancer\'s lag', {
    12: `cursors = "${CURSORS}"\n[stop]\nbalancer_lag = "10s"\nlimit = "5s"`,
  }, /:15:1 stop\.limit: must not be shorter/],
  ['a duration without a unit', { 12: `cursors = "${CURSORS}"\n[stop]\nlimit = "5"` }, /:14:1/],
  ['text that isn\'t TOML', { 3: '[listen' }, /^daemon\.toml:\d+:\d+ /],
];

INVALID_SETTINGS.forEach(([name, changes, expected]) => {
  test(`settings with ${name} are refused`, (t) => {
    const findings = findingsWith(changes);
    t.true(findings.some((text) => expected.test(text)), findings.join('\n'));
  });
});

test('no finding contains a key', (t) => {
  const findings = findingsWith({ 11: 'peers = "top secret"', 12: 'cursors = "top secret"' });
  t.is(findings.length, 2);
  t.false(findings.join().includes('top secret'));
});
