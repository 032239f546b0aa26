/** Backpressure of callers that read slowly or not at all. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import test from 'ava';
import { Observable } from 'rxjs';
import type { Configuration } from '../src/configuration/configuration.js';
import type { EngineEvent } from '../src/engines/engine.js';
import { startEntry, sleep } from './fakes/entry.js';
import { eventually } from './fakes/eventually.js';

const BUFFER_BYTES = 64 * 1024;
const TOKENS = 1_000_000;
const TOKEN = 'x'.repeat(4_096);
const TOKENS_PER_TURN = 50;
/** The caller has as long again to read how its answer ended. */
const STALL_MS = 2_000;

function withLimits(callerStallMs: number) {
  return (configuration: Configuration): Configuration => ({
    ...configuration,
    models: { m: { ...configuration.models.m!, maxTokens: TOKENS } },
    limits: { ...configuration.limits, callerBufferBytes: BUFFER_BYTES, callerStallMs },
  });
}

/** An engine that generates tokens as fast as they are read. */
function fastEngine(onEnded: () => void = () => undefined) {
  const seen = { position: 0, ended: false };
  const generate = (_: unknown, backpressure?: Observable<boolean>) => (
    new Observable<EngineEvent>((subscriber) => {
      let paused = false;
      subscriber.next({ kind: 'opened', incarnation: 'e1/1' });
      const timer = setInterval(() => {
        for (let made = 0; made < TOKENS_PER_TURN && !paused; made += 1) {
          subscriber.next({ kind: 'token', position: seen.position, text: TOKEN });
          seen.position += 1;
        }
      }, 5);
      const subscription = backpressure?.subscribe((value) => {
        paused = value;
      });
      return () => {
        subscription?.unsubscribe();
        clearInterval(timer);
        seen.ended = true;
        onEnded();
      };
    }));
  return { seen, client: { generate } };
}

/** Requests a long answer and reads nothing of it. */
function sendWithoutReading(address: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const body = JSON.stringify({
    model: 'm', prompt: 'x', stream: true, max_tokens: TOKENS, seed: 1,
  });
  socket.write([
    'POST /v1/completions HTTP/1.1', 'host: x', 'authorization: Bearer key',
    `content-length: ${body.length}`, '', body,
  ].join('\r\n'));
  return socket;
}

/** Waits until the engine generates no more tokens, and returns their number. */
async function waitUntilPaused(seen: { position: number }): Promise<number> {
  let before = -1;
  while (seen.position === 0 || before !== seen.position) {
    before = seen.position;
    // eslint-disable-next-line no-await-in-loop -- polled until it no longer changes
    await sleep(200);
  }
  return before;
}

test.serial('the engine is paused until a caller that does not read reads again', async (t) => {
  const { seen, client } = fastEngine();
  const own = await startEntry({ engines: 1, client, change: withLimits(60_000) });
  t.teardown(() => own.stop());
  const socket = sendWithoutReading(own.address);
  const made = await waitUntilPaused(seen);
  t.true(made > 0 && made < TOKENS, `${made}`);
  socket.resume();
  await sleep(300);
  t.true(seen.position > made, `${seen.position}`);
  socket.destroy();
  await sleep(200);
  t.true(seen.ended, 'ended');
});

test.serial('a stream paused by backpressure is not suspected', async (t) => {
  const { seen, client } = fastEngine();
  const own = await startEntry({ engines: 2, client, change: withLimits(60_000) });
  t.teardown(() => own.stop());
  const socket = sendWithoutReading(own.address);
  await waitUntilPaused(seen);
  await sleep(1_500);
  const { values } = await own.metrics.registry
    .getSingleMetric('generation_dispatches_total')!.get();
  t.is(values.reduce((sum, { value }) => sum + value, 0), 1);
  t.false(seen.ended);
  socket.destroy();
});

test.serial('the answer of a caller that reads nothing for too long is ended', async (t) => {
  let tail = '';
  let read: () => void = () => undefined;
  const { seen, client } = fastEngine(() => read());
  const own = await startEntry({ engines: 1, client, change: withLimits(STALL_MS) });
  t.teardown(() => own.stop());
  const socket = sendWithoutReading(own.address);
  socket.on('error', () => undefined);
  read = () => socket.on('data', (data) => {
    tail = (tail + data.toString('latin1')).slice(-500);
  });
  await waitUntilPaused(seen);
  t.true(await eventually(() => seen.ended), 'ended');
  t.true(await eventually(() => /event: error/.test(tail)));
  t.notRegex(tail, /\[DONE\]/);
  t.regex(tail, /event: error\ndata: \{"error":\{"code":"interrupted"/);
});
