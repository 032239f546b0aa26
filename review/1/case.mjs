/* eslint-disable no-await-in-loop -- requests and events are sent one after another */
// Engines spoil one byte of some answers: in the name of a header a hyphen becomes a space. Counts
// the answers that their clients get without a signature, or without a piece, and those that never
// come.
import { fileURLToPath, URL } from 'node:url';
import { newId, now, sleep } from '../lib/base.mjs';
import { isTroubled, runCase } from '../lib/case.mjs';
import { promptHeaders, send } from '../lib/client.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const LOAD_MS = 25_000;
const INTERVAL_MS = 80;
const EVENTS = 10;
/** One of so many answers of a faulty engine is spoiled: .02 of them. */
const ANSWERS_PER_SPOILED = 50;
const FIRST_SPOILED = 20;

/** Answers of the faulty engines of each service. */
const answers = new Map();

/** Every other engine of a service is faulty. */
function isSpoiled(engine) {
  const { service } = engine;
  const index = engine.peers.filter((peer) => peer.service === service).indexOf(engine);
  if (!isTroubled || index % 2 !== 0) return false;
  const count = (answers.get(service) ?? 0) + 1;
  answers.set(service, count);
  return count % ANSWERS_PER_SPOILED === FIRST_SPOILED;
}

function spoiledHead(engine, arrival, ...more) {
  const headers = Object.entries(engine.headers(arrival)).map((header) => header.join(': '));
  return ['HTTP/1.1 200 OK', ...headers, 'Weight Versions: 1', ...more, '', ''].join('\r\n');
}

/** Answers as the engine does otherwise, but with the spoiled head. */
async function respond(req, res, arrival, engine) {
  if (!isSpoiled(engine)) return false;
  Object.assign(arrival, { isSpoiled: true });
  const { socket } = res;
  const write = (text) => {
    if (!socket.destroyed) socket.write(text);
  };
  if (!arrival.path.startsWith('/stream/')) {
    await sleep(engine.workMs);
    write(`${spoiledHead(engine, arrival, 'Content-Length: 4')}done`);
    return true;
  }
  const chunked = 'Transfer-Encoding: chunked';
  await sleep(engine.firstMs);
  write(spoiledHead(engine, arrival, 'Content-Type: text/event-stream', chunked));
  for (let event = 1; event <= EVENTS; event += 1) {
    const text = `id: ${event}\ndata: ${arrival.id} ${event}\n\n`;
    write(`${text.length.toString(16)}\r\n${text}\r\n`);
    await sleep(engine.stepMs);
  }
  write('0\r\n\r\n');
  return true;
}

function eventsOf(body) {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

function hasAllEvents(body) {
  const events = eventsOf(body);
  return events.length === EVENTS && events.every((event, index) => event === index + 1);
}

async function play(deployment, note) {
  const results = [];
  const request = async (number, kind) => {
    const relay = deployment.relays[number % deployment.relays.length];
    const result = await send(relay, kind === 'stream' ? {
      path: `/stream/${number}`,
      headers: promptHeaders([['5c1e07a2', 800], [newId().slice(0, 8), 250]]),
      deadlineMs: 25_000,
    } : { path: `/unsafe/${number}`, body: `reserve ${number}`, deadlineMs: 600 });
    results.push({ ...result, kind });
  };
  const endAt = now() + LOAD_MS;
  const sent = [];
  for (let number = 0; now() < endAt; number += 1) {
    sent.push(request(number, 'stream'), request(number, 'unsafe'));
    await sleep(INTERVAL_MS);
  }
  await Promise.all(sent);

  const spoiled = new Set(deployment.engines.flatMap(({ arrivals }) => arrivals)
    .filter((arrival) => arrival.isSpoiled).map(({ id }) => id));
  results.forEach(({
    id, kind, status, headers, body, whole, error,
  }) => note([
    `client  ${kind} ${id}: ${error ?? status} ${whole ? 'whole' : 'not whole'}`,
    headers['response-signature'] === undefined ? 'unsigned' : 'signed',
    kind === 'stream' ? `events ${eventsOf(body).join(',')}` : `${body.length} bytes`,
    spoiled.has(id) ? '(an engine spoiled an answer to it)' : '',
  ].join('  ').trim()));
  const unsigned = results.filter(({ status, headers }) => (
    status >= 200 && status < 300 && headers['response-signature'] === undefined)).length;
  const torn = results.filter(({
    kind, status, body, whole,
  }) => (
    kind === 'stream' && status === 200 && whole && !hasAllEvents(body))).length;
  const silent = results.filter(({ kind, status }) => kind === 'unsafe' && status === 0).length;
  return {
    broken: unsigned + torn > 0,
    verdict: `${spoiled.size} of ${results.length} requests got a spoiled answer; ${unsigned} `
      + `successes had no signature; ${torn} streams ended as complete and lacked a piece; `
      + `${silent} unsafe calls were never answered`,
  };
}

const engine = { behaviour: { respond } };
await runCase(FOLDER, { writer: { ...engine, events: EVENTS }, plainServer: engine }, play);
