/** Beliefs that an instance of the first protocol and one of this build tell each other. */
import { createSocket } from 'node:dgram';
import { readFileSync } from 'node:fs';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { PROTOCOL } from '../src/relay/protocol.js';
import { eventually } from './fakes/eventually.js';
import { Relay } from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

type OldMessage = Readonly<Record<string, unknown>>;

const RECORDED = JSON.parse(readFileSync(
  new URL('data/protocol-1/message.json', import.meta.url),
  'utf8',
)) as OldMessage;
/** What an instance of the first protocol tells when it has nothing to tell. */
const NOTHING: OldMessage = {
  ...RECORDED,
  configuration: 1,
  copies: {},
  loads: {},
  gone: [],
  suspect: [],
  successors: [],
  crashes: [],
  crashRequests: [],
  instances: 2,
  limits: [],
  origins: [],
  sought: [],
  unreached: [],
};
const INTERVAL_MS = 100;
const OLD_IP = '127.0.0.3';

/** Sends messages of the first protocol, and keeps those that it gets. */
class OldInstance {
  readonly received: OldMessage[] = [];

  told: OldMessage = {};

  static async of(t: ExecutionContext, relay: Relay): Promise<OldInstance> {
    const instance = new OldInstance();
    const { ip, peerPort } = relay.endpoint;
    const socket = createSocket('udp4');
    socket.on('message', (bytes) => {
      instance.received.push(JSON.parse(bytes.toString()) as OldMessage);
    });
    await new Promise<void>((resolve) => {
      socket.bind(peerPort, OLD_IP, resolve);
    });
    const sending = setInterval(() => {
      const message = {
        ...NOTHING, ip: OLD_IP, peers: [OLD_IP], ...instance.told,
      };
      socket.send(JSON.stringify(message), peerPort, ip);
    }, INTERVAL_MS);
    t.teardown(() => {
      clearInterval(sending);
      socket.close();
    });
    t.true(await eventually(() => relay.log.of('peer_reached').length > 0));
    return instance;
  }

  hears(field: string, isTold: (value: unknown) => boolean): Promise<boolean> {
    return eventually(() => this.received.some((message) => isTold(message[field])));
  }
}

const SERVERS: readonly RelayEngineOptions[] = ['s1', 's2'].map((id) => (
  { id, zone: 'a', software: 'v1' }));

async function startRelay(t: ExecutionContext): Promise<Relay> {
  const relay = await Relay.of(t, {
    engines: SERVERS,
    plain: SERVERS.map(({ id }) => (
      { id: `p-${id}`, zone: 'a' })),
  });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= 4)));
  return relay;
}

const has = (id: string) => (value: unknown) => JSON.stringify(value).includes(`"${id}"`);

const TOLD: readonly {
  readonly belief: string;
  readonly message: OldMessage;
  readonly isHeld: (relay: Relay) => boolean;
}[] = [
  {
    belief: 'a leaving server',
    message: { gone: [['p-s1', 1]] },
    isHeld: ({ log }) => log.of('server_listed').some((fields) => (
      fields.server === 'p-s1' && fields.state === 'leaving' && fields.from === OLD_IP)),
  },
  {
    belief: 'a rate limit',
    message: { limits: [['p-s1', 1, 0.5, 10, true]] },
    isHeld: ({ log }) => log.of('server_limit').some((fields) => (
      fields.server === 'p-s1' && fields.per_second === 0.5)),
  },
  {
    belief: 'crashes',
    message: {
      crashes: ['c1', 'c2', 'c3', 'c4'].map((id, index) => (
        [id, 5_000 - index * 1_000, true, [['bad', null]], []])),
      crashRequests: ['c1', 'c2', 'c3', 'c4'].map(() => [null, []]),
    },
    isHeld: ({ log }) => log.of('parts_quarantined').length > 0,
  },
  {
    belief: 'the number of instances and loads',
    message: { loads: { s1: [2, 800, 900, 0] } },
    isHeld: ({ log }) => log.of('peer_message_unreadable').length === 0,
  },
];
TOLD.forEach(({ belief, message, isHeld }) => {
  test(`an old instance tells of ${belief}`, async (t) => {
    const relay = await startRelay(t);
    const old = await OldInstance.of(t, relay);
    old.told = message;
    t.true(await eventually(() => isHeld(relay)));
    t.like(relay.log.of('peer_protocol'), [{ peer: OLD_IP, protocol: 1, own: PROTOCOL }]);
  });
});

/** Answers calls until the server `p-s1` has answered some. */
async function hearServer(relay: Relay): Promise<boolean> {
  return eventually(async () => {
    await relay.call('/safe/', { 'x-id': `call-${performance.now()}` });
    return relay.plain[0]!.runs.length > 5;
  });
}

const RESTARTED: OldMessage = { successors: [['p-s1', 'p-s1-again']] };

function isListedAgain({ log }: Relay): boolean {
  return log.of('server_listed').some(({ server }) => server === 'p-s1-again');
}

test('an old instance tells of a restarted server that this one has just heard', async (t) => {
  const relay = await startRelay(t);
  const old = await OldInstance.of(t, relay);
  t.true(await hearServer(relay));
  old.told = RESTARTED;
  t.true(await eventually(() => isListedAgain(relay)));
});

const LATE: OldMessage = { successions: [['p-s1', 'p-s1-again', 2_001]] };

[
  { sender: 'an old instance', message: RESTARTED },
  { sender: 'an instance that was late', message: LATE },
].forEach(({ sender, message }) => {
  test(`the word of ${sender} alone makes no server a successor`, async (t) => {
    const relay = await startRelay(t);
    const old = await OldInstance.of(t, relay);
    old.told = { ...message, gone: [['p-s2', 1]] };
    t.true(await eventually(() => relay.log.of('server_listed').some((fields) => (
      fields.server === 'p-s2' && fields.state === 'leaving'))));
    t.false(isListedAgain(relay));
  });
});

test('an instance that was in time tells of a restarted server', async (t) => {
  const relay = await startRelay(t);
  const old = await OldInstance.of(t, relay);
  old.told = { successions: [['p-s1', 'p-s1-again', 1_500]] };
  t.true(await eventually(() => isListedAgain(relay)));
});

test('the software of a server that another instance found restarted is not known', async (t) => {
  const relay = await startRelay(t);
  const other = await OldInstance.of(t, relay);
  other.told = { restarts: [['s1', 2]] };
  t.true(await eventually(() => relay.log.of('server_listed').some((fields) => (
    fields.server === 's1' && fields.started_at === 2 && fields.software !== 'v1'))));
  t.true(await other.hears('restarts', (value) => (
    JSON.stringify(value) === JSON.stringify([['s1', 2]]))));
});

test('an old instance tells of a server that it can\'t reach', async (t) => {
  const relay = await startRelay(t);
  const old = await OldInstance.of(t, relay);
  relay.plain[0]!.end();
  old.told = { suspect: [['p-s1', 1]] };
  t.true(await eventually(() => relay.log.of('server_suspected').some(({ server, reason }) => (
    server === 'p-s1' && String(reason).includes(OLD_IP)))));
});

test('an old instance tells at which version a stream began', async (t) => {
  const relay = await startRelay(t);
  const old = await OldInstance.of(t, relay);
  old.told = { origins: [['began', 'v9']] };
  const takeUp = () => relay.call('/stream/', {
    'x-id': `try-${performance.now()}`, 'x-resumes': 'began', 'x-last': '3', 'x-prompt': '10',
  }, 'body');
  t.true(await eventually(async () => (await takeUp()).text.includes('version v9')));
});

test('an old instance asks where a stream began', async (t) => {
  const relay = await startRelay(t);
  const old = await OldInstance.of(t, relay);
  t.is((await relay.call('/stream/', { 'x-id': 'asked', 'x-prompt': '10' }, 'body')).status, 200);
  old.told = { sought: ['asked'] };
  t.true(await old.hears('origins', (value) => (
    JSON.stringify(value).includes(JSON.stringify(['asked', 'v1'])))));
});

test('an old instance hears of leaving, suspect and limited servers, and of crashes', async (t) => {
  const relay = await Relay.of(t, {
    engines: SERVERS.map((options) => ({
      ...options,
      respond: (req, res, engine) => {
        res.writeHead(200, engine.responseHeaders(req)).flushHeaders();
        setTimeout(() => engine.crash(), 20);
        return true;
      },
    })),
    plain: ['p1', 'p2', 'p3'].map((id) => ({
      id,
      zone: 'a',
      respond: (req, res, engine) => {
        res.writeHead(200, { ...engine.responseHeaders(req), 'x-limit': '40' }).end('ok');
        return true;
      },
    })),
  });
  t.true(await eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length >= 5)));
  const old = await OldInstance.of(t, relay);
  await relay.putEntry(relay.plain[0]!, 'plain', { state: 'leaving' });
  await Promise.all([1, 2, 3, 4].map((index) => relay.call('/safe/', { 'x-id': `r${index}` })));
  const deadly = { 'x-id': 'deadly', 'x-prompt': '10', 'x-parts': 'bad,own' };
  await relay.call('/stream/', deadly, 'body');
  const heard = await Promise.all([
    old.hears('gone', has('p1')),
    old.hears('suspect', has('s1')),
    old.hears('limits', (value) => has('p2')(value) || has('p3')(value)),
    old.hears('crashes', has('s1')),
  ]);
  t.deepEqual(heard, [true, true, true, true]);
  // The reader of the first protocol refuses a message without one of these.
  ['ip', 'configuration', 'copies', 'loads', 'gone', 'suspect', 'successors', 'peers']
    .forEach((field) => t.true(old.received.every((message) => field in message), field));
});
