import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { HttpInstanceList } from '../src/membership/listclient.js';

const SOUND = {
  name: 'd1', zone: 'a', peerAddress: '127.0.0.1:7000', state: 'live',
};

async function listOf(t: ExecutionContext, text: string): Promise<HttpInstanceList> {
  const server = createServer((_, res) => res.end(text));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return HttpInstanceList.of(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
}

const ODD: readonly { name: string; item: unknown }[] = [
  { name: 'that is null', item: null },
  { name: 'without an address', item: { ...SOUND, peerAddress: undefined } },
  { name: 'in an unknown state', item: { ...SOUND, state: 'asleep' } },
  { name: 'with a zone of another type', item: { ...SOUND, zone: 7 } },
];
ODD.forEach(({ name, item }) => {
  test(`an instance ${name} hides no other`, async (t) => {
    const list = await listOf(t, JSON.stringify([item, SOUND, item]));
    t.deepEqual(await list.read(), [SOUND]);
  });
});

['[null]', '{}', '[', '[['.repeat(50_000)].forEach((text) => {
  test(`a list that can't be read at all is an error: ${text.slice(0, 8)}`, async (t) => {
    const list = await listOf(t, text);
    await t.throwsAsync(list.read());
  });
});

test('an empty list is none that can\'t be read', async (t) => {
  t.deepEqual(await (await listOf(t, '[]')).read(), []);
});
