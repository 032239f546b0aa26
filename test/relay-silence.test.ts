/** Sound servers that send nothing for about a second and then go on. */
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { eventually } from './fakes/eventually.js';
import { eventsText, Relay } from './fakes/relay.js';
import type { Reply } from './fakes/relay.js';

const SILENCE_MS = 1_200;
const CALLS = 40;
/** Fewer than the engines have room for, even if none ends during the silence. */
const STREAMS = 20;
const INTERVAL_MS = 50;
/** When the silence begins, within the load. */
const SILENT_AFTER_MS = 400;
const EVENTS = 60;
const IDS = ['s1', 's2', 's3', 's4'];

async function startRelay(t: ExecutionContext, service: 'plain' | 'engines'): Promise<Relay> {
  const servers = IDS.map((id, index) => ({
    id, zone: 'ab'[index % 2]!, stepMs: 20, events: EVENTS,
  }));
  const relay = await Relay.of(t, { [service]: servers });
  t.true(await eventually(() => relay.daemon.ready
    && relay.log.of('server_listed').length >= IDS.length));
  return relay;
}

/** Sends calls at intervals; resolves once all have ended. */
async function load(relay: Relay, path: string, calls: number): Promise<readonly Reply[]> {
  const replies: Promise<Reply>[] = [];
  for (let index = 0; index < calls; index += 1) {
    const headers = { 'x-id': `r${index}`, 'x-prompt': '10', 'x-parts': `own-${index}` };
    replies.push(relay.call(path, headers, `body ${index}`));
    await sleep(INTERVAL_MS); // eslint-disable-line no-await-in-loop -- spread over time
  }
  return Promise.all(replies);
}

const SILENT: readonly { readonly name: string; readonly count: number }[] = [
  { name: 'one server is', count: 1 }, { name: 'all servers are', count: IDS.length },
];
SILENT.forEach(({ name, count }) => {
  ['/unsafe/', '/safe/'].forEach((path) => {
    test(`calls are answered while ${name} silent for a second: ${path}`, async (t) => {
      const relay = await startRelay(t, 'plain');
      const replies = load(relay, path, CALLS);
      await sleep(SILENT_AFTER_MS);
      relay.plain.slice(0, count).forEach((server) => server.silence(SILENCE_MS));
      t.deepEqual([...new Set((await replies).map(({ status }) => status))], [200]);
      const runs = relay.plain.flatMap((server) => server.runs);
      if (path === '/unsafe/') t.is(runs.length, CALLS);
      t.deepEqual(relay.log.of('server_suspected'), []);
      t.deepEqual(relay.log.of('crash_recorded'), []);
    });
  });

  test(`streams end whole while ${name} silent for a second`, async (t) => {
    const relay = await startRelay(t, 'engines');
    const replies = load(relay, '/stream/', STREAMS);
    await sleep(SILENT_AFTER_MS);
    relay.engines.slice(0, count).forEach((server) => server.silence(SILENCE_MS));
    (await replies).forEach(({ text, whole }) => {
      t.true(whole);
      t.is(text, eventsText(EVENTS));
    });
    t.deepEqual(relay.log.of('server_suspected'), []);
    t.deepEqual(relay.log.of('crash_recorded'), []);
    t.deepEqual(relay.log.of('service_unreached').filter(() => count < IDS.length), []);
  });
});
