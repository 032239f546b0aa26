/* eslint-disable no-await-in-loop -- requests are sent one after another */
// A sound engine falls silent for a second and goes on. Counts the streams that go on at another
// engine while the engine before still works on them 400 ms later.
import { fileURLToPath, URL } from 'node:url';
import { newId, now, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { promptHeaders, send } from '../lib/client.mjs';
import { WRITERS } from '../lib/deployment.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const LOAD_MS = 20_000;
const STREAM_INTERVAL_MS = 250;
/** A second or so. */
const SILENCE_MS = 1_100;
const FIRST_SILENCE_MS = 3_000;
const SILENCE_INTERVAL_MS = 4_000;
/** How long the engine before may still work on a stream, by the rule. */
const OVERLAP_MS = 400;

async function play(deployment, note) {
  const engines = deployment.of(WRITERS);
  const endAt = now() + LOAD_MS;
  let silenceAt = now() + FIRST_SILENCE_MS;
  const sent = [];
  for (let number = 0; now() < endAt; number += 1) {
    sent.push(send(deployment.relays[number % deployment.relays.length], {
      path: `/stream/${number}`,
      headers: promptHeaders([['5c1e07a2', 800], [newId().slice(0, 8), 250]]),
      deadlineMs: 25_000,
    }));
    if (isTroubled && now() > silenceAt) {
      const engine = engines[number % engines.length];
      engine.silentUntil = now() + SILENCE_MS;
      silenceAt += SILENCE_INTERVAL_MS;
      note(`engine  ${engine.id} falls silent for ${SILENCE_MS} ms`);
    }
    await sleep(STREAM_INTERVAL_MS);
  }
  const results = await Promise.all(sent);
  results.forEach(({ id, status, whole }) => (
    note(`client  ${id} answered ${status} ${whole ? 'whole' : 'not whole'}`)));
  const runs = deployment.arrivals(WRITERS).filter(({ ran }) => ran);
  const moves = results.flatMap(({ id }) => {
    const [...own] = runs.filter((run) => run.id === id);
    return own.slice(1).map((run, index) => ({ run, before: own[index] }));
  }).map(({ run, before }) => ({ run, before, overlapMs: before.worksUntil - run.runsFrom }));
  moves.forEach(({ run, before, overlapMs }) => note(
    `engine  ${run.engine} goes on with ${run.id}; ${before.engine} `
    + `${overlapMs > 0 ? `works on it for ${Math.round(overlapMs)} ms more` : 'has stopped'}`,
  ));
  const twice = moves.filter(({ overlapMs }) => overlapMs > OVERLAP_MS).length;
  const whole = results.filter((result) => result.status === 200 && result.whole).length;
  return {
    broken: twice > 0,
    verdict: `${twice} streams went on at another engine while the engine before still worked on `
      + `them ${OVERLAP_MS} ms later; ${whole} of ${results.length} streams were whole`,
  };
}

const options = {
  config: { backups: true }, writer: { events: 100, stepMs: 25 },
};
await runCase(FOLDER, options, play);
