import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { VirtualClock } from './fakes/clock.js';
import { eventually } from './fakes/eventually.js';
import {
  eventsText, Relay, relayConfiguration, ROUTES,
} from './fakes/relay.js';
import type { RelayEngineOptions } from './fakes/relayengine.js';

const ENGINES: readonly RelayEngineOptions[] = [
  { id: 'e1', zone: 'a' }, { id: 'e2', zone: 'b' }, { id: 'e3', zone: 'b' },
];
const PLAIN: readonly RelayEngineOptions[] = [{ id: 's1', zone: 'a' }, { id: 's2', zone: 'b' }];
const STREAM = { 'x-prompt': '80', 'x-output': '20', 'x-deadline': '60000' };

/** Time for a stream of 0.1 s of which an engine is silent. */
const MAX_STALLED_MS = 3_000;

async function startRelay(t: ExecutionContext, fixture: Parameters<typeof Relay.of>[1]) {
  const relay = await Relay.of(t, fixture);
  t.true(await eventually(() => relay.daemon.ready));
  const count = relay.engines.length + relay.plain.length;
  t.true(await eventually(() => relay.log.of('server_listed').length >= count));
  return relay;
}

/** The duration of the only answer, without the time in which this process stood still. */
function awakeMs({ log }: Relay): number {
  const pauses = log.of('paused').map(({ for_ms: ms }) => Number(ms));
  return Number(log.of('answered')[0]?.ms) - pauses.reduce((sum, ms) => sum + ms, 0);
}

test('a call is relayed without the headers that its caller may not set', async (t) => {
  const relay = await startRelay(t, { plain: PLAIN.slice(0, 1) });
  const reply = await relay.call('/unsafe/x?y=1', {
    'x-workspace': 'other', 'x-standby': '1.2.3.4:5', 'x-kept': '1', 'x-deadline': '9000',
  }, 'body');
  t.like(reply, { status: 200, text: 's1 /unsafe/x?y=1' });
  t.like(reply.headers, { 'x-signature': 's1', 'x-id': 'r1' });
  const { headers } = relay.plain[0]!.requests[0]!;
  t.like(headers, { 'x-workspace': 'w', 'x-kept': '1', host: 'relay.example' });
  t.is(headers['x-key'], undefined);
  t.is(headers['x-standby'], undefined);
  t.true(Number(headers['x-deadline']) <= 9_000);
  t.deepEqual(relay.plain[0]!.bodies, ['body']);
});

interface Refused {
  readonly name: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly status: number;
}

const REFUSED: readonly Refused[] = [
  {
    name: 'no route', path: '/nothing/', headers: {}, status: 404,
  },
  {
    name: 'another host', path: '/safe/', headers: { host: 'other.example' }, status: 404,
  },
  {
    name: 'an unknown key', path: '/safe/', headers: { 'x-key': 'k2' }, status: 401,
  },
];
REFUSED.forEach(({
  name, path, headers, status,
}) => {
  test(`${name} is refused with ${status} and reaches no server`, async (t) => {
    const relay = await startRelay(t, { plain: PLAIN });
    t.is((await relay.call(path, headers)).status, status);
    t.true(relay.plain.every(({ requests }) => requests.length === 0));
  });
});

test('until a configuration is known every request gets 503', async (t) => {
  const relay = await Relay.of(t, { plain: PLAIN, configuration: undefined });
  const status = () => relay.call('/safe/', { 'x-key': 'unknown' }).then((reply) => reply.status);
  t.true(await eventually(async () => await status() === 503));
  t.false(relay.daemon.ready);
  await relay.configure(relayConfiguration());
  t.true(await eventually(() => relay.daemon.ready));
  t.is(await status(), 401);
});

test('limits on heads and idle connections apply, and follow the configuration', async (t) => {
  const heads = { maxHeaderBytes: 2_000, headerTimeoutMs: 5_000, idleTimeoutMs: 7_000 };
  const relay = await startRelay(t, { plain: PLAIN, configuration: relayConfiguration({ heads }) });
  const large = { 'x-large': 'a'.repeat(6_000) };
  t.is((await relay.call('/safe/', large)).status, 431);
  const kept = await relay.call('/safe/', { connection: 'keep-alive' });
  t.is(kept.status, 200);
  t.is(kept.headers['keep-alive'], 'timeout=7');
  await relay.configure(relayConfiguration({
    version: 2, heads: { ...heads, maxHeaderBytes: 9_000 },
  }));
  t.true(await eventually(() => relay.log.of('configuration_in_force').length === 2));
  t.is((await relay.call('/safe/', large)).status, 200);
});

test('a body over the limit is refused with 413', async (t) => {
  const relay = await startRelay(t, { plain: PLAIN });
  t.is((await relay.call('/unsafe/', {}, 'x'.repeat(10_001))).status, 413);
  t.true(relay.plain.every(({ requests }) => requests.length === 0));
});

const BAD_RESPONSES: readonly { name: string; respond: RelayEngineOptions['respond'] }[] = [
  {
    name: 'closes the connection',
    respond: (req) => {
      req.socket.destroy();
      return true;
    },
  },
  {
    name: 'responds to another request',
    respond: (req, res, engine) => {
      res.writeHead(200, { ...engine.responseHeaders(req), 'x-id': 'r0' }).end('other');
      return true;
    },
  },
  {
    name: 'sends an unsigned response',
    respond: (_, res) => {
      res.writeHead(200, { 'x-id': 'r1' }).end('unsigned');
      return true;
    },
  },
  {
    name: 'cuts off its response',
    respond: (req, res, engine) => {
      res.writeHead(200, { ...engine.responseHeaders(req), 'content-length': '100' });
      res.write('part');
      setTimeout(() => res.destroy(), 10);
      return true;
    },
  },
  {
    name: 'encodes its response',
    respond: (req, res, engine) => {
      res.writeHead(200, { ...engine.responseHeaders(req), 'content-encoding': 'gzip' });
      res.end('encoded');
      return true;
    },
  },
  {
    name: 'switches protocols',
    respond: (req, _, { options: { id } }) => {
      req.socket.write(`HTTP/1.1 101 Switching\r\nx-id: r1\r\nx-signature: ${id}\r\n\r\n`);
      return true;
    },
  },
  {
    name: 'sends bytes that are not HTTP',
    respond: (req) => {
      req.socket.end('nonsense\r\n\r\n');
      return true;
    },
  },
];
BAD_RESPONSES.forEach(({ name, respond }) => {
  test(`safe: a server that ${name} is replaced by another one`, async (t) => {
    const relay = await startRelay(t, {
      plain: [{ id: 's1', zone: 'a', respond }, { id: 's2', zone: 'b' }],
    });
    const reply = await relay.call('/safe/');
    t.like(reply, { status: 200, text: 's2 /safe/' });
    t.deepEqual(relay.plain[1]!.runs, ['r1']);
  });

  test(`unsafe: a server that ${name} is not replaced by another one`, async (t) => {
    const relay = await startRelay(t, {
      plain: [{ id: 's1', zone: 'a', respond }, { id: 's2', zone: 'b' }],
    });
    t.is((await relay.call('/unsafe/', {}, 'body')).status, 502);
    t.deepEqual(relay.plain[1]!.runs, []);
  });
});

test('unsafe: a call that a server reports as not run is sent to another one', async (t) => {
  const respond: RelayEngineOptions['respond'] = (_, res) => {
    res.writeHead(503, { 'x-not-run': '1' }).end();
    return true;
  };
  const relay = await startRelay(t, {
    plain: [{ id: 's1', zone: 'a', respond }, { id: 's2', zone: 'b' }],
  });
  t.is((await relay.call('/unsafe/', {}, 'body')).status, 200);
  t.deepEqual(relay.plain[1]!.runs, ['r1']);
});

test('a call that no server ran is refused with 503 and Retry-After', async (t) => {
  const relay = await startRelay(t, { plain: PLAIN });
  relay.plain.forEach((server) => server.crash());
  const reply = await relay.call('/unsafe/', {}, 'body');
  t.is(reply.status, 503);
  t.true(Number(reply.headers['retry-after']) > 0);
});

test('unsafe: a call that a server never answers ends with 504 at the deadline', async (t) => {
  const relay = await startRelay(t, { plain: [{ id: 's1', zone: 'a', respond: () => true }] });
  const reply = await relay.call('/unsafe/', { 'x-deadline': '5000' }, 'body');
  t.is(reply.status, 504);
  t.true(relay.log.of('refuse').every(({ after_ms: ms }) => Number(ms) >= 4_990));
  t.is(relay.log.of('refuse').length, 1);
});

test('a stream resumes from its standby copy, with every event once', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES });
  let crashed = false;
  const reply = await relay.call('/stream/', STREAM, 'prompt', (text) => {
    if (crashed || !text.includes('id: 8\n')) return;
    crashed = true;
    relay.engines.find(({ runs }) => runs.length > 0)!.crash();
  });
  t.true(crashed);
  t.is(reply.text, eventsText(20));
  t.true(reply.whole);
  const runs = relay.engines.flatMap((engine) => engine.runs);
  t.is(runs.length, 2);
  t.regex(runs.find((run) => run !== 'r1@1')!, /^r1@\d+ copy$/);
});

test('the metrics include what was measured before they were served', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES });
  let crashed = false;
  await relay.call('/stream/', STREAM, 'prompt', (text) => {
    if (crashed || !text.includes('id: 8\n')) return;
    crashed = true;
    relay.engines.find(({ runs }) => runs.length > 0)!.crash();
  });
  await relay.call('/nowhere/', {}, 'prompt');
  let text = '';
  t.true(await eventually(async () => {
    text = await relay.metrics();
    return text !== '';
  }), JSON.stringify(relay.log.of('child_failed')));
  const values = new Map(text.split('\n').filter((line) => !line.startsWith('#'))
    .map((line) => line.replace('shallotshunt_relay_', '').split(' ') as [string, string]));
  const expected = {
    'answers_total{delivery="events",status="200"}': 1,
    'refusals_total{code="not_found",ran="no"}': 1,
    'standby_copies_total{outcome="used"}': 1,
    prompt_tokens_in_vain_total: 0,
    retries_total: 1,
    'connections_opened_total{purpose="request"}': 2,
    first_event_seconds_count: 1,
    event_gap_seconds_count: 19,
    resume_seconds_count: 1,
    servers_suspect: 1,
    servers_up: 2,
    servers_leaving: 0,
    peers: 0,
    log_lines_left_out: 3,
  };
  Object.entries(expected).forEach(([name, value]) => t.is(Number(values.get(name)), value, name));
  const reads = 'store_calls_total{class="configuration",kind="read",outcome="ok"}';
  t.true(Number(values.get(reads)) > 1);
  t.true(Number(values.get('store_silent_seconds')) < 60);
  t.true(Number(values.get('retries_left')) > 0);
});

test('a stream whose engine is lost before its first event restarts on another', async (t) => {
  const relay = await startRelay(t, {
    engines: ENGINES.map((options) => ({ ...options, stepMs: 40 })),
  });
  const reply = relay.call('/stream/', STREAM, 'prompt');
  t.true(await eventually(() => relay.engines.some(({ runs }) => runs.length > 0)));
  relay.engines.find(({ runs }) => runs.length > 0)!.crash();
  t.is((await reply).text, eventsText(20));
  t.deepEqual(relay.engines.flatMap(({ runs }) => runs), ['r1@1', 'r1@1']);
});

/** The first engine streams by the head, bytes and end given; all others in full. */
function unframedEngines(bytes: string, end: (socket: Socket) => void): RelayEngineOptions[] {
  let isFirst = true;
  return ENGINES.map((engine) => ({
    ...engine,
    respond: (req, _, { options: { id } }) => {
      if (!isFirst || !req.url?.startsWith('/stream')) return false;
      isFirst = false;
      const { socket } = req;
      socket.write(`HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: ${id}\r\n\r\n${bytes}`);
      setTimeout(() => end(socket), 30);
      return true;
    },
  }));
}

test('a stream without length or chunks that ends with its connection is complete', async (t) => {
  const engines = unframedEngines(eventsText(20), (socket) => socket.end());
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
  t.deepEqual(relay.engines.flatMap(({ runs }) => runs), []);
});

test('a stream without length or chunks that ends inside an event goes on elsewhere', async (t) => {
  const engines = unframedEngines(eventsText(8).slice(0, -1), (socket) => socket.end());
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
});

test('an event without end is given up and the stream goes on elsewhere', async (t) => {
  const engines = unframedEngines(eventsText(8), (socket) => {
    const writing = setInterval(() => socket.write('data: a\n'.repeat(1_000)), 1);
    socket.once('close', () => clearInterval(writing));
  });
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
});

function writeEvery(ms: number, text: string) {
  return (socket: Socket) => {
    const writing = setInterval(() => socket.write(text), ms);
    socket.once('close', () => clearInterval(writing));
  };
}

test('a stalled stream that sends a byte now and then goes on elsewhere', async (t) => {
  const engines = unframedEngines(eventsText(8), writeEvery(50, 'd'));
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
  t.true(awakeMs(relay) <= MAX_STALLED_MS, `${awakeMs(relay)}`);
});

test('a stalled stream that sends comments goes on elsewhere', async (t) => {
  const engines = unframedEngines(eventsText(8), writeEvery(50, ': ping\n\n'));
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
  t.true(awakeMs(relay) <= MAX_STALLED_MS, `${awakeMs(relay)}`);
});

test('an event without an id is not passed on, and the stream goes on elsewhere', async (t) => {
  const engines = unframedEngines(`${eventsText(8)}data: other\n\n`, (socket) => socket.end());
  const relay = await startRelay(t, { engines });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(20), whole: true });
});

test('a slow but steady stream stays on its engine', async (t) => {
  const relay = await startRelay(t, {
    engines: ENGINES.map((options) => ({ ...options, stepMs: 300, events: 8 })),
  });
  const reply = await relay.call('/stream/', STREAM, 'prompt');
  t.like(reply, { status: 200, text: eventsText(8), whole: true });
  t.is(relay.engines.flatMap(({ runs }) => runs).length, 1);
});

test('a planned stop under load leaves no request that was taken without an answer', async (t) => {
  const relay = await startRelay(t, {
    plain: PLAIN.map((options) => ({
      ...options,
      respond: (req, res, server) => {
        server.runs.push(String(req.headers['x-id']));
        setTimeout(() => res.writeHead(200, server.responseHeaders(req)).end('ok'), 20);
        return true;
      },
    })),
  });
  const answered = new Set<string>();
  let stopped = false;
  relay.daemon.drain.ended.subscribe(() => {
    stopped = true;
    relay.stop();
  });
  const callUntilStopped = async (caller: number) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let index = 0; !stopped; index += 1) {
      const id = `r${caller}-${index}`;
      // eslint-disable-next-line no-await-in-loop -- one request after the other
      const reply = await relay.call('/unsafe/', { 'x-id': id }, 'body', undefined, agent);
      if (reply.whole && reply.status === 200) answered.add(id);
    }
    agent.destroy();
  };
  const callers = Promise.all(Array.from({ length: 20 }, (_, index) => callUntilStopped(index)));
  t.true(await eventually(() => answered.size > 50));
  relay.daemon.startDrain();
  await callers;
  const taken = relay.plain.flatMap(({ runs }) => runs);
  t.deepEqual(taken.filter((id) => !answered.has(id)), []);
});

test('a late copy of a refusal does not send a call that runs to another server', async (t) => {
  const copy = 'HTTP/1.1 503 Unavailable\r\nx-id: r0\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';
  const respond: RelayEngineOptions['respond'] = (req) => {
    req.socket.write(copy);
    return true;
  };
  const relay = await startRelay(t, {
    plain: [{ id: 's1', zone: 'a', respond }, { id: 's2', zone: 'b' }],
  });
  t.is((await relay.call('/unsafe/', {}, 'body')).status, 502);
  t.deepEqual(relay.plain[1]!.runs, []);
});

test('a stream that may not be repeated is aborted when its engine is lost', async (t) => {
  const stream = { ...ROUTES.stream, repeat: 'never' as const };
  const relay = await startRelay(t, {
    engines: ENGINES, configuration: relayConfiguration({ routes: [stream] }),
  });
  const reply = await relay.call('/stream/', STREAM, 'prompt', (text) => {
    if (text.includes('id: 8\n')) relay.engines.find(({ runs }) => runs.length > 0)?.crash();
  });
  t.false(reply.whole);
  t.is(relay.engines.flatMap(({ runs }) => runs).length, 1);
});

test('a reconnecting caller gets the events that it has not received', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES });
  const reply = await relay.call('/stream/', { ...STREAM, 'x-last': '12' }, 'prompt');
  t.is(reply.text, eventsText(20, 13));
});

test('a reconnecting caller is routed to the engine that has its prompt cached', async (t) => {
  // No lookup times out, however slow the machine is.
  const relay = await startRelay(t, { engines: ENGINES, lookupScheduler: new VirtualClock() });
  await Promise.all(ENGINES.map(async ({ id }, index) => {
    relay.engines[index]!.cachedParts.add(`part-${id}`);
    const headers = { ...STREAM, 'x-prompt': '10', 'x-last': '12' };
    await relay.call('/stream/', { ...headers, 'x-id': id, 'x-parts': `part-${id}` }, 'prompt');
  }));
  t.deepEqual(relay.engines.map(({ runs }) => runs), [['e1@13'], ['e2@13'], ['e3@13']]);
});

test('a stream that an engine may have run is not reported as not run', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES.slice(0, 1) });
  const [engine] = relay.engines;
  const reply = relay.call('/stream/', STREAM, 'prompt');
  t.true(await eventually(() => engine!.runs.length === 1));
  engine!.crash();
  t.is((await reply).status, 502);
});

test('a reconnecting caller that no engine can take is told "not run"', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES.slice(0, 1) });
  relay.engines[0]!.crash();
  const reply = await relay.call('/stream/', { ...STREAM, 'x-last': '3' }, 'prompt');
  t.is(reply.status, 503);
  t.like(JSON.parse(reply.text), { error: { ran: 'no' } });
});

const SLOW: readonly { name: string; repeat: 'safe' | 'never'; engines: number }[] = [
  { name: 'that may not be repeated', repeat: 'never', engines: 3 },
  { name: 'that no other engine can take', repeat: 'safe', engines: 1 },
];
SLOW.forEach(({ name, repeat, engines }) => {
  test(`a stream ${name} stays on an engine that is silent for long`, async (t) => {
    const relay = await startRelay(t, {
      engines: ENGINES.slice(0, engines)
        .map((options) => ({ ...options, stepMs: 1_000, events: 2 })),
      configuration: relayConfiguration({ routes: [{ ...ROUTES.stream, repeat }] }),
    });
    const reply = await relay.call('/stream/', STREAM, 'prompt');
    t.is(reply.text, eventsText(2));
    t.true(reply.whole);
    t.is(relay.engines.flatMap(({ runs }) => runs).length, 1);
  });
});

test('a caller that disconnects cancels the engine\'s run', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES.slice(0, 1) });
  await relay.call('/stream/', STREAM, 'prompt', (text, disconnect) => {
    if (text.includes('id: 5\n')) disconnect();
  });
  t.true(await eventually(() => relay.engines[0]!.cancelled.length === 1));
});

test('a server that is leaving gets no new calls', async (t) => {
  const relay = await startRelay(t, { plain: PLAIN });
  await relay.putEntry(relay.plain[0]!, 'plain', { state: 'leaving' });
  t.true(await eventually(() => relay.log.of('server_listed')
    .some(({ server, state }) => server === 's1' && state === 'leaving')));
  await Promise.all([1, 2, 3].map((id) => relay.call('/safe/', { 'x-id': `r${id}` })));
  t.is(relay.plain[0]!.runs.length, 0);
  t.is(relay.plain[1]!.runs.length, 3);
});

test('a server entry that can\'t be read is ignored; the others stay', async (t) => {
  const relay = await startRelay(t, { plain: PLAIN.slice(0, 1) });
  await relay.putEntry(relay.plain[0]!, 'plain', {
    id: 's9', address: undefined as unknown as string,
  });
  t.is((await relay.call('/safe/')).status, 200);
});

test('a server that restarted under another name is found without the store', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES.slice(0, 1) });
  await relay.call('/stream/', STREAM, 'prompt');
  const [engine] = relay.engines;
  engine!.crash();
  t.is((await relay.call('/stream/', { ...STREAM, 'x-id': 'r2' }, 'prompt')).status, 503);
  (engine!.options as { id: string }).id = 'e1-again';
  await engine!.start();
  t.true(await eventually(async () => (
    await relay.call('/stream/', { ...STREAM, 'x-id': 'r3' }, 'prompt')).status === 200));
  t.true(relay.log.of('server_listed')
    .some(({ server, from }) => server === 'e1-again' && from === 'health'));
  const routes = relay.log.of('route');
  t.like(routes[0], { server: 'e1', listed_from: 'store' });
  t.like(routes.at(-1), { server: 'e1-again', listed_from: 'health' });
});

test('a drain lets open responses end and tells callers to close', async (t) => {
  const relay = await startRelay(t, { engines: ENGINES.slice(0, 1), plain: PLAIN });
  const reply = relay.call('/stream/', STREAM, 'prompt', (text) => {
    if (text.includes('id: 3\n')) relay.daemon.startDrain();
  });
  t.is((await reply).text, eventsText(20));
  t.false(relay.daemon.ready);
  const late = await relay.call('/safe/', { 'x-id': 'r2' });
  t.like(late, { status: 200 });
  t.is(late.headers.connection, 'close');
});
