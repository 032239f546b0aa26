/** What instances of two builds tell each other: forms that the first protocol reads and writes. */
import { createSocket } from 'node:dgram';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Call } from '../src/relay/call.js';
import {
  forwardHeaders, outcomeHeaders, readForwarded, readOutcome,
} from '../src/relay/forwardedrequest.js';
import {
  decodeCrashes, decodeLimit, decodeLoad, decodeMessage, decodeOrigin, decodeSuccessions,
  encodeMessage, encodeSuccessions,
} from '../src/relay/peermessage.js';
import type { PeerMessage } from '../src/relay/messageschema.js';
import type { DecodedMessage } from '../src/relay/peermessage.js';
import { fetchSnapshot, peerServer } from '../src/relay/peersnapshot.js';
import type { Snapshot } from '../src/relay/peersnapshot.js';
import { OLDEST_PROTOCOL, PROTOCOL } from '../src/relay/protocol.js';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';

function recorded(name: string): unknown {
  const file = new URL(`data/protocol-1/${name}.json`, import.meta.url);
  return JSON.parse(readFileSync(file, 'utf8'));
}

function bytesOf(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function read(value: unknown): DecodedMessage {
  const decoded = decodeMessage(bytesOf(value));
  if (decoded.isErr()) throw new Error(decoded.error);
  return decoded.value;
}

/** The form of a JSON value as far as a strict reader checks it. */
function formOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(formOf);
  if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
  return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, formOf(item)]));
}

const MESSAGE = recorded('message') as PeerMessage;

test('a message of the first protocol is read whole', (t) => {
  const { message, unread } = read(MESSAGE);
  t.deepEqual(unread, []);
  t.is(message.protocol, OLDEST_PROTOCOL);
  t.deepEqual(decodeLoad(message.loads['s-1']!), {
    running: 3, prefillTokens: 8_200, memoryTokens: 28_500, standby: 9_500,
  });
  t.like(message, {
    ip: '127.0.0.9',
    configuration: 42,
    gone: [['s-2', 1_700_000_000_000]],
    suspect: [['s-3', 1_700_000_000_001]],
    successors: [['s-4', 's-5']],
    instances: 9,
    sought: ['stream-3'],
    unreached: ['plain'],
  });
  t.like(decodeCrashes(message)[0], {
    server: 's-6', ageMs: 900, aliveAgeMs: 950, started: true, previous: ['s-7'],
  });
  t.deepEqual(message.limits.map(decodeLimit).map(({ perSecond }) => perSecond), [2.5, undefined]);
  t.deepEqual(message.origins.map(decodeOrigin).map(({ origin }) => origin), [
    { kind: 'version', software: 'v2' }, { kind: 'ambiguous' }]);
});

test('a message keeps each field of the first protocol in its form', (t) => {
  const message = { ...read(MESSAGE).message, protocol: PROTOCOL };
  const written = JSON.parse(encodeMessage(message).toString()) as PeerMessage;
  const known = Object.fromEntries(Object.entries(written).filter(([key]) => key in MESSAGE));
  t.deepEqual(formOf(known), formOf(MESSAGE));
  t.is(written.protocol, PROTOCOL);
});

test('a restarted server is told in the form of the first protocol, and with its time', (t) => {
  const told = encodeSuccessions([
    { previousId: 's-4', id: 's-5', goneMs: 900.2 },
    { previousId: 's-6', id: 's-7', goneMs: undefined },
  ]);
  t.deepEqual(told, {
    successors: [['s-4', 's-5'], ['s-6', 's-7']], successions: [['s-4', 's-5', 901]],
  });
  t.deepEqual(decodeSuccessions({ ...read(MESSAGE).message, ...told }).map(({ id, goneMs }) => (
    [id, goneMs])), [['s-5', 901], ['s-7', undefined]]);
});

interface LaterForm { readonly name: string; readonly change: object; readonly unread: string[] }

const LATER_FORMS: readonly LaterForm[] = [
  { name: 'a field that is not known', change: { weather: 'wet' }, unread: [] },
  {
    name: 'entries with more values',
    change: { limits: [['s-8', 1, 2.5, 300, true, 'more']], gone: [['s-2', 1, 'more']] },
    unread: [],
  },
  { name: 'a known field in another form', change: { limits: { 's-8': 2.5 } }, unread: ['limits'] },
  {
    name: 'several known fields in another form',
    change: { suspect: 'none', copies: 4, origins: [[1]] },
    unread: ['copies', 'origins', 'suspect'],
  },
  { name: 'a later protocol', change: { protocol: 99 }, unread: [] },
];
LATER_FORMS.forEach(({ name, change, unread }) => {
  test(`a message of a later build: ${name}`, (t) => {
    const { message, unread: found } = read({ ...MESSAGE, ...change });
    t.deepEqual([...found].sort(), unread);
    t.deepEqual(message.loads, MESSAGE.loads);
    t.is(message.gone[0]?.[0], 's-2');
    t.deepEqual(message.crashes, MESSAGE.crashes);
  });
});

const [CRASH] = MESSAGE.crashes;
const [CRASH_REQUEST] = MESSAGE.crashRequests;
interface OddPart { readonly name: string; readonly text: string; readonly read: object }
const ODD_PARTS: readonly OddPart[] = [
  {
    name: 'processes',
    text: '"gone":[["s-2",1],[7,1],null,["s-3",1e300],["s-4",2]]',
    read: { gone: [['s-2', 1], ['s-4', 2]] },
  },
  {
    name: 'successors',
    text: '"successors":[["s-4","s\\n5"],["","s-5"],["s-4","s-5"]]',
    read: { successors: [['s-4', 's-5']] },
  },
  {
    name: 'peers',
    text: '"peers":["127.0.0.256","host","",7,"127.0.0.8"]',
    read: { peers: ['127.0.0.8'] },
  },
  {
    name: 'loads',
    text: '"loads":{"s-1":[1,2,3,1e999],"s-2":[1,2,3,1e300],"s-3":[-1,2,3,4],"s-4":[1,2,3,4]}',
    read: { loads: { 's-4': [1, 2, 3, 4] } },
  },
  {
    name: 'copies',
    text: '"copies":{"servers":{"newestChange":1e300,"ageMs":1},'
      + '"configuration":{"newestChange":4,"ageMs":1}}',
    read: { copies: { configuration: { newestChange: 4, ageMs: 1 } } },
  },
  {
    name: 'crashes, each with its requests',
    text: `"crashes":${JSON.stringify([7, CRASH, CRASH])},`
      + `"crashRequests":${JSON.stringify([CRASH_REQUEST, [-1, []], CRASH_REQUEST])}`,
    read: { crashes: [CRASH], crashRequests: [CRASH_REQUEST] },
  },
  {
    name: 'limits nested deeply',
    text: `"limits":[${'['.repeat(20_000)}${']'.repeat(20_000)},["s-8",1,2.5,300,true]]`,
    read: { limits: [['s-8', 1, 2.5, 300, true]] },
  },
];
ODD_PARTS.forEach(({ name, text, read: expected }) => {
  test(`a message with odd entries keeps the others: ${name}`, (t) => {
    const whole = `${JSON.stringify(MESSAGE).slice(0, -1)},${text}}`;
    const decoded = decodeMessage(Buffer.from(whole));
    if (decoded.isErr()) throw new Error(decoded.error);
    const { message, unread } = decoded.value;
    t.true(unread.length > 0);
    const parts = message as unknown as Readonly<Record<string, unknown>>;
    Object.entries(expected).forEach(([field, value]) => t.deepEqual(parts[field], value));
    t.deepEqual(message.origins, MESSAGE.origins);
  });
});

['configuration', 'loads', 'gone', 'suspect', 'successors', 'peers'].forEach((field) => {
  test(`a message of a later build without ${field} is read`, (t) => {
    const rest = Object.fromEntries(Object.entries(MESSAGE).filter(([key]) => key !== field));
    t.deepEqual(read(rest).unread, []);
    t.is(read(rest).message.ip, '127.0.0.9');
  });
});

['not JSON', '[]', '{}', '{"ip":"nowhere"}', 'null'].forEach((text) => {
  test(`a message without a sender is an error: ${text}`, (t) => {
    t.true(decodeMessage(Buffer.from(text)).isErr());
  });
});

async function listen(t: ExecutionContext, server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const SNAPSHOT = (recorded('snapshot') as { result: { data: Snapshot } }).result.data;

test('a snapshot of the first protocol is read', async (t) => {
  const address = await listen(t, createServer((_, res) => {
    res.setHeader('content-type', 'application/json').end(bytesOf(recorded('snapshot')));
  }));
  t.deepEqual(await fetchSnapshot(address), SNAPSHOT);
});

test('a snapshot keeps each field of the first protocol in its form', async (t) => {
  const address = await listen(t, peerServer(() => SNAPSHOT, () => undefined));
  const response = await fetch(`http://${address}/snapshot`);
  t.like(formOf(await response.json()), formOf(recorded('snapshot')) as object);
});

test('an odd object in a snapshot hides no other', async (t) => {
  const { copies, renewalMs } = SNAPSHOT;
  const [sound] = copies.servers.objects;
  const odd = [null, 7, { name: 's-2' }, { ...sound, version: 1e300 }, { ...sound, name: 7 }];
  const objects = [...odd, { ...sound, name: 's-4', value: {} }, sound];
  const data = { renewalMs, copies: { ...copies, servers: { ...copies.servers, objects } } };
  const address = await listen(t, createServer((_, res) => {
    res.setHeader('content-type', 'application/json').end(bytesOf({ result: { data } }));
  }));
  const { version } = copies.servers;
  const unreadable = (name: string) => ({ name, version, value: 'null' });
  t.deepEqual((await fetchSnapshot(address)).copies.servers.objects, [
    unreadable('s-2'), unreadable('s-1'), unreadable('s-4'), sound,
  ]);
});

test('a snapshot at a version that no store can reach is an error', async (t) => {
  const servers = { ...SNAPSHOT.copies.servers, version: 1e300 };
  const data = { ...SNAPSHOT, copies: { ...SNAPSHOT.copies, servers } };
  const address = await listen(t, createServer((_, res) => {
    res.setHeader('content-type', 'application/json').end(bytesOf({ result: { data } }));
  }));
  await t.throwsAsync(fetchSnapshot(address), { message: /snapshot/ });
});

[{ copies: {} }, { renewalMs: 'soon' }, null].forEach((data) => {
  test(`a snapshot that can't be read is an error: ${JSON.stringify(data)}`, async (t) => {
    const address = await listen(t, createServer((_, res) => {
      res.setHeader('content-type', 'application/json').end(bytesOf({ result: { data } }));
    }));
    await t.throwsAsync(fetchSnapshot(address), { message: /snapshot/ });
  });
});

test('a forwarded request of the first protocol is read and keeps its headers', (t) => {
  const headers = recorded('forwarded') as string[];
  const forwarded = readForwarded(headers)!;
  t.like(forwarded, {
    by: '127.0.0.9', leftMs: 1_234, attempts: 2, lastEvent: 7, software: 'v 2',
  });
  const call = { headers: headers.slice(0, 6), body: Buffer.from('body') } as unknown as Call;
  const written = forwardHeaders(call, forwarded);
  const pairs = (raw: readonly string[]) => raw.flatMap((name, index) => (
    index % 2 === 0 ? [`${name}: ${raw[index + 1]}`] : []));
  t.deepEqual(pairs(headers).filter((pair) => !pairs(written).includes(pair)), []);
});

test('a forwarded request whose version can\'t be read is not taken for another', async (t) => {
  const headers = (recorded('forwarded') as string[])
    .map((text) => (text === 'v%202' ? 'v%E0' : text));
  t.true(headers.includes('v%E0'));
  t.is(readForwarded(headers), undefined);
  const address = await listen(t, peerServer(() => SNAPSHOT, () => t.fail()));
  const pairs = headers.flatMap((name, index): [string, string][] => (
    index % 2 === 0 && name.startsWith('shallotshunt') ? [[name, headers[index + 1]!]] : []));
  t.is((await fetch(`http://${address}/x`, { headers: pairs })).status, 404);
});

test('the outcome of a forwarded request keeps its form', (t) => {
  const headers = recorded('outcome') as string[];
  t.deepEqual(readOutcome(headers), { outcome: 'no', retryAfterMs: 300 });
  t.deepEqual(outcomeHeaders('no', 300).slice(0, headers.length), headers);
});

test('messages that can\'t be read are logged once and are no silence', async (t) => {
  const relay = await Relay.of(t);
  t.true(await eventually(() => relay.log.of('configuration_in_force').length > 0));
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  const sender = '127.0.0.77';
  await new Promise<void>((resolve) => {
    socket.bind(0, sender, resolve);
  });
  const send = (bytes: Buffer) => socket.send(bytes, relay.endpoint.peerPort, relay.endpoint.ip);
  send(bytesOf({ ...MESSAGE, ip: sender, protocol: PROTOCOL + 1 }));
  t.true(await eventually(() => relay.log.of('peer_reached').length > 0));
  t.like(relay.log.of('peer_protocol'), [{ peer: sender, protocol: PROTOCOL + 1, own: PROTOCOL }]);
  const until = performance.now() + 2_500;
  while (performance.now() < until) {
    send(Buffer.from(`another form ${performance.now()}`));
    // eslint-disable-next-line no-await-in-loop -- one message after the other
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  t.deepEqual(relay.log.of('peer_lost'), []);
  t.is(relay.log.of('peer_message_unreadable').length, 1);
  t.regex(await relay.metrics(), /peer_messages_unread_total\{part="message"\} \d\d/);
});
