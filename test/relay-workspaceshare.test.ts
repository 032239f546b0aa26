/** One workspace that floods, at two instances, and what the others get. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { Relay, relayConfiguration } from './fakes/relay.js';
import type { Reply } from './fakes/relay.js';

const FLOODING_KEY = 'flooding-key';
const OTHER_KEY = 'other-key';
/** Room for 14 streams with their standby copies. */
const ENGINES = ['e1', 'e2', 'e3'].map((id, index) => ({
  id, zone: 'ab'[index % 2]!, stepMs: 20, events: 100,
}));
const FLOOD = 30;
const CONFIGURATION = relayConfiguration({
  workspaces: [
    { name: 'flooding', keys: [FLOODING_KEY], priority: undefined },
    { name: 'other', keys: [OTHER_KEY], priority: undefined },
  ],
});

async function twoInstances(t: ExecutionContext): Promise<readonly [Relay, Relay]> {
  const first = await Relay.of(t, { engines: ENGINES, configuration: CONFIGURATION });
  const second = await Relay.of(t, { peer: first, configuration: CONFIGURATION });
  await Promise.all(first.engines.map((engine) => second.putEntry(engine, 'engines')));
  t.true(await eventually(() => [first, second].every(({ daemon, log }) => (
    daemon.ready && log.of('server_listed').length >= ENGINES.length
      && log.of('peer_reached').length > 0))));
  return [first, second];
}

function stream(relay: Relay, key: string, id: string): Promise<Reply> {
  return relay.call('/stream/', {
    'x-id': id,
    'x-key': key,
    'x-prompt': '80',
    'x-output': '20',
    'x-deadline': '60000',
    'x-parts': `own-${id}`,
  }, `body of ${id}`);
}

function many(relay: Relay, key: string, prefix: string, count: number): Promise<Reply[]> {
  return Promise.all(Array.from({ length: count }, (_, index) => (
    stream(relay, key, `${prefix}-${index}`))));
}

test('a workspace that floods leaves room for another one at another instance', async (t) => {
  const [first, second] = await twoInstances(t);
  const usual = many(second, OTHER_KEY, 'usual', 3);
  t.true(await eventually(() => second.log.of('route').length === 3));
  // The first instance learns what the second one's callers use.
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  const flood = many(first, FLOODING_KEY, 'flood', FLOOD);
  t.true(await eventually(() => (
    first.log.of('route').length + first.log.of('refuse').length >= FLOOD)));
  const more = await many(second, OTHER_KEY, 'more', 1);
  t.deepEqual([...await usual, ...more].map(({ status }) => status), [200, 200, 200, 200]);
  const replies = await flood;
  const refused = replies.filter(({ status }) => status === 503);
  const served = replies.filter(({ status, whole }) => status === 200 && whole);
  t.is(served.length + refused.length, FLOOD);
  t.true(served.length >= 8, `${served.length}`);
  refused.forEach(({ text, headers }) => {
    t.like(JSON.parse(text), { error: { code: 'unavailable', ran: 'no' } });
    t.true(Number(headers['retry-after']) > 0);
  });
  t.true(first.log.of('unplaced').some(({ workspace }) => workspace === 'flooding'));
  t.deepEqual(first.log.of('unplaced').filter(({ reason }) => reason === 'no engine has room'), []);
  t.true(await eventually(async () => /over_share_total \d/.test(await first.metrics())));
});

test('a workspace that is alone uses all engines', async (t) => {
  const [first, second] = await twoInstances(t);
  await Promise.all([
    many(first, FLOODING_KEY, 'first', 7), many(second, FLOODING_KEY, 'second', 6)]);
  const running = [...first.log.of('route'), ...second.log.of('route')];
  t.is(running.length, 13);
  t.deepEqual([...first.log.of('unplaced'), ...second.log.of('unplaced')], []);
});

test('a workspace that is alone uses the engines that stay while others leave', async (t) => {
  const [first, second] = await twoInstances(t);
  const begun = [many(first, FLOODING_KEY, 'first', 3), many(second, FLOODING_KEY, 'second', 3)];
  t.true(await eventually(() => first.engines.every(({ runs }) => runs.length > 0)), 'running');
  await Promise.all([first, second].flatMap((relay) => first.engines.slice(0, 2).map((engine) => (
    relay.putEntry(engine, 'engines', { state: 'leaving' })))));
  const listed = (relay: Relay) => relay.log.of('server_listed');
  t.true(await eventually(() => [first, second].every((relay) => (
    listed(relay).filter(({ state }) => state === 'leaving').length === 2))), 'leaving');
  const later = await many(first, FLOODING_KEY, 'later', 2);
  t.deepEqual(later.map(({ status }) => status), [200, 200]);
  t.true((await Promise.all(begun)).flat().every(({ status, whole }) => status === 200 && whole));
});

test('room is given back when streams end, fail or lose their callers', async (t) => {
  const [first] = await twoInstances(t);
  const leave = Array.from({ length: 10 }, (_, index) => first.call('/stream/', {
    'x-id': `leaving-${index}`,
    'x-key': FLOODING_KEY,
    'x-prompt': '80',
    'x-output': '20',
    'x-parts': `own-${index}`,
  }, `body ${index}`, (text, disconnect) => {
    if (text.includes('id: 2\n')) disconnect();
  }));
  await Promise.all(leave);
  t.true(await eventually(async () => (
    (await many(first, FLOODING_KEY, `again-${performance.now()}`, 10))
      .every(({ status }) => status === 200))));
});
