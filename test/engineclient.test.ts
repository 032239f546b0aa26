/** Engines that write an earlier answer again on a kept connection. */
import test from 'ava';
import { HttpEngineClient } from '../src/engines/client.js';
import { RawEngine, responseBytes } from './fakes/rawengine.js';

const CANCELLED = responseBytes(200, {}, '{"kind":"cancelled","made":3}');
const NOT_FOUND = responseBytes(200, {}, '{"kind":"not_found"}');
const OWN_MS = 20;

test('the confirmation of a cancellation is not taken for that of a later one', async (t) => {
  const engine = await RawEngine.of({
    id: 'e',
    zone: 'a',
    respond: ({ target, number, socket }) => {
      const isFirst = target.includes('/first/');
      if (isFirst || number > 1) socket.write(CANCELLED);
      if (!isFirst) setTimeout(() => socket.write(NOT_FOUND), OWN_MS);
    },
  });
  t.teardown(() => engine.end());
  const client = HttpEngineClient.of(engine.address);
  t.deepEqual(await client.cancel('first', 1), { kind: 'cancelled', made: 3 });
  t.deepEqual(await client.cancel('second', 1), { kind: 'not_found' });
});
