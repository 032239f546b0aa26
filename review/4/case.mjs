/* eslint-disable no-await-in-loop -- requests are sent one after another */
// A prompt part crashes each engine that begins to write an answer on it, just after the answer's
// first event. Counts the requests with that part that still reach engines after the bound.
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { newId, now, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { promptHeaders, send } from '../lib/client.mjs';
import { WRITERS } from '../lib/deployment.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const CONTACT_MS = 3_000;
const MAX_LATE_REQUESTS = 3;
const LOAD_MS = 30_000;
const SOUND_INTERVAL_MS = 250;
/** One request with the part that crashes engines for so many sound ones. */
const SOUND_PER_BAD = 4;
/** How long after the answer's first event the engine ends. */
const CRASH_DELAY_MS = 10;
/** The engine is back after some seconds. */
const DOWN_MS = 2_500;
const LAST_ANSWERS_MS = 10_000;

const FIRST_PART = ['5c1e07a2', 800];
const SOUND_PART = ['91bd3f06', 410];
const BAD_PART = ['bad0bad0', 410];

const hasBadPart = ({ headers }) => (headers['prompt-prefix'] ?? '').includes(BAD_PART[0]);

const writer = {
  events: 20,
  behaviour: {
    onEvent: (event, arrival, engine) => {
      if (!isTroubled || !hasBadPart(arrival)) return;
      setTimeout(() => engine.crashFor(DOWN_MS, arrival.id), CRASH_DELAY_MS);
    },
  },
};

async function play(deployment, note) {
  const results = [];
  const request = async (number, kind) => {
    const own = [newId().slice(0, 8), 250];
    const result = await send(deployment.relays[number % deployment.relays.length], {
      path: `/stream/${number}`,
      headers: promptHeaders([FIRST_PART, kind === 'bad' ? BAD_PART : SOUND_PART, own]),
      body: `prompt ${number}`,
      deadlineMs: 25_000,
    });
    const {
      id, status, whole, error = '',
    } = result;
    const end = whole ? 'whole' : 'not whole';
    note(`client  ${kind.padEnd(5)} ${id} answered ${status} ${end} ${error}`.trim());
    results.push({ ...result, kind });
  };
  const sent = [];
  const endAt = now() + LOAD_MS;
  for (let number = 1; now() < endAt; number += 1) {
    sent.push(request(number, 'sound'));
    if (number % SOUND_PER_BAD === 0) sent.push(request(number, 'bad'));
    await sleep(SOUND_INTERVAL_MS);
  }
  await Promise.race([Promise.all(sent), sleep(LAST_ANSWERS_MS)]);

  const crashes = deployment.of(WRITERS).flatMap((engine) => engine.crashes)
    .sort((left, right) => left.at - right.at);
  const boundAt = (crashes[4]?.at ?? Infinity) + CONTACT_MS;
  const arrivals = deployment.arrivals(WRITERS).filter(hasBadPart);
  arrivals.forEach(({ id, engine, at }) => (
    note(`engine  ${engine} got ${id}${at > boundAt ? ', after the bound' : ''}`)));
  const late = new Set(arrivals.filter(({ at }) => at > boundAt).map(({ id }) => id)).size;
  const sound = results.filter(({ kind }) => kind === 'sound');
  const served = sound.filter(({ status, whole }) => status === 200 && whole).length;
  return {
    broken: late > MAX_LATE_REQUESTS,
    verdict: `${crashes.length} crashes; ${late} requests with the part reached engines later than `
      + `ContactMs after the fifth crash (${MAX_LATE_REQUESTS} allowed); `
      + `${served} of ${sound.length} sound streams were whole`,
  };
}

await runCase(FOLDER, { writers: 4, writer }, play);
