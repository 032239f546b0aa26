/* eslint-disable no-await-in-loop -- the tries of one client follow each other */
// One of six engines runs another software version. All machines are killed at the same moment, and
// that engine falls silent for a second. Counts the streams that hold events of both versions.
import { fileURLToPath, URL } from 'node:url';
import { newId, now, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { promptHeaders, send } from '../lib/client.mjs';
import { WRITERS } from '../lib/deployment.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const SESSIONS = 60;
const EVENTS = 80;
const NEW_VERSION = 'v2';
const GAP_MS = 20;
const MAX_MIXED = 2;
/** How long after the first of the second requests the machines are killed. */
const KILL_AFTER_MS = 1_800;
/** A killed process is restarted after a short delay. */
const RESTART_MS = 200;
/** A second or so. */
const SILENCE_MS = 1_300;
const PATIENCE_MS = 15_000;

/** Prompt parts that each engine keeps, with their tokens. */
const kept = new Map();
/** The events that each run of an engine wrote. */
const eventsOfRuns = new Map();

const behaviour = {
  held: (engine) => [...kept.get(engine) ?? []].map(([part, tokens]) => ['', part, tokens, 'm']),
  onEvent: (event, arrival, engine) => {
    const parts = kept.get(engine) ?? new Map();
    arrival.headers['prompt-prefix'].split(',').map((part) => part.split(':'))
      .forEach(([part, tokens]) => parts.set(part, Number(tokens)));
    kept.set(engine, parts);
    eventsOfRuns.set(arrival, [...eventsOfRuns.get(arrival) ?? [], event]);
    return false;
  },
};

/** In another order, so that a session doesn't come to the same engine by rule. */
function shuffled(list) {
  return list.map((item) => ({ item, key: Math.random() }))
    .sort((left, right) => left.key - right.key).map(({ item }) => item);
}

/** A client that takes its stream up as PROTOCOL.md says. */
async function streamOf(deployment, session, number) {
  /** Tries that brought events, and how all tries ended. */
  const parts = [];
  const tries = [];
  let last = 0;
  let resumes;
  const startedAt = now();
  while (now() - startedAt < PATIENCE_MS) {
    const relay = deployment.relays[(number + tries.length) % deployment.relays.length];
    const result = await send(relay, {
      path: `/stream/${number}`,
      headers: {
        ...promptHeaders([['5c1e07a2', 200], [session, 2_000]]),
        ...last > 0 ? { 'Last-Event-Id': String(last), Resumes: resumes } : {},
      },
      deadlineMs: 25_000,
    });
    tries.push(result.error ?? result.status);
    const events = result.status === 200 ? result.body.match(/^id: \d+(?=\n.*\n\n)/gm) ?? [] : [];
    if (events.length > 0) {
      resumes ??= result.id;
      parts.push({ id: result.id, from: last + 1 });
      last = Number(events.at(-1).slice('id: '.length));
    }
    if (result.status === 200 && result.whole) break;
    await sleep(Math.max(50, Number(result.headers['retry-after'] ?? 0) * 1_000));
  }
  return {
    session, parts, tries, last,
  };
}

function streams(deployment, sessions) {
  return Promise.all(sessions.map(async (session, number) => {
    await sleep(number * GAP_MS);
    return streamOf(deployment, session, number);
  }));
}

async function play(deployment, note) {
  const engines = deployment.of(WRITERS);
  const newer = engines.find(({ version }) => version === NEW_VERSION);
  const sessions = Array.from({ length: SESSIONS }, () => newId().slice(0, 8));
  const first = await streams(deployment, sessions);
  note(`client  ${first.filter(({ last }) => last === EVENTS).length} first requests are whole`);
  const second = streams(deployment, shuffled(sessions));
  await sleep(KILL_AFTER_MS);
  if (isTroubled) {
    const silent = `engine ${newer.id} (${NEW_VERSION}) is silent for ${SILENCE_MS} ms`;
    note(`all machines are killed; ${silent}`);
    deployment.relays.forEach((relay) => relay.signal('SIGKILL'));
    newer.silentUntil = now() + SILENCE_MS;
    await sleep(RESTART_MS);
    deployment.relays.forEach((relay) => relay.start());
  }
  const results = await second;
  const runsOf = ({ id, from }) => engines.filter((engine) => engine.arrivals
    .some((arrival) => arrival.id === id && eventsOfRuns.has(arrival)))
    .map(({ id: engine, version }) => ({ engine, version, from }));
  const mixed = results.filter(({ session, parts, tries }) => {
    const runs = parts.flatMap(runsOf);
    const told = runs.map(({ engine, version, from }) => `from ${from} at ${engine} (${version})`);
    const isMixed = new Set(runs.map(({ version }) => version)).size > 1;
    note(`client  session ${session}: ${tries.join(', ')}; events ${told.join(', ')}`
      + `${isMixed ? '; of both versions' : ''}`);
    return isMixed;
  }).length;
  const whole = results.filter(({ last }) => last === EVENTS).length;
  return {
    broken: mixed > MAX_MIXED,
    verdict: `${mixed} of ${SESSIONS} streams hold events of engines of both software versions `
      + `(${MAX_MIXED} allowed); ${whole} were whole in the end`,
  };
}

const options = {
  writer: { events: EVENTS, stepMs: 25, behaviour },
  setUp: (engines) => {
    const writers = engines.filter(({ service }) => service === WRITERS);
    Object.assign(writers[3], { version: NEW_VERSION });
  },
};
await runCase(FOLDER, options, play);
