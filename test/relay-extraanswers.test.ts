/** Engines that write answers nobody waits for on connections that are kept. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { RawEngine, responseBytes } from './fakes/rawengine.js';
import type { RawRequest } from './fakes/rawengine.js';
import { Relay, relayConfiguration, ROUTES } from './fakes/relay.js';
import type { Reply } from './fakes/relay.js';

/** The time that an engine works on a request. */
const RUN_MS = 60;
type Kind = 'unsafe' | 'safe' | 'stream' | 'once' | 'taken up';
const KINDS: readonly Kind[] = ['unsafe', 'safe', 'stream', 'once', 'taken up'];

const CONFIGURATION = relayConfiguration({
  routes: [...Object.values(ROUTES), {
    ...ROUTES.stream, name: 'once', prefix: '/stream/once/', repeat: 'never',
  }],
});

function pathOf(kind: Kind): string {
  if (kind === 'once') return '/stream/once/';
  return kind === 'taken up' ? '/stream/' : `/${kind}/`;
}

function send(relay: Relay, kind: Kind, id: string): Promise<Reply> {
  const headers: Record<string, string> = { 'x-id': id, 'x-deadline': '5000' };
  if (kind === 'taken up') headers['x-last'] = '7';
  return relay.call(pathOf(kind), headers, `body of ${id}`);
}

interface Site { readonly relay: Relay; readonly faulty: RawEngine; readonly sound: RawEngine }

/**
 * A relay that has sent a first request to a faulty engine. Unless that one is to be alone, a sound
 * engine is listed before it handles any later request.
 */
async function siteOf(
  t: ExecutionContext,
  kind: Kind,
  respond: (request: RawRequest, engine: RawEngine) => void,
  listsSound = true,
): Promise<Site> {
  const relay = await Relay.of(t, { configuration: CONFIGURATION });
  const service = kind === 'safe' || kind === 'unsafe' ? 'plain' : 'engines';
  const isListed = (count: number) => eventually(() => (
    relay.daemon.ready && relay.log.of('server_listed').length === count));
  const sound = await RawEngine.of({ id: 'sound', zone: 'a' });
  const faulty = await RawEngine.of({
    id: 'faulty',
    zone: 'a',
    respond: async (request, engine) => {
      engine.runs.push(request.id);
      if (listsSound && request.id !== 'first') {
        await relay.putEntry(sound, service);
        await isListed(2);
      }
      respond(request, engine);
    },
  });
  t.teardown(() => [faulty, sound].forEach((engine) => engine.end()));
  await relay.putEntry(faulty, service);
  t.true(await isListed(1), 'ready');
  t.is((await send(relay, kind, 'first')).status, 200);
  return { relay, faulty, sound };
}

const NOT_RUN = { 'X-Not-Run': '1' };
const EARLIER = { 'X-Id': 'first' };

interface Extra {
  readonly name: string;
  readonly bytes: string;
  /** The request that the answer names. */
  readonly names: 'another' | 'none';
}

const EXTRAS: readonly Extra[] = [
  ...[503, 429, 421, 400].flatMap((status): readonly Extra[] => [
    {
      name: `a refusal ${status} without an id`,
      bytes: responseBytes(status, NOT_RUN),
      names: 'none',
    },
    {
      name: `a refusal ${status} with an earlier id`,
      bytes: responseBytes(status, { ...NOT_RUN, ...EARLIER }, 'busy'),
      names: 'another',
    },
  ]),
  { name: 'a failure 500 without an id', bytes: responseBytes(500), names: 'none' },
  {
    name: 'a signed 404 without an id',
    bytes: responseBytes(404, { 'X-Signature': 'faulty' }),
    names: 'none',
  },
  {
    name: 'a success with an earlier id',
    bytes: responseBytes(200, { ...EARLIER, 'X-Signature': 'faulty' }, 'faulty first'),
    names: 'another',
  },
];

KINDS.forEach((kind) => EXTRAS.forEach(({ name, bytes, names }) => {
  test.serial(`${name} is not taken for the answer to a later request: ${kind}`, async (t) => {
    const { relay, faulty, sound } = await siteOf(t, kind, (request, engine) => {
      if (request.id !== 'first') request.socket.write(bytes);
      setTimeout(() => request.socket.write(engine.sound(request)), RUN_MS);
    });
    const reply = await send(relay, kind, 'second');
    t.true(reply.whole);
    t.deepEqual(faulty.runs, ['first', 'second']);
    t.is(faulty.connections.size, 1);
    if (names === 'another') {
      // The engine's own answer is still to come.
      t.is(reply.status, 200, reply.text);
      t.is(reply.headers['x-signature'], 'faulty');
      t.true(reply.text.includes('second') && !reply.text.includes('first'));
      t.is(reply.text.includes('id: 8'), kind === 'taken up');
      t.deepEqual(sound.runs, []);
      return;
    }
    const runsOnce = kind === 'unsafe' || kind === 'once';
    t.is(reply.status, runsOnce ? 502 : 200, reply.text);
    t.deepEqual(sound.runs, runsOnce ? [] : ['second']);
  });
}));

const LATER = ['b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];

(['unsafe', 'once'] as const).forEach((kind) => {
  test.serial(`an engine that repeats unidentified refusals costs one: ${kind}`, async (t) => {
    const { relay, faulty, sound } = await siteOf(t, kind, (request, engine) => {
      if (request.number > 1) request.socket.write(responseBytes(503, NOT_RUN));
      setTimeout(() => request.socket.write(engine.sound(request)), RUN_MS);
    }, false);
    const statuses: number[] = [];
    // eslint-disable-next-line no-restricted-syntax -- one request after the other
    for (const id of LATER) {
      // eslint-disable-next-line no-await-in-loop -- as above
      statuses.push((await send(relay, kind, id)).status);
    }
    t.deepEqual(statuses, [502, ...LATER.slice(1).map(() => 200)]);
    t.deepEqual([faulty.runs, sound.runs], [['first', ...LATER], []]);
    t.true(await eventually(async () => /extra_responses_total 1/.test(await relay.metrics())));
  });
});

const EVENT = 'id: 1\ndata: one\n\n';
const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: second\r\nX-Signature: faulty\r\n';
const MIDDLES: readonly { readonly framing: string; readonly begin: string }[] = [
  {
    framing: 'in chunks',
    begin: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n`,
  },
  { framing: 'until the connection closes', begin: `${HEAD}\r\n${EVENT}` },
];
MIDDLES.forEach(({ framing, begin }) => {
  test.serial(`an extra answer in the middle of a stream breaks it off: ${framing}`, async (t) => {
    const { relay, faulty } = await siteOf(t, 'once', (request, engine) => {
      if (request.id === 'first') request.socket.write(engine.sound(request));
      else {
        request.socket.write(begin);
        setTimeout(() => (
          request.socket.end(responseBytes(503, { ...NOT_RUN, ...EARLIER }, 'busy'))), RUN_MS);
      }
    }, false);
    const reply = await send(relay, 'once', 'second');
    t.false(reply.whole);
    t.is(reply.text, EVENT);
    t.deepEqual(faulty.runs, ['first', 'second']);
  });
});

[{}, EARLIER].forEach((named) => {
  const name = 'X-Id' in named ? 'with an earlier id' : 'without an id';
  test.serial(`nothing is learnt of a server from an extra answer ${name}`, async (t) => {
    const { relay } = await siteOf(t, 'safe', (request, engine) => {
      if (request.id !== 'first') {
        request.socket.write(responseBytes(503, {
          ...NOT_RUN,
          ...named,
          'X-Limit': '0.1',
          'X-Leaving': '1',
          'X-Brittle': '1',
          'Retry-After': '100',
        }));
      }
      setTimeout(() => request.socket.write(engine.sound(request)), RUN_MS);
    });
    t.is((await send(relay, 'safe', 'second')).status, 200);
    ['server_limit', 'server_held', 'service_brittle'].forEach((event) => (
      t.deepEqual(relay.log.of(event), [])));
    t.true(relay.log.of('server_listed').every(({ state }) => state === 'ready'));
  });
});
