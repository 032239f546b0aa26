/* eslint-disable no-await-in-loop -- requests are sent one after another */
// A plain server fails some of the calls that it has run, with a 503 that does not say that it has
// not run them. Counts the unsafe calls whose clients were told that they had not run.
import { fileURLToPath, URL } from 'node:url';
import { newId, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { send } from '../lib/client.mjs';
import { PLAIN } from '../lib/deployment.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const CALLS = 300;
const INTERVAL_MS = 40;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];
const UNAVAILABLE = 503;

/** One server of three fails two of five calls that it has run; its health check stays good. */
const plainServer = {
  behaviour: {
    respond: async (req, res, arrival, engine) => {
      const isSick = isTroubled && engine.zone === 'z-b' && arrival.path.startsWith('/unsafe/');
      if (!isSick || engine.arrivals.length % 5 > 1) return false;
      await sleep(engine.workMs);
      res.writeHead(UNAVAILABLE, engine.headers(arrival)).end('failed');
      return true;
    },
  },
};

async function play(deployment, note) {
  const outcomes = [];
  /** Reserves a unit; as PROTOCOL.md says, a client repeats an unsafe call only after a promise. */
  const reserve = async (unit) => {
    const tries = [];
    for (let number = 0; number < 2; number += 1) {
      const relay = deployment.relays[(unit + number) % deployment.relays.length];
      const result = await send(relay, {
        id: newId(), path: `/unsafe/${unit}`, body: `reserve ${unit}`, deadlineMs: 600,
      });
      tries.push(result);
      const { id, status, error } = result;
      note(`client  unit ${unit}: ${id} ${error ?? `answered ${status}`}`);
      if (!PROMISES.includes(result.status)) break;
      await sleep(Number(result.headers['retry-after'] ?? 0) * 1_000);
    }
    outcomes.push({ unit, tries });
  };
  const sent = [];
  for (let unit = 0; unit < CALLS; unit += 1) {
    sent.push(reserve(unit));
    await sleep(INTERVAL_MS);
  }
  await Promise.all(sent);
  const runs = deployment.arrivals(PLAIN).filter(({ ran }) => ran);
  runs.forEach(({ id, path, engine }) => note(`server  ${engine} ran ${id} ${path}`));
  const runOf = new Set(runs.map(({ id }) => id));
  const false503 = outcomes.flatMap(({ tries }) => tries)
    .filter(({ id, status }) => PROMISES.includes(status) && runOf.has(id)).length;
  const twice = outcomes.filter(({ unit }) => (
    runs.filter(({ path }) => path === `/unsafe/${unit}`).length > 1)).length;
  return {
    broken: false503 > 0,
    verdict: `${false503} of ${CALLS} unsafe calls were answered 503, 429, 408 or 421 and had run; `
      + `${twice} units were reserved twice`,
  };
}

await runCase(FOLDER, { plainServer }, play);
