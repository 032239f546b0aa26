/**
 * A backend server that speaks the platform's protocol and does what a request's query asks for:
 * `/stream/x?events=9&step=100` or `/safe/x?ms=100&bytes=1000`. With `broken=N` the first server
 * that runs the request breaks off after N events or, with 0, without an answer; with `refuse=1`
 * the first one refuses it unrun. With `flood=NAME` it sends a flood. It listens on one address
 * for each instance, so that it can be cut off from some of them.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { finished } from 'node:stream/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineRecord } from './enginerecord.js';
import { sendFlood } from './floods.js';

/** The body of a plain answer. */
export function answerBody(id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id}.`);
}

export function eventText(id: string, event: number): string {
  return `id: ${event}\ndata: ${id} ${event}\n\n`;
}

export class ScriptedEngine {
  readonly id: string;

  readonly service: string;

  port = 0;

  /** Whether it sends a flood when it is asked for the prompts that it holds. */
  floodsLists = false;

  readonly #record: EngineRecord;

  readonly #servers = new Map<string, Server>();

  readonly #sockets = new Map<string, Set<Socket>>();

  /** Connections that it has reset. */
  readonly #reset = new WeakSet<Socket>();

  #silentUntil = 0;

  private constructor(id: string, service: string, record: EngineRecord) {
    this.id = id;
    this.service = service;
    this.#record = record;
  }

  static async start(
    id: string,
    service: string,
    ips: readonly string[],
    record: EngineRecord,
  ): Promise<ScriptedEngine> {
    const engine = new ScriptedEngine(id, service, record);
    // The first address selects the port of the others.
    await engine.heal(ips[0]!);
    await Promise.all(ips.slice(1).map((ip) => engine.heal(ip)));
    return engine;
  }

  /** The entry in the store. */
  get entry() {
    return {
      Service: this.service,
      Address: `127.0.0.1:${this.port}`,
      Zone: 'a',
      Version: 'v1',
      Slots: 16,
      State: 'ready',
      born: 1,
      ColdRemainingMs: 0,
      Seq: 1,
    };
  }

  /** Resets the connections of the instance that uses an address, and accepts no more. */
  cut(ip: string): void {
    this.#servers.get(ip)?.close();
    this.#servers.delete(ip);
    this.#sockets.get(ip)?.forEach((socket) => {
      this.#reset.add(socket);
      if (socket.writable) socket.resetAndDestroy();
      else socket.destroy();
    });
  }

  /** Sends nothing for a while, then goes on. */
  silence(ms: number): void {
    this.#silentUntil = performance.now() + ms;
  }

  async #untilAudible(): Promise<void> {
    const ms = this.#silentUntil - performance.now();
    if (ms > 0) await sleep(ms);
  }

  /** Listens on an address, if it doesn't. */
  async heal(ip: string): Promise<void> {
    if (this.#servers.has(ip)) return;
    const server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    this.#servers.set(ip, server);
    const sockets = new Set<Socket>();
    this.#sockets.set(ip, sockets);
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, ip, resolve);
    });
    this.port = (server.address() as AddressInfo).port;
  }

  close(): void {
    [...this.#servers.keys()].forEach((ip) => this.cut(ip));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this.#untilAudible();
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://engine');
    if (pathname === '/health') {
      res.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    if (pathname === '/kv-list' && this.floodsLists) {
      sendFlood(req.socket, 'a body until it closes', '');
      return;
    }
    if (pathname === '/kv-list') {
      res.end('{"epoch":1,"Next":1,"held":[]}');
      return;
    }
    const id = String(req.headers['request-id']);
    await finished(req.resume());
    if (req.headers['target-instance'] !== this.id) {
      res.writeHead(421, { 'Request-Id': id, 'Not-Executed': '1' }).end();
      return;
    }
    const asks = (name: string, fallback: number) => Number(searchParams.get(name) ?? fallback);
    if (asks('refuse', 0) > 0 && !this.#record.refused.has(id)) {
      this.#record.refused.add(id);
      res.writeHead(503, { 'Request-Id': id, 'Not-Executed': '1' }).end();
      return;
    }
    const isFirst = this.#record.of(id).length === 0;
    const run = this.#record.add({
      id,
      server: this.id,
      from: Number(req.headers['last-event-id'] ?? 0) + 1,
      startedAt: performance.now(),
      end: 'open',
      endedAt: Infinity,
    });
    res.on('close', () => {
      if (run.end === 'open') {
        const aborted = this.#reset.has(req.socket) ? 'broken' : 'cut';
        run.end = res.writableFinished ? 'whole' : aborted;
      }
      run.endedAt = performance.now();
    });
    const flood = searchParams.get('flood');
    if (flood !== null) {
      sendFlood(req.socket, flood, id);
      return;
    }
    const brokenAfter = isFirst ? asks('broken', Infinity) : Infinity;
    const headers = { 'Request-Id': id, 'Response-Signature': `${this.id}.${id}` };
    const breakOff = () => {
      run.end = 'broken';
      res.destroy();
    };
    if (!pathname.startsWith('/stream') && !pathname.startsWith('/once')) {
      await sleep(asks('ms', 0));
      if (brokenAfter < Infinity) breakOff();
      else res.writeHead(200, headers).end(answerBody(id, asks('bytes', 10)));
      return;
    }
    for (let event = run.from; event <= asks('events', 1); event += 1) {
      // eslint-disable-next-line no-await-in-loop -- one event after another
      await sleep(asks('step', 10));
      // eslint-disable-next-line no-await-in-loop -- one event after another
      await this.#untilAudible();
      if (res.destroyed) return;
      if (event - run.from >= brokenAfter) {
        breakOff();
        return;
      }
      if (!res.headersSent) {
        res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      }
      res.write(eventText(id, event));
    }
    res.end();
  }
}
