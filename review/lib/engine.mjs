/* eslint-disable no-await-in-loop -- one event follows the other */
// A backend server as PROTOCOL.md describes it: a model engine that streams events, or a plain
// service. It registers itself in the store, echoes `Request-Id`, signs its answers, answers 421 to
// a request for another instance, and drops a request when its connection closes.
import { createServer } from 'node:http';
import { buffer } from 'node:stream/consumers';
import {
  clearInterval, clearTimeout, setInterval, setTimeout,
} from 'node:timers';
import { newId, now, sleep } from './base.mjs';

export const HEARTBEAT_MS = 1_200;
const LAPSE_MS = 3 * HEARTBEAT_MS;

export class Engine {
  /** What arrived: { id, path, at, headers, ran, body, end, engine,
   * runsFrom, worksUntil }. */
  arrivals = [];

  crashes = [];

  /** Requests of whose memory this engine keeps a copy. */
  copies = new Set();

  /** Until when the engine neither reads nor sends anything. */
  silentUntil = 0;

  state = 'ready';

  isUp = false;

  #sockets = new Set();

  #seq = 0;

  #beat;

  #lapse;

  /**
   * @param behaviour `respond(req, res, arrival, engine)` may answer in place of the engine and
   * returns whether it did; `onEvent(event, arrival, engine, res)` is called
   * after each event and may go on with the answer in place of the engine; `held(engine)` lists the
   * parts of prompts that it keeps.
   */
  constructor({
    store, ip, service, zone, version = 'v1', slots = 16, workMs = 20, stepMs = 20, events = 30,
    firstMs = 60, behaviour = {},
  }) {
    Object.assign(this, {
      store, ip, service, zone, version, slots, workMs, stepMs, events, firstMs, behaviour,
    });
    this.id = `i-${newId().slice(0, 10)}`;
    this.port = 0;
  }

  get address() {
    return `${this.ip}:${this.port}`;
  }

  async start() {
    this.born = Date.now();
    const server = createServer({ keepAliveTimeout: 5_000 }, (req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.ip, resolve);
    });
    this.port = server.address().port;
    this.isUp = true;
    clearTimeout(this.#lapse);
    this.#register();
    this.#beat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  #server;

  #register() {
    this.#seq += 1;
    this.store.put('servers', this.id, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: this.version,
      Slots: this.slots,
      State: this.state,
      ColdRemainingMs: 0,
      Stage: 'both',
      Models: [{ Name: 'm', Version: 1, Adapters: [] }],
      Seq: this.#seq,
      born: this.born,
    });
  }

  /** The process ends: its connections are reset, and it sends nothing more. */
  crash(cause = '') {
    if (!this.isUp) return;
    this.isUp = false;
    this.crashes.push({ at: now(), cause });
    clearInterval(this.#beat);
    this.#server.close();
    [...this.#sockets].forEach((socket) => socket.resetAndDestroy());
    this.#lapse = setTimeout(() => this.store.remove('servers', this.id), LAPSE_MS);
  }

  get isSilent() {
    return now() < this.silentUntil;
  }

  async #untilAudible() {
    while (this.isSilent) await sleep(Math.max(1, this.silentUntil - now()));
  }

  /** Starts again under the same id, at the same address. */
  crashFor(ms, cause) {
    if (!this.isUp) return;
    this.crash(cause);
    this.#restart = setTimeout(() => {
      this.start().catch(() => undefined);
    }, ms);
  }

  #restart;

  close() {
    clearTimeout(this.#restart);
    clearTimeout(this.#lapse);
    clearInterval(this.#beat);
    this.#server?.close();
    [...this.#sockets].forEach((socket) => socket.destroy());
  }

  /** Headers of an answer to a request. */
  headers(arrival) {
    return { 'Request-Id': arrival.id, 'Response-Signature': `${this.id}.${arrival.id}` };
  }

  async #serve(req, res) {
    const path = req.url.split('?')[0];
    await this.#untilAudible();
    if (path === '/health') {
      res.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    if (path === '/kv-list') {
      res.writeHead(200, { 'Content-Type': 'application/json' })
        .end(JSON.stringify({ epoch: 1, Next: 1, held: this.behaviour.held?.(this) ?? [] }));
      return;
    }
    const { headers } = req;
    const id = headers['request-id'];
    const arrival = {
      id, path: req.url, at: now(), headers, ran: false, end: 'open', engine: this.id,
    };
    this.arrivals.push(arrival);
    res.on('close', () => {
      if (arrival.end === 'open') arrival.end = res.writableFinished ? 'whole' : 'cut';
    });
    const body = await buffer(req);
    if (id === undefined) {
      res.writeHead(400, { 'Not-Executed': '1' }).end();
      return;
    }
    const expected = headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'Request-Id': id, 'Not-Executed': '1', 'Instance-Id': this.id }).end();
      return;
    }
    if (headers['kv-from'] !== undefined && !this.copies.delete(id)) {
      res.writeHead(503, { 'Request-Id': id, 'Not-Executed': '1' }).end();
      return;
    }
    Object.assign(arrival, { ran: true, body, runsFrom: now() });
    if (await this.behaviour.respond?.(req, res, arrival, this)) return;
    if (headers['token-counts'] !== undefined) await this.#stream(res, arrival);
    else {
      await sleep(this.workMs);
      if (!res.destroyed) res.writeHead(200, this.headers(arrival)).end(`${id} done`);
    }
  }

  /** Works on a stream; what is made while the engine is silent is sent afterwards. */
  async #stream(res, arrival) {
    const from = Number(arrival.headers['last-event-id'] ?? 0) + 1;
    const standby = this.peers?.find(({ address }) => address === arrival.headers['kv-backup']);
    let unsent = '';
    // A copy needs no prefill.
    if (arrival.headers['kv-from'] === undefined) await sleep(this.firstMs);
    for (let event = from; event <= this.events; event += 1) {
      // That its connection has closed shows once the engine reads again.
      if (!this.isSilent && res.destroyed) break;
      Object.assign(arrival, { worksUntil: now() });
      unsent += `id: ${event}\ndata: ${arrival.id} ${event}\n\n`;
      if (!this.isSilent) {
        if (!res.headersSent) {
          res.writeHead(200, { ...this.headers(arrival), 'Content-Type': 'text/event-stream' });
        }
        res.write(unsent);
        unsent = '';
        standby?.copies.add(arrival.id);
      }
      // Where this returns true, the behaviour itself goes on with the answer.
      if (this.behaviour.onEvent?.(event, arrival, this, res)) return;
      await sleep(this.stepMs);
    }
    await this.#untilAudible();
    if (!res.destroyed) res.end(unsent);
  }
}
