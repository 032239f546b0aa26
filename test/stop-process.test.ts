import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { emptyRequest, ProcessDeployment, requestHead } from './fakes/processdeployment.js';
import type { RawAnswer, RawConnection } from './fakes/rawconnection.js';
import type { RelayProcess } from './fakes/relayprocess.js';
import { answerBody, eventText } from './fakes/scriptedengine.js';

const GRACE_S = 5;
/** A stream that takes most of the grace period: 46 events, 100 ms apart. */
const LONG_STREAM = '/stream/x?events=46&step=100';
const LONG_CALL = '/unsafe/x?ms=4600';
/** More than the kernel holds for a client that doesn't read. */
const LARGE_BYTES = 8_000_000;
const CHUNK = '5\r\nhello\r\n';
const LAST_CHUNK = '0\r\n\r\n';
/** Far from the limit of the stop, also on a busy machine. */
const AT_ONCE_MS = 1_000;
/** Statuses that promise that a request has not run and won't run. */
const NOT_RUN: readonly number[] = [408, 421, 429, 503];

async function running(t: ExecutionContext, isOutputFull = false, engines = 1) {
  const deployment = await ProcessDeployment.of({ instances: 1, engines, graceS: GRACE_S });
  t.teardown(() => deployment.close());
  const relay = await deployment.start(0, isOutputFull);
  t.true(await relay.untilReady(), 'ready');
  return { deployment, relay, record: deployment.record };
}

type Running = Awaited<ReturnType<typeof running>>;

/** Stops the instance; resolves once it accepts no connections any more. */
async function stopAccepting(t: ExecutionContext, relay: RelayProcess): Promise<void> {
  relay.signal('SIGTERM');
  t.true(await relay.untilClosed(), 'the instance accepts no connections');
}

function describe(answer: RawAnswer, { record }: Running, id: string): string {
  const { status, whole, body } = answer;
  const runs = record.of(id).map(({ end }) => end).join(',');
  return `status ${status}, whole ${whole}, ${body.length} bytes, runs: ${runs || 'none'}`;
}

/** A refusal that is true and names when to come back, or a close of a request that never ran. */
function expectHonest(
  t: ExecutionContext,
  answer: RawAnswer,
  started: Running,
  { id, sentAt }: { readonly id: string; readonly sentAt: number },
): void {
  const runs = started.record.of(id);
  const afterMs = Math.round(answer.endedAt - sentAt);
  const seen = `${describe(answer, started, id)}, ${afterMs} ms after the request`;
  if (answer.status !== 200) t.true(afterMs < AT_ONCE_MS, seen);
  if (answer.whole && answer.status === 200) t.is(runs.length, 1, seen);
  else if (answer.whole) {
    t.true(NOT_RUN.includes(answer.status), seen);
    t.true(answer.headers.has('retry-after'), `Retry-After: ${seen}`);
    t.is(runs.length, 0, seen);
  } else {
    t.is(answer.status, 0, seen);
    t.is(runs.length, 0, seen);
  }
}

test('a stream is not ended in a stop since its engine is silent for a second', async (t) => {
  const { deployment, relay, record } = await running(t, false, 2);
  const known = await relay.connect();
  known.send(emptyRequest('known', '/stream/x?events=30&step=100'));
  t.true((await known.answer()).whole);
  const client = await relay.connect();
  // With twice the tokens, the instance expects it to take twice as long.
  client.send(emptyRequest('r1', '/stream/x?events=30&step=100').replace('10,10', '10,20'));
  const answer = client.answer();
  t.true(await eventually(() => record.of('r1').length > 0));
  await sleep(300);
  relay.signal('SIGTERM');
  await sleep(700);
  [0, 1].forEach((engine) => {
    if (record.of('r1')[0]?.server === `e-${engine + 1}`) deployment.silence(engine, 800);
  });
  const { whole, body } = await answer;
  const due = Array.from({ length: 30 }, (_, index) => eventText('r1', index + 1)).join('');
  t.deepEqual([whole, body.toString()], [true, due]);
});

/** The client and what it sends in two parts, the second once the instance accepts no more. */
const LATE_REQUESTS: readonly {
  readonly name: string;
  readonly before: (target: string) => string;
  readonly after: (target: string) => string;
}[] = [
  {
    name: 'on a connection that sent nothing before',
    before: () => '',
    after: (target) => emptyRequest('r1', target),
  },
  {
    name: 'whose head was sent by half before',
    before: (target) => emptyRequest('r1', target).slice(0, 40),
    after: (target) => emptyRequest('r1', target).slice(40),
  },
  {
    name: 'whose body in chunks ends late',
    before: (target) => `${requestHead('r1', target, { 'Transfer-Encoding': 'chunked' })}${CHUNK}`,
    after: () => `${CHUNK}${LAST_CHUNK}`,
  },
];
[
  { kind: 'stream', target: LONG_STREAM }, { kind: 'call', target: LONG_CALL },
].forEach((request) => {
  LATE_REQUESTS.forEach(({ name, before, after }) => {
    test(`a stop cuts off no ${request.kind} ${name}`, async (t) => {
      const started = await running(t);
      const { relay } = started;
      const connection = await relay.connect();
      const answered = connection.answer();
      connection.send(before(request.target));
      // An instance without open answers would end as soon as it accepts no connections.
      const other = await relay.connect();
      other.send(emptyRequest('r0', '/stream/x?events=42&step=100'));
      t.true(await eventually(() => other.received > 0), 'another stream has begun');
      await stopAccepting(t, relay);
      connection.send(after(request.target));
      const sentAt = performance.now();
      expectHonest(t, await answered, started, { id: 'r1', sentAt });
    });
  });
});

test('a stop cuts off no answer that its client reads slowly', async (t) => {
  const started = await running(t);
  const { relay, record } = started;
  const connection = await relay.connect();
  const answered = connection.answer();
  connection.pause();
  connection.send(emptyRequest('r1', `/safe/x?bytes=${LARGE_BYTES}`));
  t.true(await eventually(() => record.of('r1')[0]?.end === 'whole'));
  await stopAccepting(t, relay);
  connection.resume();
  const answer = await answered;
  t.true(answer.whole, describe(answer, started, 'r1'));
  t.true(answer.body.equals(answerBody('r1', LARGE_BYTES)));
  t.like(await relay.exited, { code: 0, signal: null });
});

/** Resolves once a stream has begun, to its answer's promise. */
async function beginStream(t: ExecutionContext, { relay }: Running, connection: RawConnection) {
  const answered = connection.answer();
  connection.send(emptyRequest('r1', '/stream/x?events=40&step=100'));
  t.true(await eventually(() => connection.received > 0), 'the stream has begun');
  t.is(relay.exit, undefined);
  return answered;
}

function expectWholeStream(t: ExecutionContext, answer: RawAnswer, started: Running): void {
  const text = Array.from({ length: 40 }, (_, index) => eventText('r1', index + 1)).join('');
  t.true(answer.whole, describe(answer, started, 'r1'));
  t.is(answer.body.toString(), text);
  t.is(started.record.of('r1').length, 1);
}

test('an instance whose standard output nobody reads ends within the grace period', async (t) => {
  const started = await running(t, true);
  const { relay } = started;
  const connection = await relay.connect();
  const answered = await beginStream(t, started, connection);
  const signalledAt = performance.now();
  relay.signal('SIGTERM');
  expectWholeStream(t, await answered, started);
  const killed = setTimeout(() => relay.signal('SIGKILL'), GRACE_S * 1_000);
  const exit = await relay.exited;
  clearTimeout(killed);
  const after = Math.round(exit.at - signalledAt);
  t.like(exit, { code: 0, signal: null }, `ended ${after} ms after the signal`);
});

(['SIGTERM', 'SIGINT', 'SIGHUP'] as const).forEach((second) => {
  test(`${second} to an instance that is stopping cuts off no stream`, async (t) => {
    const started = await running(t);
    const { relay } = started;
    const connection = await relay.connect();
    const answered = await beginStream(t, started, connection);
    relay.signal('SIGTERM');
    t.true(await eventually(async () => !await relay.isReady()), 'out of rotation');
    relay.signal(second);
    t.true(await relay.untilClosed(), 'the instance accepts no connections');
    relay.signal(second);
    expectWholeStream(t, await answered, started);
    t.like(await relay.exited, { code: 0, signal: null });
  });
});

test('a client reads a refusal though it was still sending its body', async (t) => {
  const started = await running(t);
  const { relay } = started;
  relay.signal('SIGTERM');
  t.true(await eventually(async () => !await relay.isReady()), 'out of rotation');
  const connection = await relay.connect();
  const answered = connection.answer();
  // The client reads once it has sent everything, which the refusal doesn't wait for.
  connection.pause();
  connection.send(requestHead('r1', '/nowhere/x', { 'Transfer-Encoding': 'chunked' }));
  for (let chunk = 0; chunk < 10; chunk += 1) {
    connection.send(CHUNK);
    // eslint-disable-next-line no-await-in-loop -- one chunk after another
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  connection.send(LAST_CHUNK);
  connection.resume();
  const answer = await answered;
  t.is(answer.status, 404, `${describe(answer, started, 'r1')}, ${connection.error ?? 'closed'}`);
  t.true(answer.whole);
});

test('input that is not read before a connection is closed cuts off no answer', async (t) => {
  const started = await running(t);
  const { relay, record } = started;
  const connection = await relay.connect();
  const answered = connection.answer();
  connection.pause();
  // What the kernel holds for a client that doesn't read is lost if the connection is reset.
  connection.send(emptyRequest('r1', '/safe/x?bytes=3000000'));
  t.true(await eventually(() => record.of('r1')[0]?.end === 'whole'));
  relay.signal('SIGTERM');
  t.true(await eventually(async () => !await relay.isReady()), 'out of rotation');
  connection.send('POST /safe/x HTTP/1.1\r\n');
  t.true(await relay.untilClosed(), 'the instance accepts no connections');
  connection.send('Host: relay.example\r\n');
  connection.resume();
  const answer = await answered;
  t.true(answer.whole, `${describe(answer, started, 'r1')}, ${connection.error ?? 'closed'}`);
  t.true(answer.body.equals(answerBody('r1', 3_000_000)));
});

test('a call answered while the instance stood still past the limit gets its answer', async (t) => {
  const started = await running(t);
  const { relay, record } = started;
  const connection = await relay.connect();
  const answered = connection.answer();
  connection.send(emptyRequest('r1', '/unsafe/x?ms=1500'));
  t.true(await eventually(() => record.of('r1').length === 1), 'the server has it');
  relay.signal('SIGTERM');
  const signalledAt = performance.now();
  t.true(await eventually(async () => !await relay.isReady()), 'out of rotation');
  relay.signal('SIGSTOP');
  t.true(await eventually(() => performance.now() - signalledAt > GRACE_S * 1_000));
  t.is(record.of('r1')[0]?.end, 'whole');
  relay.signal('SIGCONT');
  const answer = await answered;
  t.is(answer.status, 200, describe(answer, started, 'r1'));
  t.true(answer.whole);
});
