import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Result } from 'neverthrow';
import { firstValueFrom, take, toArray } from 'rxjs';
import { readConfiguration } from '../platform/configuration.js';
import { platformDialect } from '../platform/headers.js';
import { cacheQuery } from '../platform/cachedparts.js';
import { startQuery } from '../platform/report.js';
import { readServer } from '../platform/servers.js';
import { readPlatformSettings } from '../platform/settings.js';
import { PlatformStore } from '../platform/store.js';
import { formatFinding } from '../src/common/finding.js';
import { monotonicScheduler } from '../src/common/time.js';
import { DEFAULT_HEAD_LIMITS } from '../src/entry/httpserver.js';
import { createMemory } from '../src/relay/memorylimits.js';
import { RecordedLog } from './fakes/recordedlog.js';

const SETTINGS = `NodeName=front-a-1
Ip=10.1.0.19
Zone=a
Listen.Front=10.1.0.19:8740
Listen.Ready=10.1.0.19:8749
PortRange=7200,7215
Seeds=10.1.0.19:8748,10.2.0.13:8748
Bounds.GraceS=8
Bounds.RetryBudgetRatio=0.8
Platform.Address=10.200.1.7:8742
Something.New=1
`;

test('settings: known fields are read, unknown ones ignored', (t) => {
  const { settings, findings } = readPlatformSettings('s', SETTINGS);
  t.deepEqual(findings, []);
  t.like(settings, {
    name: 'front-a-1', peerPort: 7200, metricsPort: 7215, stopMs: 8_000, retryRatio: 0.8,
  });
  t.deepEqual(settings?.seeds, ['10.1.0.19', '10.2.0.13']);
});

test('settings: the memory and descriptors that the platform gives are not taken for more', (t) => {
  const limited = `${SETTINGS}Limits.MemoryMb=178\nLimits.MaxFds=2212\n`;
  const { settings } = readPlatformSettings('s', limited);
  t.like(settings, { memoryBytes: 178_000_000, descriptors: 2_012 });
  const { budget } = createMemory(settings!, {
    scheduler: monotonicScheduler, log: new RecordedLog(),
  });
  t.true(budget.capacity <= 17_000_000, `${budget.capacity}`);
  t.true(budget.hasRoomFor(4_194_304));
  const unlimited = readPlatformSettings('s', SETTINGS).settings;
  t.is(unlimited?.memoryBytes, undefined);
  t.is(unlimited?.descriptors, undefined);
});

test('settings: all errors are reported with their lines', (t) => {
  const wrong = SETTINGS.replace('Ip=10.1.0.19', 'Ip=ten').replace('Zone=a\n', '')
    .replace('GraceS=8', 'GraceS=x');
  const { settings, findings } = readPlatformSettings('s', `${wrong}nonsense\n`);
  t.is(settings, undefined);
  t.deepEqual(findings.map(formatFinding), [
    's:11:1 nonsense: not of the form name=value',
    's:1:1 Zone: missing; a name expected',
    's:2:1 Ip: an IP address expected',
    's:7:1 Bounds.GraceS: a number of at least 0 expected',
  ]);
});

test('settings: addresses and ports out of range are refused', (t) => {
  const wrong = SETTINGS.replace('Ip=10.1.0.19', 'Ip=10.1.0.256').replace(':8740', ':70000')
    .replace('7200,7215', '7200,70000');
  t.deepEqual(readPlatformSettings('s', wrong).findings.map(({ path }) => path), [
    'PortRange', 'Ip', 'Listen.Front',
  ]);
});

function valueOf<Value>(result: Result<Value, unknown>): Value {
  if (result.isErr()) throw new Error(JSON.stringify(result.error));
  return result.value;
}

const SPEC = {
  Version: 7,
  Routes: [
    {
      Name: 'r1',
      Hostname: 'h',
      PathPrefix: '/a/',
      Kind: 'streaming',
      Resumable: true,
      Service: 's',
    },
    {
      Name: 'r2',
      Hostname: 'h',
      PathPrefix: '/b/',
      Kind: 'unsafe',
      TrafficSplit: [{ Service: 's', Weight: 9 }],
    },
    {
      Name: 'r3', Hostname: 'h', PathPrefix: '/c/', Kind: 'streaming', Service: 's',
    },
  ],
  Services: [{
    Name: 's', HealthPath: '/health', Engine: { Slots: 4, KvCapacity: 100, Backups: true },
  }],
  Tenants: [{ Name: 'w', ApiKeys: ['k'] }],
};

test('configuration: the platform\'s fields are translated', (t) => {
  const configuration = valueOf(readConfiguration(SPEC));
  t.is(configuration.version, 7);
  t.deepEqual(configuration.routes.map(({ delivery, repeat }) => [delivery, repeat]), [
    ['events', 'safe'], ['whole', 'never'], ['events', 'never'],
  ]);
  t.deepEqual(configuration.routes[1]?.targets, [{ service: 's', weight: 9 }]);
  t.like(configuration.services.s?.engine, { slots: 4, memoryTokens: 100, standby: true });
  t.like(configuration.workspaces?.[0], { name: 'w', keys: ['k'] });
  t.deepEqual(configuration.heads, DEFAULT_HEAD_LIMITS);
});

test('configuration: limits on callers are read', (t) => {
  const Limits = {
    MaxBodyBytes: 9, MaxHeaderBytes: 8, HeaderTimeoutMs: 7, IdleTimeoutMs: 6,
  };
  const { maxBodyBytes, heads } = valueOf(readConfiguration({ ...SPEC, Limits }));
  t.is(maxBodyBytes, 9);
  t.deepEqual(heads, { maxHeaderBytes: 8, headerTimeoutMs: 7, idleTimeoutMs: 6 });
});

testProp('configuration and entries: arbitrary JSON is rejected', [fc.jsonValue()], (t, value) => {
  t.true(readConfiguration(value).isErr());
  t.is(readServer('i-1', value), undefined);
}, { numRuns: 300, seed: 51 });

const ENTRY = {
  Service: 's',
  Address: '10.0.0.1:80',
  Zone: 'a',
  Slots: 4,
  State: 'ready',
  born: 12,
  Version: 'v1.1',
  Models: [{ Version: 3 }],
};
const ENTRIES: readonly { name: string; change: object; read: object | undefined }[] = [
  {
    name: 'ready',
    change: {},
    read: {
      state: 'ready', startedAt: 12, software: 'v1.1', weights: 3,
    },
  },
  { name: 'without a version', change: { Version: undefined }, read: { software: undefined } },
  { name: 'with a version of another type', change: { Version: 1 }, read: undefined },
  { name: 'draining', change: { State: 'draining' }, read: { state: 'leaving' } },
  { name: 'with an unknown state', change: { State: 'asleep' }, read: undefined },
  { name: 'without an address', change: { Address: undefined }, read: undefined },
  { name: 'with an address of another type', change: { Address: 7 }, read: undefined },
  { name: 'with port 0', change: { Address: '10.0.0.1:0' }, read: undefined },
  { name: 'with the highest port', change: { Address: '10.0.0.1:65535' }, read: {} },
  { name: 'with a port out of range', change: { Address: '10.0.0.1:65536' }, read: undefined },
  { name: 'with a host out of range', change: { Address: '10.0.0.256:80' }, read: undefined },
  { name: 'with a fractional start time', change: { born: 1.5 }, read: undefined },
];
ENTRIES.forEach(({ name, change, read }) => {
  test(`entry: one ${name}`, (t) => {
    const server = readServer('i-1', { ...ENTRY, ...change });
    if (read) t.like(server, { id: 'i-1', ...read });
    else t.is(server, undefined);
  });
});

test('headers: reserved headers are replaced, others are forwarded', (t) => {
  const raw = ['Request-Id', 'r', 'Credential', 'k', 'Tenant', 'x', 'Kv-From', 'y', 'Hold', 'z',
    'Model', 'm', 'Deadline-Ms', '900', 'Prompt-Prefix', 'a:10,b:5', 'Token-Counts', '15,7',
    'Resumes', 'q'];
  t.deepEqual(platformDialect.readRequest(raw), {
    id: 'r',
    key: 'k',
    deadlineMs: 900,
    lastEvent: undefined,
    resumes: 'q',
    model: 'm',
    promptTokens: 15,
    outputTokens: 7,
    parts: [{ id: 'a', tokens: 10 }, { id: 'b', tokens: 5 }],
  });
  t.deepEqual(platformDialect.serverHeaders(raw, {
    server: 'i-1',
    deadlineMs: 812.7,
    workspace: 'w',
    priority: 1,
    lastEvent: 4,
    standby: '10.0.0.2:80',
    goOnFrom: { address: '10.0.0.3:80', run: 'r' },
  }), ['Request-Id', 'r', 'Model', 'm', 'Prompt-Prefix', 'a:10,b:5', 'Token-Counts', '15,7',
    'Resumes', 'q', 'Deadline-Ms', '812', 'Target-Instance', 'i-1', 'Tenant', 'w',
    'Request-Priority', '1', 'Last-Event-Id', '4',
    'Kv-Backup', '10.0.0.2:80', 'Kv-From', '10.0.0.3:80/r']);
});

test('headers: Retry-After of a server is read with status 503 only', (t) => {
  const pauseOf = (status: number, text: string) => (
    platformDialect.readResponse(status, ['Retry-After', text]).pauseMs);
  t.is(pauseOf(503, '1.5'), 1_500);
  t.is(pauseOf(503, 'Fri, 04 Dec 2026 12:00:00 GMT'), undefined);
  t.is(pauseOf(200, '4'), undefined);
});

test('headers: status 421 and Not-Executed mean that a request has not run', (t) => {
  t.true(platformDialect.readResponse(421, []).notRun);
  t.true(platformDialect.readResponse(503, ['Not-Executed', '1']).notRun);
  t.false(platformDialect.readResponse(503, []).notRun);
  t.is(platformDialect.retryAfter(250), '0.25');
});

const LIMITS: readonly (readonly [string, string | undefined, object])[] = [
  ['absent', undefined, { kind: 'none' }],
  ['below one', '0.4', { kind: 'rate', perSecond: 0.4 }],
  ['zero', '0', { kind: 'rate', perSecond: 0 }],
  ['padded', ' 12 ', { kind: 'rate', perSecond: 12 }],
  ['negative', '-1', { kind: 'unreadable', text: '-1' }],
  ['a word', 'few', { kind: 'unreadable', text: 'few' }],
  ['empty', '', { kind: 'unreadable', text: '' }],
];
LIMITS.forEach(([name, text, limit]) => {
  test(`headers: a server's rate limit is read: ${name}`, (t) => {
    const headers = text === undefined ? [] : ['Server-Limit', text];
    t.deepEqual(platformDialect.readResponse(200, headers).limit, limit);
  });
});

test('cached parts: an invalid list counts as empty', (t) => {
  t.deepEqual([...cacheQuery.read('{"held":[["","a",10,"m"]]}')], [['a', 10]]);
  t.is(cacheQuery.read('{"held":[[').size, 0);
});

test('reports: a start that is no whole number is not read', (t) => {
  t.is(startQuery.read('{"Stage":"both","born":12}'), 12);
  ['{"born":1.5}', '{"born":"12"}', '{}', '{"born":12'].forEach((body) => {
    t.is(startQuery.read(body), undefined);
  });
});

/** Status, body and the store's era, if the answer names one. */
type StoreAnswer = readonly [number, unknown] | readonly [number, unknown, number];

async function store(t: ExecutionContext, answers: readonly StoreAnswer[]) {
  const requests: string[] = [];
  const ports = new Set<number | undefined>();
  const server = createServer((req, res) => {
    ports.add(req.socket.remotePort);
    const [status, body, era] = answers[requests.length] ?? [500, {}];
    requests.push(req.url ?? '');
    const headers = era === undefined ? {} : { 'Store-Era': String(era) };
    res.writeHead(status, headers).end(JSON.stringify(body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const log = new RecordedLog();
  return {
    requests,
    ports,
    log,
    reader: PlatformStore.of(`127.0.0.1:${port}`, monotonicScheduler, log),
  };
}

function item(name: string, revision: number) {
  return { Metadata: { Name: name, Revision: revision }, Spec: { n: name } };
}

test('store: a listing reads all pages and has the first page\'s revision', async (t) => {
  const { requests, log, reader } = await store(t, [
    [200, { Items: [item('a', 3), 'nonsense'], MorePages: true, CurrentRev: 9 }],
    [200, { Items: [item('b', 4)], MorePages: false, CurrentRev: 11 }],
  ]);
  const listing = valueOf(await reader.list('servers'));
  t.deepEqual(listing, {
    version: 9,
    objects: [
      { name: 'a', version: 3, value: '{"n":"a"}' }, { name: 'b', version: 4, value: '{"n":"b"}' },
    ],
  });
  t.deepEqual(requests, ['/objects/servers', '/objects/servers?After=a']);
  t.like(log.of('store_object_unreadable'), [{ kind: 'servers' }]);
});

test('store: a page of objects without names does not end the listing', async (t) => {
  const { reader } = await store(t, [
    [200, { Items: [item('a', 3)], MorePages: true, CurrentRev: 9 }],
    [200, { Items: [null, { Spec: 1 }], MorePages: true, CurrentRev: 9 }],
  ]);
  t.like(await reader.list('servers').then((listing) => listing.isErr() && listing.error), {
    code: 'unavailable',
  });
});

test('store: a page that comes again ends the listing with an error', async (t) => {
  const page: [number, unknown] = [200, { Items: [item('a', 3)], MorePages: true, CurrentRev: 9 }];
  const { requests, reader } = await store(t, [page, page, page, page]);
  t.like(await reader.list('servers').then((listing) => listing.isErr() && listing.error), {
    code: 'unavailable',
  });
  t.is(requests.length, 2);
});

test('store: a name that is half a character does not end the listing', async (t) => {
  const { requests, reader } = await store(t, [
    [200, { Items: [item('a\ud800', 3)], MorePages: true, CurrentRev: 9 }],
    [200, { Items: [item('b', 4)], CurrentRev: 9 }],
  ]);
  t.is(valueOf(await reader.list('servers')).objects.length, 2);
  t.is(requests[1], '/objects/servers?After=a%EF%BF%BD');
});

test('store: an odd object at the end of a page hides none of the next', async (t) => {
  const { requests, reader } = await store(t, [
    [200, { Items: [item('a', 3), { Metadata: { Name: 'b' } }], MorePages: true, CurrentRev: 9 }],
    [200, { Items: [item('c', 4)], CurrentRev: 9 }],
  ]);
  const { objects } = valueOf(await reader.list('servers'));
  t.deepEqual(objects.map(({ name, value }) => [name, value]), [
    ['a', '{"n":"a"}'], ['b', 'null'], ['c', '{"n":"c"}'],
  ]);
  t.is(requests[1], '/objects/servers?After=b');
});

test('store: an odd event hides no other change', async (t) => {
  const { reader } = await store(t, [[200, {
    events: [null, 7, { Object: item('b', 10), Removed: 'yes' }, {}, { Object: item('a', 10) }],
    CurrentRev: 12,
  }]]);
  const events = await firstValueFrom(reader.watch('servers', 9).pipe(take(2), toArray()));
  t.like(events[1], { kind: 'put', object: { name: 'a' } });
});

test('store: a listing does not use a kept connection, which may be silent', async (t) => {
  const page: [number, unknown] = [200, { Items: [], CurrentRev: 9 }];
  const { ports, reader } = await store(t, [[200, { CurrentRev: 9 }], [404, {}], page, page]);
  const watch = firstValueFrom(reader.watch('servers', 9).pipe(toArray()));
  t.like(await watch.catch((error: unknown) => error), { code: 'not_found' });
  t.is(ports.size, 1);
  await reader.list('servers');
  await reader.list('servers');
  t.is(ports.size, 3);
});

test('store: a watch continues at the revision of the last call', async (t) => {
  const { requests, reader } = await store(t, [
    [200, { events: [{ Object: item('a', 10) }], CurrentRev: 12 }],
    [200, { events: [{ Object: item('a', 13), Removed: true }], CurrentRev: 13 }],
  ]);
  const events = await firstValueFrom(reader.watch('servers', 9).pipe(take(4), toArray()));
  t.deepEqual(events.map((event) => event.kind), ['opened', 'put', 'opened', 'delete']);
  t.regex(requests[0]!, /Watch=9&/);
  t.regex(requests[1]!, /Watch=12&/);
});

const ERRORS: readonly (readonly [number, string])[] = [
  [410, 'version_too_old'], [429, 'rate_limited'], [503, 'unavailable'], [200, 'unavailable'],
];
ERRORS.forEach(([status, code]) => {
  test(`store: status ${status} without a readable body is ${code}`, async (t) => {
    const { reader } = await store(t, [[status, {}]]);
    const first = firstValueFrom(reader.watch('servers', 9));
    const error = await first.catch((reason: unknown) => reason);
    t.like(error, { code });
  });
});

test('store: after a restore from a backup lower revisions are newer versions', async (t) => {
  const { requests, reader } = await store(t, [
    [200, { Items: [item('a', 30)], CurrentRev: 40 }, 1],
    [200, { Items: [item('a', 20)], CurrentRev: 22 }, 2],
    [200, { events: [{ Object: item('a', 23) }], CurrentRev: 23 }, 2],
  ]);
  const before = valueOf(await reader.list('servers'));
  const after = valueOf(await reader.list('servers'));
  t.true(after.version > before.version);
  t.true(after.objects[0]!.version > before.version);
  const events = await firstValueFrom(reader.watch('servers', after.version)
    .pipe(take(2), toArray()));
  t.regex(requests[2]!, /Watch=22&/);
  const [, change] = events;
  t.true(change?.kind === 'put' && change.object.version > after.version);
});

test('store: a watch across a restore from a backup needs a new listing', async (t) => {
  const { reader } = await store(t, [
    [200, { Items: [], CurrentRev: 40 }, 1],
    [200, { events: [{ Object: item('a', 41) }], CurrentRev: 41 }, 2],
  ]);
  const { version } = valueOf(await reader.list('servers'));
  const events = firstValueFrom(reader.watch('servers', version).pipe(toArray()));
  t.like(await events.catch((error: unknown) => error), { code: 'version_too_old' });
});

test('store: a listing across a restore from a backup is not used', async (t) => {
  const { reader } = await store(t, [
    [200, { Items: [item('a', 3)], MorePages: true, CurrentRev: 9 }, 1],
    [200, { Items: [item('b', 4)], CurrentRev: 8 }, 2],
  ]);
  t.like(await reader.list('servers').then((listing) => listing.isErr() && listing.error), {
    code: 'version_too_old',
  });
});
