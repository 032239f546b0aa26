/** What another instance may answer to a stream that it begins, continues or takes up. */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { NEVER } from 'rxjs';
import { monotonicScheduler } from '../src/common/time.js';
import type { Call } from '../src/relay/call.js';
import { Connections } from '../src/relay/connections.js';
import type { Caller, RelayContext } from '../src/relay/context.js';
import { ForwardedCall } from '../src/relay/forwardedcall.js';
import type { Progress } from '../src/relay/forwardedrequest.js';
import { Meter } from '../src/relay/meter.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { eventsText, relayConfiguration, ROUTES } from './fakes/relay.js';
import { testDialect } from './fakes/relaydialect.js';
import { chunk, EVENTS, LAST_CHUNK } from './fakes/scriptedengines.js';

/** Events that callers have when a stream goes on elsewhere. */
const HELD = 3;
const OUTCOME = 'shallotshunt-forward-outcome';

/** What a caller gets: the status of its head, the text of its stream, and how that ends. */
interface Received {
  readonly status: number | undefined;
  readonly text: string;
  readonly end: 'end' | 'abort' | 'respond' | 'refuse';
  readonly headers: readonly string[];
}

interface Kind {
  readonly name: string;
  readonly progress: Partial<Progress>;
  readonly lastEvent?: number;
}

const KINDS: readonly Kind[] = [
  { name: 'a stream that has begun', progress: { headSent: true, lastEvent: HELD } },
  { name: 'a take-up', progress: {}, lastEvent: HELD },
  { name: 'a new stream', progress: {} },
];

function callOf(lastEvent: number | undefined): Call {
  return {
    id: 'r1',
    method: 'POST',
    target: '/stream/',
    headers: ['Host', 'relay.example', 'x-id', 'r1'],
    fields: {
      id: 'r1',
      key: undefined,
      deadlineMs: undefined,
      lastEvent,
      resumes: undefined,
      model: undefined,
      promptTokens: 80,
      outputTokens: 20,
      parts: [],
    },
    body: Buffer.from('prompt'),
    route: ROUTES.stream,
    service: relayConfiguration().services.engines!,
    workspace: undefined,
    priority: 1,
    receivedAt: monotonicScheduler.now(),
    deadlineAt: monotonicScheduler.now() + 4_000,
    version: 1,
    forwardedBy: undefined,
  };
}

/** Forwards a stream to an instance that sends the bytes given, then closes the connection. */
async function forward(
  t: ExecutionContext,
  { progress, lastEvent }: Kind,
  bytes: string,
): Promise<Received> {
  const instance = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(bytes));
  });
  await new Promise<void>((resolve) => {
    instance.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => instance.close());
  const connections = Connections.of(Meter.of());
  t.teardown(() => connections.closeAll());
  const context = {
    scheduler: monotonicScheduler,
    connections,
    log: new RecordedLog(),
    meter: Meter.of(),
    dialect: testDialect,
    stopping: { limit: NEVER },
  } as unknown as RelayContext;
  return new Promise((resolve) => {
    let status: number | undefined;
    let headers: readonly string[] = [];
    let text = '';
    const ended = (end: Received['end']) => resolve({
      status, headers, text, end,
    });
    const caller: Caller = {
      sending: () => undefined,
      respond: (response) => {
        status = response.status;
        headers = response.headers;
        text = Buffer.concat(response.body).toString('latin1');
        ended('respond');
      },
      refuse: () => ended('refuse'),
      begin: (head) => {
        status = head.status;
        headers = head.headers;
      },
      write: (part) => {
        text += part.toString('latin1');
      },
      end: () => ended('end'),
      abort: () => ended('abort'),
      fail: () => ended('abort'),
    };
    ForwardedCall.start(callOf(lastEvent), caller, context, {
      ip: '127.0.0.1',
      targets: ['127.0.0.1'],
      port: (instance.address() as AddressInfo).port,
      progress: { attempts: 1, ...progress },
    });
  });
}

interface Response {
  readonly status?: string;
  readonly headers?: readonly string[];
  readonly outcome?: string | undefined;
  /** Undefined for a response without a body. */
  readonly body?: string | undefined;
  readonly cut?: boolean;
}

function bytesOf({
  status = '200 OK', headers = [], outcome = 'answered', body, cut = false,
}: Response): string {
  const lines = [
    `HTTP/1.1 ${status}`, 'x-id: r1', 'x-signature: e1', ...headers,
    ...outcome === '' ? [] : [`${OUTCOME}: ${outcome}`],
    ...body === undefined ? [] : ['Transfer-Encoding: chunked'],
  ];
  const rest = body === undefined ? '' : `${chunk(body)}${cut ? '' : LAST_CHUNK}`;
  return `${lines.join('\r\n')}\r\n\r\n${rest}`;
}

interface Answer extends Response {
  readonly name: string;
  /** Whether a caller that has nothing of the stream gets it as it is. */
  readonly passed?: boolean;
}

const JSON_TYPE = ['Content-Type: application/json'];
const WRONG = '{"error":"wrong"}';

function answersTo(next: number): readonly Answer[] {
  const events = eventsText(EVENTS, next);
  return [
    { name: '204', status: '204 No Content' },
    { name: '201 with events', status: '201 Created', body: events },
    { name: '206 with events', status: '206 Partial Content', body: events },
    { name: '304', status: '304 Not Modified', passed: true },
    {
      name: '400 with JSON',
      status: '400 Bad Request',
      headers: JSON_TYPE,
      body: WRONG,
      passed: true,
    },
    {
      name: '404 with events', status: '404 Not Found', body: events, passed: true,
    },
    { name: '200 with JSON', headers: JSON_TYPE, body: WRONG },
    { name: '200 with JSON that has events', headers: JSON_TYPE, body: events },
    { name: '200 with a text', body: 'wrong\n\n' },
    { name: 'events that skip one', body: eventsText(EVENTS, next + 1) },
    { name: 'events that come again', body: `${eventsText(next, next)}${events}` },
    { name: 'an event without an end', body: events.slice(0, -1) },
    { name: 'an event without an id', body: `${eventsText(next, next)}data: wrong\n\n` },
    { name: 'a stream that breaks off in an event', body: events.slice(0, -4), cut: true },
    { name: 'a stream that breaks off', body: events, cut: true },
    { name: 'events without an outcome', body: events, outcome: '' },
    {
      name: 'a refusal',
      status: '503 Unavailable',
      headers: JSON_TYPE,
      body: WRONG,
      outcome: 'no',
    },
    {
      name: 'a failure',
      status: '502 Bad Gateway',
      headers: JSON_TYPE,
      body: WRONG,
      outcome: 'partly',
    },
    {
      name: 'a failure with events', status: '502 Bad Gateway', body: events, outcome: 'unknown',
    },
  ];
}

KINDS.forEach((kind) => {
  const next = (kind.progress.lastEvent ?? kind.lastEvent ?? 0) + 1;
  const events = eventsText(EVENTS, next);

  answersTo(next).forEach((answer) => {
    test(`${kind.name}: another instance answers ${answer.name}: no end`, async (t) => {
      const { end, status, text } = await forward(t, kind, bytesOf(answer));
      if (answer.passed && kind.name === 'a new stream') {
        t.is(end, 'respond');
        t.is(status, Number(answer.status?.slice(0, 3)));
        t.is(text, answer.body ?? '');
        return;
      }
      t.is(end, kind.progress.headSent || text !== '' ? 'abort' : 'refuse');
      t.true(events.startsWith(text), text);
      t.true(text === '' || /\n\n$/.test(text), text);
    });
  });

  test(`${kind.name}: another instance continues it to its end`, async (t) => {
    const headers = ['Content-Type: text/event-stream'];
    const received = await forward(t, kind, bytesOf({ headers, body: events }));
    t.like(received, { text: events, end: 'end' });
    t.is(received.status, kind.progress.headSent ? undefined : 200);
    t.notRegex(received.headers.join(), /shallotshunt|content-length/i);
  });
});
