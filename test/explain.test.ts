/** Tests the timeline that `shallotshunt explain` reconstructs from instances' log lines. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { readLogLine } from '../src/cli/logline.js';
import type { Ending, Timeline } from '../src/cli/timeline.js';
import { formatFields } from '../src/common/log.js';
import type { LogFields } from '../src/common/log.js';
import { runAgainst } from './fakes/adminserver.js';
import { call, startEntry, post } from './fakes/entry.js';
import { eventually } from './fakes/eventually.js';
import { RecordedLog } from './fakes/recordedlog.js';

const UNREACHABLE = '127.0.0.1:1';
const START = Date.UTC(2026, 0, 1);

function line(instance: string, atMs: number, event: string, fields: LogFields = {}): string {
  const time = new Date(START + atMs).toISOString();
  return formatFields({
    time, level: 'info', event, instance, ...fields,
  });
}

async function logFile(t: ExecutionContext, text: string): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'shallotshunt-explain-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = join(directory, 'a.log');
  await writeFile(file, text);
  return file;
}

const REQUEST_LINES = [
  line('a-1', -60_000, 'configuration_in_force', { version: 3, before: 2 }),
  line('a-1', -50_000, 'server_reached', { server: 'e-1' }),
  line('a-1', -900, 'store_lost', { kind: 'servers' }),
  line('a-1', 0, 'route', { request: 'r1', server: 'e-1', standby: 'e-2' }),
  line('a-1', 5, 'route', { request: 'r2', server: 'e-3' }),
  line('a-1', 700, 'server_suspected', { server: 'e-1', reason: 'read ECONNRESET' }),
  line('a-1', 701, 'attempt_failed', { request: 'r1', server: 'e-1', reason: 'a b="c"' }),
  line('a-1', 702, 'server_suspected', { server: 'e-9' }),
  line('a-1', 710, 'route', { request: 'r1', server: 'e-2' }),
  line('a-1', 730, 'resumed', { request: 'r1', pause_ms: 30 }),
  line('a-1', 4_000, 'answered', {
    request: 'r1', status: 200, whole: true, ms: 4_001,
  }),
  line('a-1', 90_000, 'server_suspected', { server: 'e-2' }),
];

const OTHER_INSTANCES = [
  line('b-1', 650, 'server_suspected', { server: 'e-1', reason: 'not reached' }),
  line('c-1', 650, 'started'),
];

async function explainAsJson(
  request: string,
  files: readonly string[],
  input = '',
): Promise<{ readonly timeline: Timeline; readonly read: unknown; readonly code: number }> {
  const { code, out } = await runAgainst(UNREACHABLE, [
    'explain', request, '--json', ...files.flatMap((file) => ['--log', file])], {}, input);
  const timeline = JSON.parse(out) as Timeline & { readonly read: unknown };
  return { timeline, read: timeline.read, code };
}

test('a parsed line equals the line that was written', (t) => {
  const fields = {
    plain: 'x', spaced: 'a b', quoted: 'say "no"', empty: '', number: '7', equals: 'a=b',
  };
  const read = readLogLine(`collector[7]: ${line('a-1', 12, 'route', fields)}`);
  t.deepEqual(read, {
    atMs: START + 12, level: 'info', event: 'route', instance: 'a-1', fields,
  });
});

const UNREADABLE: readonly (readonly [string, string])[] = [
  ['empty', ''],
  ['another format', 'GET / 200'],
  ['truncated in a quoted value', line('a', 0, 'refuse', { reason: 'no engine' }).slice(0, -3)],
  ['truncated after a name', `${line('a', 0, 'route')} server=`],
  ['an invalid time', 'time=soon level=info event=route instance=a'],
  ['binary data', '\u0000\ufffd\ufffd'],
];

UNREADABLE.forEach(([name, text]) => {
  test(`a line that can't be read: ${name}`, (t) => {
    t.is(readLogLine(text), undefined);
  });
});

test('the timeline holds the request, its servers and the instance\'s state', async (t) => {
  const file = await logFile(t, `${REQUEST_LINES.join('\n')}\n${OTHER_INSTANCES.join('\n')}\n`);
  const { timeline, code } = await explainAsJson('r1', [file]);
  t.is(code, 0);
  t.deepEqual(timeline.instances.map(({ instance }) => instance), ['a-1']);
  const [{ lines, ending } = { lines: [], ending: undefined }] = timeline.instances;
  t.deepEqual(lines.map(({ offsetMs, event, own }) => [offsetMs, event, own]), [
    [-60_000, 'configuration_in_force', false],
    [-900, 'store_lost', false],
    [0, 'route', true],
    [700, 'server_suspected', false],
    [701, 'attempt_failed', true],
    [710, 'route', true],
    [730, 'resumed', true],
    [4_000, 'answered', true],
  ]);
  t.deepEqual(ending, { kind: 'answered', status: 200, ms: 4_001 });
  t.deepEqual(timeline.lost, [{ server: 'e-1', by: ['a-1', 'b-1'], notBy: ['c-1'] }]);
  t.deepEqual(timeline.notes, []);
});

test('the text shows the attempts, their reasons and the end', async (t) => {
  const input = [...REQUEST_LINES, 'not a log line', ...OTHER_INSTANCES].join('\n');
  const { code, out, errors } = await runAgainst(UNREACHABLE, ['explain', 'r1'], {}, input);
  t.is(code, 0);
  t.regex(out, /\+701 ms {2}the attempt was lost: server=e-1 reason="a b=\\"c\\""/);
  t.regex(out, /end: answered whole with 200 after 4001 ms/);
  t.regex(out, /server e-1 was lost by a-1, b-1; 1 other instances did not: c-1/);
  t.is(errors, '15 lines read, 1 of them not log lines\n');
});

const ENDINGS: readonly (readonly [string, readonly string[], Ending])[] = [
  ['refused', [
    line('a-1', 0, 'refuse', {
      request: 'r1', code: 'unavailable', ran: 'no', reason: 'no room', retry_after_ms: 900,
    }),
    line('a-1', 0, 'answered', {
      request: 'r1', status: 503, whole: true, ms: 1,
    }),
  ], {
    kind: 'refused', code: 'unavailable', ran: 'no', reason: 'no room', retryAfterMs: 900,
  }],
  ['broken off', [
    line('a-1', 0, 'answered', {
      request: 'r1', status: 200, whole: false, ms: 80,
    }),
  ], { kind: 'broken_off', status: 200, ms: 80 }],
  ['cut at the limit of a stop', [
    line('a-1', 0, 'open_answer', {
      state: 'finishing', request: 'r1', stage: 'running', age_ms: 10,
    }),
    line('a-1', 4_000, 'open_answer', {
      state: 'expired', request: 'r1', stage: 'answering', age_ms: 4_010,
    }),
  ], { kind: 'cut', stage: 'answering', ageMs: 4_010 }],
  ['open', [line('a-1', 0, 'route', { request: 'r1', server: 'e-1' })], { kind: 'open' }],
];

ENDINGS.forEach(([name, lines, ending]) => {
  test(`how a request ended: ${name}`, async (t) => {
    const { timeline, code } = await explainAsJson('r1', ['-'], lines.join('\n'));
    t.is(code, 0);
    t.deepEqual(timeline.instances[0]?.ending, ending);
  });
});

test('lines are grouped by instance, and clocks that differ or step are noted', async (t) => {
  const mixed = [
    line('a-1', 0, 'route', { request: 'r1', server: 'e-1' }),
    line('b-1', -3_000, 'route', { request: 'r1', server: 'e-2' }),
    line('a-1', -2_000, 'attempt_failed', { request: 'r1', server: 'e-1' }),
    line('b-1', -2_500, 'answered', {
      request: 'r1', status: 200, whole: true, ms: 500,
    }),
  ].join('\n');
  const { timeline } = await explainAsJson('r1', ['-'], mixed);
  t.deepEqual(timeline.instances.map(({ instance, lines }) => (
    [instance, lines.map(({ offsetMs, event }) => `${offsetMs} ${event}`)])), [
    ['a-1', ['0 route', '-2000 attempt_failed']],
    ['b-1', ['0 route', '500 answered']],
  ]);
  t.is(timeline.notes.length, 2);
  t.regex(timeline.notes[0]!, /more than one instance/);
  t.regex(timeline.notes[1]!, /the times of a-1 go back/);
});

test('an unknown request exits with 1 and prints the number of lines read', async (t) => {
  const file = await logFile(
    t,
    `${REQUEST_LINES.join('\n')}\ntime=2026-01-01T00:00:00.000Z level=in`,
  );
  const { code, out, errors } = await runAgainst(UNREACHABLE, ['explain', 'r9', '--log', file]);
  t.is(code, 1);
  t.is(out, '');
  t.is(errors, 'no line names the request r9; 13 lines read, 1 of them not log lines\n');
  const { timeline, code: jsonCode } = await explainAsJson('r9', [file]);
  t.is(jsonCode, 1);
  t.deepEqual(timeline.instances, []);
});

test('a missing file is named, and the exit code is 1', async (t) => {
  const { code, errors } = await runAgainst(UNREACHABLE, ['explain', 'r1', '/nowhere/a.log']);
  t.is(code, 1);
  t.regex(errors, /^\/nowhere\/a\.log can't be read: /);
});

test('every answer carries the request id under which its end is logged', async (t) => {
  const log = new RecordedLog();
  const { address, stop } = await startEntry({
    context: { log }, services: [(_, res) => res.end('stocked')],
  });
  t.teardown(stop);
  const replies = await Promise.all([
    post(address, '/v1/completions', { model: 'm', prompt: 'List', max_tokens: 2 }),
    post(address, '/v1/completions', { model: 'm' }),
    call(address, '/services/stock/pans'),
  ]);
  t.deepEqual(replies.map(({ status }) => status), [200, 400, 200]);
  const ids = replies.map(({ headers }) => String(headers['x-request-id']));
  t.is(new Set(ids).size, 3);
  await eventually(async () => log.of('answered').length === 3);
  replies.forEach(({ status }, index) => {
    const end = log.of('answered').find(({ request }) => request === ids[index]);
    t.like(end, { status, whole: true });
  });
});
