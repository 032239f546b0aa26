import { connect } from 'node:net';
import test from 'ava';
import { fc, testProp } from '@fast-check/ava';
import { firstInvalidToken, tokensOf } from '../src/standin/tokens.js';
import {
  call, chunksOf, startEntry, post, sleep,
} from './fakes/entry.js';
import type { Reply } from './fakes/entry.js';
import { eventually } from './fakes/eventually.js';

const BODY = {
  model: 'm', prompt: 'List the ovens', max_tokens: 20, seed: 1,
};
const CHAT = {
  model: 'm', messages: [{ role: 'user', content: 'List the ovens' }], max_tokens: 20, seed: 1,
};

const fixture = await startEntry();
const { address } = fixture;
test.after.always(() => fixture.stop());

function streamedText(reply: Reply): string {
  return chunksOf(reply).map(({ choices }) => {
    const [choice] = choices as unknown as { text?: string; delta?: { content?: string } }[];
    return choice?.text ?? choice?.delta?.content ?? '';
  }).join('');
}

function isComplete(text: string): boolean {
  return tokensOf(text).length === BODY.max_tokens && firstInvalidToken({
    model: 'm',
    version: '1',
    adapter: undefined,
    input: { kind: 'prompt', text: BODY.prompt },
    sampling: {
      seed: 1, temperature: 1, maxTokens: 20, stop: [],
    },
  }, text) === -1;
}

test('a completion that is not streamed', async (t) => {
  const reply = await post(address, '/v1/completions', BODY);
  const answer = JSON.parse(reply.text) as { choices: { text: string }[] };
  t.is(reply.status, 200);
  t.like(answer, {
    object: 'text_completion',
    model: 'm',
    choices: [{ index: 0, finish_reason: 'length' }],
    usage: { completion_tokens: 20, prompt_tokens: 4, total_tokens: 24 },
  });
  t.true(isComplete(answer.choices[0]!.text));
});

test('a streamed completion', async (t) => {
  const reply = await post(address, '/v1/completions', { ...BODY, stream: true });
  t.is(reply.headers['content-type'], 'text/event-stream');
  t.true(isComplete(streamedText(reply)));
  t.true(reply.text.endsWith('data: [DONE]\n\n'));
  const ids = [...reply.text.matchAll(/^id: [0-9a-f]+\.(\d+)$/gm)].map(([, id]) => Number(id));
  t.deepEqual(ids, [...Array.from({ length: 20 }, (_, index) => index), 19]);
  t.like(chunksOf(reply).at(-1), { choices: [{ finish_reason: 'length' }] });
});

test('a streamed chat answer with a usage chunk', async (t) => {
  const reply = await post(address, '/v1/chat/completions', {
    ...CHAT, stream: true, stream_options: { include_usage: true },
  });
  const chunks = chunksOf(reply);
  t.like(chunks[0], {
    object: 'chat.completion.chunk',
    usage: null,
    choices: [{ delta: { role: 'assistant' }, finish_reason: null }],
  });
  t.like(chunks.at(-2), { choices: [{ delta: {}, finish_reason: 'length' }] });
  t.like(chunks.at(-1), { choices: [], usage: { completion_tokens: 20 } });
  t.is(tokensOf(streamedText(reply)).length, 20);
});

test('a chat answer to a message with content parts', async (t) => {
  const reply = await post(address, '/v1/chat/completions', {
    ...CHAT, messages: [{ role: 'user', content: [{ type: 'text', text: 'List' }] }],
  });
  t.like(JSON.parse(reply.text), {
    object: 'chat.completion', choices: [{ message: { role: 'assistant' } }],
  });
});

test('the list of models', async (t) => {
  const reply = await call(address, '/v1/models');
  t.like(JSON.parse(reply.text), { object: 'list', data: [{ id: 'm', object: 'model' }] });
});

const REFUSALS: readonly [string, number, string, () => Promise<Reply>, string?][] = [
  ['an unknown key', 401, 'unauthorized',
    () => post(address, '/v1/completions', BODY, { authorization: 'Bearer other' })],
  ['an unknown path', 404, 'not_found', () => call(address, '/v2')],
  ['a wrong method', 405, 'method_not_allowed', () => call(address, '/v1/completions')],
  ['an unknown model', 404, 'not_found',
    () => post(address, '/v1/completions', { ...BODY, model: 'x' })],
  ['a model named like a method of objects', 404, 'not_found',
    () => post(address, '/v1/completions', { ...BODY, model: 'constructor' })],
  ['an unknown adapter', 404, 'not_found',
    () => post(address, '/v1/completions', { ...BODY, adapter: 'x' })],
  ['a body that is not JSON', 400, 'bad_request',
    () => call(address, '/v1/completions', { body: '{' })],
  ['a wrong type', 400, 'bad_request',
    () => post(address, '/v1/completions', { ...BODY, max_tokens: 'ten' })],
  ['an option that would change the answer', 400, 'bad_request',
    () => post(address, '/v1/completions', { ...BODY, n: 2 })],
  ['a body that is too large', 413, 'too_large',
    () => call(address, '/v1/completions', { body: 'x'.repeat(5 * 1024 * 1024) })],
  ['a deeply nested body', 400, 'bad_request',
    () => call(address, '/v1/completions', { body: '['.repeat(1024 * 1024) })],
  ['an invalid event id', 400, 'bad_request', () => post(address, '/v1/completions', {
    ...BODY, stream: true,
  }, { 'x-generation-cursor': 'e30.e30', 'last-event-id': 'g.x' }), 'unknown'],
  ['an unknown service', 404, 'not_found', () => call(address, '/services/toString/x')],
];

REFUSALS.forEach(([title, status, code, send, ran = 'no']) => {
  test(`refused: ${title}`, async (t) => {
    const reply = await send();
    t.is(reply.status, status);
    t.like(JSON.parse(reply.text), { error: { code, ran } });
  });
});

test('a request with a forged cursor is not refused as not run', async (t) => {
  const reply = await post(address, '/v1/completions', { ...BODY, stream: true }, {
    'x-generation-cursor': 'e30.e30', 'last-event-id': 'g.3',
  });
  t.is(reply.status, 400);
  t.like(JSON.parse(reply.text), { error: { code: 'bad_request', ran: 'partly' } });
});

/** Sends raw bytes; resolves to the response once the connection is closed. */
function sendBytes(bytes: Uint8Array | string, holdMs = 30): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(Number(port), host, () => {
      socket.write(bytes);
      setTimeout(() => socket.end(), holdMs);
    });
    socket.on('data', (data) => {
      text += data.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
  });
}

test('headers that are too large are refused with a reason', async (t) => {
  const reply = await sendBytes(`GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`);
  t.regex(reply, /^HTTP\/1\.1 431 [\s\S]*"code":"too_large"/);
});

testProp('any bytes are survived', [fc.uint8Array({ maxLength: 2_000 })], async (t, bytes) => {
  await sendBytes(bytes, 0);
  t.is((await call(address, '/healthz')).status, 200);
}, { numRuns: 60 });

const REQUEST = Buffer.from([
  'POST /v1/completions HTTP/1.1', 'host: x', 'authorization: Bearer key',
  'transfer-encoding: chunked', '', '3f', JSON.stringify(BODY), '0', '', '',
].join('\r\n'));

testProp('the daemon survives requests with changed bytes', [
  fc.array(fc.tuple(fc.nat(REQUEST.length - 1), fc.nat(255)), { minLength: 1, maxLength: 4 }),
], async (t, changes) => {
  const bytes = Buffer.from(REQUEST);
  changes.forEach(([at, value]) => {
    bytes[at] = value;
  });
  await sendBytes(bytes, 0);
  t.is((await call(address, '/healthz')).status, 200);
}, { numRuns: 60 });

testProp('the daemon survives any JSON body', [fc.json()], async (t, json) => {
  const reply = await call(address, '/v1/chat/completions', { body: json });
  t.is(reply.status, 400);
}, { numRuns: 60 });

test('the work of a caller that disconnects is cancelled', async (t) => {
  const own = await startEntry({ engine: { stepMs: 10 } });
  const [host, port] = own.address.split(':');
  const socket = connect(Number(port), host);
  const body = JSON.stringify({ ...BODY, max_tokens: 4_000, stream: true });
  socket.write([
    'POST /v1/completions HTTP/1.1', 'host: x', 'authorization: Bearer key',
    `content-length: ${body.length}`, '', body,
  ].join('\r\n'));
  const running = async () => (await Promise.all(own.engines.map((engine) => engine.load())))
    .reduce((sum, load) => sum + load.running, 0);
  t.true(await eventually(async () => await running() === 1));
  socket.destroy();
  t.true(await eventually(async () => await running() === 0));
  own.stop();
});

test('a draining instance is not ready, and completes open answers', async (t) => {
  const own = await startEntry({ engine: { stepMs: 10 }, lagMs: 3_000 });
  t.teardown(() => own.stop());
  t.is((await call(own.address, '/readyz')).status, 200);
  const answer = post(own.address, '/v1/completions', { ...BODY, max_tokens: 60, stream: true });
  await sleep(50);
  own.drain.begin();
  own.drain.begin();
  t.is((await call(own.address, '/readyz')).status, 503);
  t.is((await post(own.address, '/v1/completions', { ...BODY, max_tokens: 1 })).status, 200);
  const reply = await answer;
  t.is(tokensOf(streamedText(reply)).length, 60);
  t.true(await eventually(() => own.drain.state === 'done'));
});

test('metrics count answers, refusals and first tokens', async (t) => {
  const own = await startEntry();
  await post(own.address, '/v1/completions', BODY);
  await post(own.address, '/v1/completions', { ...BODY, model: 'x' });
  await sleep(20);
  const { text } = await call(own.address, '/metrics');
  t.regex(text, /http_requests_total\{route="\/v1\/completions",code="200"\} 1/);
  t.regex(text, /http_requests_total\{route="\/v1\/completions",code="404"\} 1/);
  t.regex(text, /http_requests_in_flight 0/);
  t.regex(text, /time_to_first_token_seconds_count 1/);
  t.regex(text, /generation_tokens_total 20/);
  own.stop();
});

test('without a configuration every key is refused as not ready', async (t) => {
  const own = await startEntry({ change: (configuration) => ({ ...configuration, revision: 0 }) });
  t.teardown(() => own.stop());
  const replies = await Promise.all(['/v1/models', '/services/stock/x'].map((path) => (
    call(own.address, path, { headers: { authorization: 'Bearer unknown' } }))));
  replies.forEach((reply) => {
    t.is(reply.status, 503);
    t.is(reply.headers['retry-after'], '1');
    t.like(JSON.parse(reply.text), { error: { code: 'not_ready', ran: 'no' } });
  });
});
