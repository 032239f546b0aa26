/* eslint-disable no-await-in-loop -- requests are sent one after another */
// An engine in trouble sends blank lines without end in the body of one stream, after its third
// event. Counts the other requests at the same machine that get no answer within the route's bound.
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { newId, now, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { promptHeaders, send } from '../lib/client.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
/** `TimeoutMs` of the route of the calls, and the time that the rule adds. */
const BOUND_MS = 600 + 500;
const MAX_UNANSWERED = 8;
const LOAD_MS = 30_000;
const CALL_INTERVAL_MS = 200;
const STREAM_AT_MS = 3_000;
/** The rate rises slowly, to at most half of what a machine's link takes. */
const FIRST_BYTES_PER_SECOND = 4_000_000;
const MORE_EACH_SECOND = 4_000_000;
const MOST_BYTES_PER_SECOND = 62_500_000;
const TICK_MS = 5;
const FLOOD_AFTER_EVENT = 3;
const FLOODED = '/stream/flooded';

/** What the engine has written and its system has not taken yet. */
const MAX_UNSENT_BYTES = 1_048_576;
const blankLines = Buffer.alloc(65_536, '\n');

/** Writes blank lines, at a bounded rate, until the caller closes. */
function flood(res, arrival) {
  const startedAt = now();
  let written = 0;
  let owed = 0;
  const timer = setInterval(() => {
    if (res.destroyed) {
      clearInterval(timer);
      Object.assign(arrival, { flooded: written, floodMs: now() - startedAt });
      return;
    }
    const seconds = (now() - startedAt) / 1_000;
    const rate = FIRST_BYTES_PER_SECOND + MORE_EACH_SECOND * seconds;
    const due = (Math.min(rate, MOST_BYTES_PER_SECOND) * TICK_MS) / 1_000;
    owed = Math.min(owed + due, MAX_UNSENT_BYTES);
    while (owed > 0 && res.writableLength < MAX_UNSENT_BYTES) {
      res.write(blankLines);
      written += blankLines.length;
      owed -= blankLines.length;
    }
  }, TICK_MS);
}

const writer = {
  behaviour: {
    onEvent: (event, arrival, engine, res) => {
      if (!isTroubled || arrival.path !== FLOODED || event !== FLOOD_AFTER_EVENT) return false;
      flood(res, arrival);
      return true;
    },
  },
};

async function play(deployment, note) {
  const results = [];
  const call = async (relay) => {
    const result = await send(relay, { path: '/safe/1', method: 'GET', deadlineMs: 3_000 });
    const {
      id, status, error, sentAt, endedAt,
    } = result;
    const ms = Math.round(endedAt - sentAt);
    note(`client  ${id} at ${relay.name}: ${error ?? `answered ${status}`} after ${ms} ms`);
    results.push({ relay, ms });
  };
  const startedAt = now();
  const sent = [];
  const stream = sleep(STREAM_AT_MS).then(() => send(deployment.relays[0], {
    path: FLOODED,
    headers: promptHeaders([['5c1e07a2', 800], [newId().slice(0, 8), 250]]),
    deadlineMs: 25_000,
  }));
  while (now() - startedAt < LOAD_MS) {
    sent.push(...deployment.relays.map(call));
    await sleep(CALL_INTERVAL_MS);
  }
  await Promise.all(sent);
  const { status, whole, error } = await stream;
  note(`client  the stream: ${status} ${whole ? 'whole' : 'not whole'} ${error ?? ''}`);
  deployment.arrivals('huvo11a').filter(({ flooded }) => flooded)
    .forEach(({ engine, flooded, floodMs }) => note(
      `engine  ${engine} sent ${flooded} bytes of blank lines in ${Math.round(floodMs)} ms`,
    ));
  const counts = deployment.relays.map((relay) => {
    const own = results.filter((result) => result.relay === relay);
    return `${own.filter(({ ms }) => ms > BOUND_MS).length} of ${own.length} at ${relay.name}`;
  });
  const late = results.filter(({ ms }) => ms > BOUND_MS).length;
  const long = results.filter(({ ms }) => ms > BOUND_MS - 500).length;
  return {
    broken: late >= MAX_UNANSWERED && late > long / 4,
    verdict: `calls without an answer half a second after TimeoutMs: ${counts.join(', ')}; `
      + `${long} lasted longer than TimeoutMs`,
  };
}

await runCase(FOLDER, { writer }, play);
