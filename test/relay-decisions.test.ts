import { fc, testProp } from '@fast-check/ava';
import test from 'ava';
import {
  recordMembers, EMPTY_WINDOW, recordRequest, recordRetry, retriesLeft,
} from '../src/limits/retrywindow.js';
import {
  areAllThrottled, hasCapacity, selectEngine, selectServer, selectStandby,
} from '../src/relay/selection.js';
import type { Candidate, RunDemand } from '../src/relay/selection.js';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { Connections } from '../src/relay/connections.js';
import { Meter } from '../src/relay/meter.js';
import { Fleet } from '../src/relay/fleet.js';
import { VirtualClock } from './fakes/clock.js';
import { testDialect } from './fakes/relaydialect.js';
import { EventSplitter } from '../src/relay/eventsplitter.js';
import { cachedTokens } from '../src/relay/cachedprompts.js';
import { decodeMessage, encodeMessage, MAX_MESSAGE_BYTES } from '../src/relay/peermessage.js';
import { restartedEntry } from '../src/relay/release.js';
import { classifyResponse } from '../src/relay/responseclass.js';
import type { ResponseClass } from '../src/relay/responseclass.js';
import { pickTarget } from '../src/relay/requesthead.js';
import { RouteTable } from '../src/relay/routes.js';
import {
  isUsable, markReached, markSuspect, NO_LOAD, sameProcess, serverState, withEntry, withOutcome,
} from '../src/relay/serverstate.js';
import type { Load, ServerState } from '../src/relay/serverstate.js';
import { isOverdue, nextAction } from '../src/relay/silence.js';
import { relayConfiguration, ROUTES } from './fakes/relay.js';

const CAPACITY = {
  slots: 4, memoryTokens: 1_000, standby: true,
};
const DEMAND: RunDemand = { promptTokens: 80, outputTokens: 20, zone: 'a' };

function server(id: string, zone = 'a', change: Partial<ServerState> = {}): ServerState {
  return {
    ...serverState({
      id,
      service: 's',
      address: '1.2.3.4:5',
      zone,
      state: 'ready',
      slots: 4,
      startedAt: 1,
      software: 'v1',
      weights: 1,
    }),
    ...change,
  };
}

function candidate(
  id: string,
  load: Partial<Load> = {},
  change: Partial<Candidate> & { zone?: string } = {},
): Candidate {
  return {
    server: server(id, change.zone),
    load: { ...NO_LOAD, ...load },
    zoneSuspect: false,
    isLimited: false,
    delayMs: 0,
    ...change,
  };
}

const ENGINES: readonly {
  name: string;
  candidates: readonly Candidate[];
  demand?: Partial<RunDemand>;
  chosen: string | undefined;
}[] = [
  {
    name: 'the engine with the fewest tokens to prefill is selected',
    candidates: [candidate('e1', { prefillTokens: 4_000 }), candidate('e2', { running: 2 })],
    chosen: 'e2',
  },
  {
    name: 'an engine with free slots but too little memory is skipped',
    candidates: [
      candidate('e1', { memoryTokens: 900 }),
      candidate('e2', { running: 3, prefillTokens: 500 }),
    ],
    chosen: 'e2',
  },
  {
    name: 'standby copies count as used memory',
    candidates: [candidate('e1', { standby: 900 }), candidate('e2', { prefillTokens: 500 })],
    chosen: 'e2',
  },
  {
    name: 'a server in a zone with a recent failure is selected last',
    candidates: [
      candidate('e1', {}, { zoneSuspect: true }),
      candidate('e2', { prefillTokens: 4_000 }),
    ],
    chosen: 'e2',
  },
  {
    name: 'cached tokens need no prefill',
    candidates: [candidate('e1'), candidate('e2', { running: 1 })],
    demand: { promptTokens: 800, cachedTokens: (id) => (id === 'e2' ? 800 : 0) },
    chosen: 'e2',
  },
  { name: 'none has capacity', candidates: [candidate('e1', { running: 4 })], chosen: undefined },
];
ENGINES.forEach(({
  name, candidates, demand, chosen,
}) => {
  test(`engine: ${name}`, (t) => {
    const choice = selectEngine(candidates, { ...DEMAND, ...demand }, CAPACITY, 0);
    t.is(choice?.server.entry.id, chosen);
  });
});

testProp('engine: one is selected if any has capacity, and it has', [
  fc.array(fc.record({ running: fc.nat(6), memoryTokens: fc.nat(1_200), standby: fc.nat(600) })),
], (t, loads) => {
  const candidates = loads.map((load, index) => candidate(`e${index}`, load));
  const chosen = selectEngine(candidates, DEMAND, CAPACITY, 0);
  const anyHasCapacity = candidates.some((one) => hasCapacity(one, DEMAND, CAPACITY));
  t.is(chosen !== undefined, anyHasCapacity);
  if (chosen) t.true(hasCapacity(chosen, DEMAND, CAPACITY));
}, { numRuns: 200, seed: 41 });

test('standby: prefers another zone and never selects the run\'s own engine', (t) => {
  const [primary, near] = [candidate('e1'), candidate('e2')];
  const far = candidate('e3', { memoryTokens: 500 }, { zone: 'b' });
  const chosen = (candidates: readonly Candidate[]) => (
    selectStandby(candidates, DEMAND, CAPACITY, primary.server)?.server.entry.id);
  t.is(chosen([primary, near, far]), 'e3');
  t.is(chosen([primary, near]), 'e2');
  t.is(chosen([primary]), undefined);
});

test('service: a failing server is skipped and retried later', (t) => {
  const failing = { ...candidate('s1'), server: withOutcome(server('s1'), true, undefined, 0) };
  const busy = candidate('s2', { running: 3 });
  t.is(selectServer([failing, busy], 'a', 0)?.server.entry.id, 's2');
  t.is(selectServer([failing, busy], 'a', 60_000)?.server.entry.id, 's1');
});

test('server: suspect and expired servers are not usable', (t) => {
  const up = server('e1');
  t.true(isUsable(up, 0));
  t.false(isUsable(markSuspect(up, 'reset', 0), 0));
  t.true(isUsable(markReached(markSuspect(up, 'reset', 0)), 0));
  t.false(isUsable({ ...up, expiresAt: 10 }, 10));
  t.true(isUsable({ ...up, expiresAt: 10 }, 9));
});

test('fleet: load assigned to an earlier incarnation does not count for a later one', (t) => {
  const fleet = Fleet.of({
    scheduler: new VirtualClock(),
    random: Random.of(1),
    log: silentLog,
    connections: Connections.of(Meter.of()),
    dialect: testDialect,
    healthPath: () => undefined,
    reuseAfterMs: 0,
    admission: () => ({ isLimited: false, delayMs: 0 }),
    peerLoads: () => [],
    onRestart: () => undefined,
    onUrgentChange: () => undefined,
  });
  const serverEntry = server('e1').entry;
  fleet.upsert(serverEntry, 'store');
  const assignment = fleet.assign('e1', { ...NO_LOAD, standby: 100 });
  fleet.upsert({ ...serverEntry, address: '1.2.3.4:6' }, 'store');
  assignment.release();
  t.deepEqual(fleet.server('e1')?.ownLoad, NO_LOAD);
});

test('server: a leaving server stays so until a restart, which resets its state', (t) => {
  const before = server('e1', 'a', { ownLoad: { ...NO_LOAD, running: 3 } });
  const leaving = withEntry(before, { ...before.entry, state: 'leaving' });
  t.is(withEntry(leaving, before.entry).entry.state, 'leaving');
  const again = withEntry(leaving, { ...before.entry, startedAt: 2 });
  t.is(again.entry.state, 'ready');
  t.is(again.ownLoad.running, 0);
  t.is(withEntry(again, before.entry), again);
});

// Evidence of crashes compares entries as they were and as they are.
test('server: one whose entry is read late counts as another process', (t) => {
  const listed = { ...server('e1').entry, startedAt: 2, software: 'v2' };
  const found = restartedEntry(server('e1').entry, 2);
  t.true(sameProcess(found, listed));
  t.true(sameProcess(listed, found));
  t.false(sameProcess(server('e1').entry, found));
});

const STREAM = {
  startedAt: 0, eventAt: undefined, expectedFirstMs: 1_000, pauseObjectiveMs: 700, hasStandby: true,
};
const SILENCES: readonly { name: string; change: object; at: number; moves: boolean }[] = [
  {
    name: 'a first event within its margin is not overdue', change: {}, at: 2_500, moves: false,
  },
  {
    name: 'a later first event moves the stream', change: {}, at: 2_700, moves: true,
  },
  {
    name: 'a short pause does not move the stream',
    change: { eventAt: 100 },
    at: 500,
    moves: false,
  },
  {
    name: 'a long pause moves the stream to its standby copy',
    change: { eventAt: 100 },
    at: 650,
    moves: true,
  },
  {
    name: 'a stream without a standby copy is not moved',
    change: { eventAt: 100, hasStandby: false },
    at: 2_000,
    moves: false,
  },
];
SILENCES.forEach(({
  name, change, at, moves,
}) => {
  test(`silence: ${name}`, (t) => {
    t.is(isOverdue({ ...STREAM, ...change }, at), moves);
  });
});

test('silence: a server counts as lost only after two failed checks', (t) => {
  const quiet = {
    heardAt: 0, checkedAt: 0, failedChecks: 0, checking: false,
  };
  t.is(nextAction(quiet, 100), 'wait');
  t.is(nextAction(quiet, 260), 'check');
  t.is(nextAction({ ...quiet, checking: true }, 260), 'wait');
  t.is(nextAction({ ...quiet, checkedAt: 260, failedChecks: 1 }, 300), 'check');
  t.is(nextAction({ ...quiet, failedChecks: 2 }, 300), 'lost');
});

testProp('events: splitting preserves the bytes for any chunk boundaries', [
  fc.array(fc.nat(9_999), { minLength: 1, maxLength: 8 }),
  fc.array(fc.integer({ min: 1, max: 40 })),
], (t, ids, cuts) => {
  const text = ids.map((id) => `id: ${id}\ndata: é${id}\n\n`).join('');
  const bytes = Buffer.from(text);
  const splitter = EventSplitter.of();
  const events: { text: string; id: number | undefined }[] = [];
  let from = 0;
  [...cuts, bytes.length].forEach((cut) => {
    events.push(...splitter.push(bytes.subarray(from, from + cut)));
    from += cut;
  });
  t.is(Buffer.from(events.map((event) => event.text).join(''), 'latin1').toString(), text);
  t.deepEqual(events.map(({ id }) => id), ids);
  t.false(splitter.hasPartialEvent);
}, { numRuns: 200, seed: 42 });

test('events: an incomplete event is buffered and reported', (t) => {
  const splitter = EventSplitter.of();
  t.deepEqual(splitter.push(Buffer.from('id: 1\ndata')), []);
  t.true(splitter.hasPartialEvent);
});

test('events: comments are told from events, which have ids', (t) => {
  const text = ': ping\n\n:\r\n\r\nid: 4\n: note\ndata: a\n\ndata: b\n\n';
  const splitter = EventSplitter.of();
  const events = splitter.push(Buffer.from(text));
  const comments = ': ping\n\n:\r\n\r\n';
  t.is(comments + events.map((event) => event.text).join(''), text);
  t.is(splitter.commentLength, comments.length);
  t.deepEqual(events.map(({ id }) => id), [4, undefined]);
});

/** What stands between events, and the blank line that belongs to the next one. */
const BETWEEN = ['\n\n', '\r\n\r\n', '\r\n\n', ': c\n\n', '\n: c\r\n:\n\n', ':\r\n\n'];
testProp('events: comments are left out alike however their bytes are divided', [
  fc.array(fc.tuple(fc.array(fc.constantFrom(...BETWEEN), { maxLength: 4 }), fc.boolean()), {
    minLength: 1, maxLength: 6,
  }),
  fc.array(fc.integer({ min: 1, max: 9 })),
], (t, parts, cuts) => {
  const due = parts.map(([, hasLine], index) => `${hasLine ? '\n' : ''}id: ${index}\ndata: a\n\n`);
  const between = parts.map(([list]) => list.join(''));
  const bytes = Buffer.from(due.map((event, index) => between[index] + event).join(''));
  const splitter = EventSplitter.of();
  const texts: string[] = [];
  let from = 0;
  [...cuts, bytes.length].forEach((cut) => {
    texts.push(...splitter.push(bytes.subarray(from, from + cut)).map(({ text }) => text));
    from += cut;
  });
  t.deepEqual(texts, due);
  t.is(splitter.commentLength, between.join('').length);
}, { numRuns: 300, seed: 42 });

test('events: an event without end is not buffered for good', (t) => {
  const splitter = EventSplitter.of();
  const bytes = Buffer.from('data: a\n'.repeat(1_000));
  for (let index = 0; index < 100; index += 1) splitter.push(bytes);
  t.true(splitter.isOverlong);
});

const ID = ['x-id', 'r1'];
const OTHER_ID = ['x-id', 'r0'];
const SIGNED = ['x-signature', 's'];
const NOT_RUN = ['x-not-run', '1'];
const RESPONSE_CLASSES: readonly {
  name: string; status: number; headers: string[]; kind: ResponseClass['kind']; kept?: boolean;
}[] = [
  {
    name: 'signed', status: 200, headers: [...ID, ...SIGNED], kind: 'answer',
  },
  {
    name: 'a signed client error', status: 404, headers: [...ID, ...SIGNED], kind: 'answer',
  },
  {
    name: 'a late copy of another answer',
    status: 200,
    headers: [...OTHER_ID, ...SIGNED],
    kind: 'foreign',
  },
  {
    name: 'a late copy of another refusal',
    status: 503,
    headers: [...OTHER_ID, ...NOT_RUN],
    kind: 'foreign',
  },
  {
    name: 'a late copy of another failure', status: 500, headers: OTHER_ID, kind: 'foreign',
  },
  {
    name: 'a refusal', status: 503, headers: [...ID, ...NOT_RUN], kind: 'not_run',
  },
  {
    name: 'a refusal without an id', status: 421, headers: [], kind: 'not_run',
  },
  {
    name: 'a refusal without an id on a kept connection',
    status: 421,
    headers: [],
    kind: 'foreign',
    kept: true,
  },
  {
    name: 'a refusal on a kept connection',
    status: 503,
    headers: [...ID, ...NOT_RUN],
    kind: 'not_run',
    kept: true,
  },
  {
    name: 'a failure', status: 500, headers: ID, kind: 'failed',
  },
  {
    name: 'unsigned', status: 200, headers: ID, kind: 'foreign',
  },
  {
    name: 'an encoded body',
    status: 200,
    headers: [...ID, ...SIGNED, 'Content-Encoding', 'gzip'],
    kind: 'foreign',
  },
  {
    name: 'an encoded body of a failure',
    status: 404,
    headers: [...ID, ...SIGNED, 'content-encoding', ''],
    kind: 'foreign',
  },
  {
    name: 'a switch of protocols', status: 101, headers: [...ID, ...SIGNED], kind: 'foreign',
  },
];
RESPONSE_CLASSES.forEach(({
  name, status, headers, kind, kept = false,
}) => {
  test(`response class: ${name} counts as ${kind}`, (t) => {
    t.is(classifyResponse({ status, headers, kept }, 'r1', testDialect).kind, kind);
  });
});

const LIMIT = { ratio: 0.5, slack: 20, windowMs: 1_000 };

testProp('retries of all instances stay within ratio and slack in every window', [
  fc.integer({ min: 1, max: 5 }),
  fc.array(fc.record({
    instance: fc.nat(4), after: fc.nat(40), retries: fc.nat(6),
  }), { minLength: 1, maxLength: 200 }),
], (t, instances, steps) => {
  let windows = Array.from({ length: instances }, () => recordMembers(EMPTY_WINDOW, instances, 0));
  const requests: number[] = [];
  const retries: number[] = [];
  let now = 0;
  steps.forEach(({ instance, after, retries: wanted }) => {
    now += after;
    const index = instance % instances;
    let window = recordMembers(recordRequest(windows[index]!, LIMIT, now), instances, now);
    requests.push(now);
    for (let tries = 0; tries < wanted && retriesLeft(window, LIMIT, now) > 0; tries += 1) {
      window = recordRetry(window, LIMIT, now);
      retries.push(now);
    }
    windows = windows.map((other, at) => (at === index ? window : other));
    const within = (times: readonly number[]) => (
      times.filter((time) => time > now - LIMIT.windowMs).length);
    t.true(within(retries) <= LIMIT.ratio * within(requests) + LIMIT.slack);
  });
}, { numRuns: 200, seed: 43 });

test('an instance\'s share of retries uses the highest instance count in the window', (t) => {
  const alone = recordMembers(recordMembers(EMPTY_WINDOW, 10, 0), 1, 500);
  t.is(retriesLeft(alone, LIMIT, 500), 1);
  t.is(retriesLeft(recordMembers(alone, 1, 1_500), LIMIT, 1_500), 16);
});

test('routes: the longest matching prefix of a host is selected', (t) => {
  const deep = { ...ROUTES.safe, name: 'deep', prefix: '/safe/deep/' };
  const table = RouteTable.of(relayConfiguration({ routes: [ROUTES.safe, deep] }));
  t.is(table.route('relay.example', '/safe/deep/x')?.name, 'deep');
  t.is(table.route('RELAY.example', '/safe/deepx')?.name, 'safe');
  t.is(table.route('relay.example', '/safe'), undefined);
  t.is(table.route('other', '/safe/x'), undefined);
});

testProp('targets: a target with weight 0 gets no requests', [
  fc.double({
    min: 0, max: 1, maxExcluded: true, noNaN: true,
  }),
], (t, fraction) => {
  const targets = Object.entries({ a: 0, b: 3, c: 1 })
    .map(([service, weight]) => ({ service, weight }));
  const chosen = pickTarget(targets, fraction)?.service;
  t.is(chosen, fraction < 0.75 ? 'b' : 'c');
}, { numRuns: 200, seed: 44 });

test('cached prompts: parts count up to the first that is not cached completely', (t) => {
  const parts = [{ id: 'a', tokens: 10 }, { id: 'b', tokens: 20 }, { id: 'c', tokens: 5 }];
  t.is(cachedTokens(parts, new Map([['a', 10], ['b', 7], ['c', 5]])), 17);
  t.is(cachedTokens(parts, new Map([['b', 20]])), 0);
  t.is(cachedTokens(parts, new Map([['a', 90], ['b', 20], ['c', 5]])), 35);
});

testProp('peer messages: any bytes decode or give an error', [fc.uint8Array()], (t, bytes) => {
  const decoded = decodeMessage(Buffer.from(bytes));
  t.true(decoded.isErr() || typeof decoded.value.message.ip === 'string');
}, { numRuns: 200, seed: 45 });

test('peer messages: lists are truncated so that a message fits one packet', (t) => {
  const ids = Array.from({ length: 100 }, (_, index) => `server-${index}`);
  const bytes = encodeMessage({
    ip: '10.0.0.1',
    protocol: 1,
    configuration: 3,
    copies: {},
    loads: {},
    gone: ids.map((id) => [id, 1]),
    suspect: ids.map((id) => [id, 1]),
    restarts: ids.map((id) => [id, 1]),
    successors: ids.map((id) => [id, id]),
    successions: ids.map((id) => [id, id, 1_000]),
    peers: ids,
    crashes: ids.map((id) => [id, 20, true, [['part', null], ['answered', 50]], ['e1']]),
    crashRequests: ids.map((id) => [null, [[id, null]]]),
    instances: 101,
    limits: ids.map((id) => [id, 1, 0.5, 20, true]),
    origins: ids.map((id) => [id, 'v1']),
    sought: ids,
    uses: ids.map((id) => ['engines', id, 8_330]),
    ranks: [],
    paces: ids.map((id) => [id, 1, 1.25, 7, 4, 'call', 0.5]),
    unreached: [],
    overload: 0,
    ages: ids.map(() => 1),
    zone: 'a',
    state: [1, 1, 0],
    rollouts: ids.map((id) => ['e', id]),
  });
  t.true(bytes.length <= MAX_MESSAGE_BYTES);
  const decoded = decodeMessage(bytes);
  t.is(decoded.map(({ message }) => message.configuration).unwrapOr(0), 3);
  const last = decoded.map(({ message: { crashes } }) => crashes.at(-1)?.[0]);
  t.is(last.unwrapOr(undefined), 'server-99');
});

function callCandidate(id: string, meanDurationMs: number, change: Partial<Candidate> = {}) {
  return {
    ...candidate(id), server: server(id, 'a', { meanDurationMs, outcomeAt: 0 }), ...change,
  };
}

const LIMITED = { isLimited: true };
const THROTTLED = { ...LIMITED, delayMs: 200 };
const LIMITED_SERVERS: readonly {
  readonly name: string;
  readonly limited: Candidate;
  readonly now: number;
  readonly chosen: string;
}[] = [
  {
    name: 'at its limit is not chosen',
    limited: callCandidate('limited', 1, THROTTLED),
    now: 0,
    chosen: 'other',
  },
  {
    name: 'with permits is chosen in spite of an old mean duration',
    limited: callCandidate('limited', 90, LIMITED),
    now: 0,
    chosen: 'limited',
  },
  {
    name: 'that was slow lately is not chosen',
    limited: callCandidate('limited', 300, LIMITED),
    now: 500,
    chosen: 'other',
  },
  {
    name: 'that was slow some time ago is tried again',
    limited: callCandidate('limited', 300, LIMITED),
    now: 5_000,
    chosen: 'limited',
  },
];
LIMITED_SERVERS.forEach(({
  name, limited, now, chosen,
}) => {
  test(`select server: a limited server ${name}`, (t) => {
    const other = callCandidate('other', 20, { load: { ...NO_LOAD, running: 1 } });
    t.is(selectServer([limited, other], 'a', now)?.server.entry.id, chosen);
  });
});

test('select server: none when all are at their limits', (t) => {
  const all = ['a', 'b'].map((id) => callCandidate(id, 20, THROTTLED));
  t.is(selectServer(all, 'a', 0), undefined);
  t.true(areAllThrottled(all));
  t.false(areAllThrottled([...all, callCandidate('c', 20)]));
  t.false(areAllThrottled([]));
});
