/**
 * A fake backend server for relay tests. It responds to buffered calls, and streams events with
 * ids; its standby engine holds a copy of the stream from the first event on.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { freePort } from './freeport.js';

export interface RelayEngineOptions {
  readonly id: string;
  readonly zone: string;
  /** Version of its software; `v1` by default. */
  readonly software?: string;
  /** Time between events. */
  readonly stepMs?: number;
  /** Length of each stream. */
  readonly events?: number;
  /** Replaces the default response; returns false to fall back to it. */
  readonly respond?: (req: IncomingMessage, res: ServerResponse, engine: RelayEngine) => boolean;
}

export class RelayEngine {
  /** The requests that were run, by id; for streams with their first event as well. */
  readonly runs: string[] = [];

  /** The streams to which it sent an event, by request id. */
  readonly streamed = new Set<string>();

  /** The requests received. */
  readonly requests: IncomingMessage[] = [];

  readonly bodies: string[] = [];

  /** Prompt parts that it reports as cached. */
  readonly cachedParts = new Set<string>();

  /** Requests whose connection closed while they ran. */
  readonly cancelled: string[] = [];

  readonly options: RelayEngineOptions;

  address = '';

  /** When its process started, as it tells it. */
  startedAt = 1;

  readonly #copies = new Set<string>();

  readonly #sockets = new Set<Socket>();

  readonly #peers: readonly RelayEngine[];

  #server: Server | undefined;

  #hasEnded = false;

  #silentUntil = 0;

  private constructor(options: RelayEngineOptions, peers: readonly RelayEngine[]) {
    this.options = options;
    this.#peers = peers;
  }

  /** Starts engines on loopback that hold standby copies for each other. */
  static async fleet(options: readonly RelayEngineOptions[]): Promise<readonly RelayEngine[]> {
    const engines: RelayEngine[] = [];
    options.forEach((option) => engines.push(new RelayEngine(option, engines)));
    await Promise.all(engines.map((engine) => engine.start()));
    return engines;
  }

  /** Listens; after a crash, at the same address as before. */
  async start(): Promise<void> {
    // While it is down after a crash, no other test may get its port.
    const port = Number(this.address.split(':')[1] ?? await freePort());
    const server = createServer((req, res) => {
      this.#handleRequest(req, res).catch(() => res.destroy());
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', () => {
        this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        // Closing has no effect while the address is still being looked up.
        if (this.#hasEnded) server.close();
        resolve();
      });
    });
  }

  /** Listens again some time after a crash, or later if the port is taken by then. */
  restartAfter(ms: number): void {
    setTimeout(() => {
      if (this.#hasEnded || this.#server?.listening) return;
      this.start().catch(() => this.restartAfter(ms));
    }, ms);
  }

  /** Accepts connections and sends nothing for a while, then goes on. */
  silence(ms: number): void {
    this.#silentUntil = performance.now() + ms;
  }

  async #untilAudible(): Promise<void> {
    const ms = this.#silentUntil - performance.now();
    if (ms > 0) await sleep(ms);
  }

  /** Listens again after a crash, as a process with another id. */
  async restartAs(id: string): Promise<void> {
    (this.options as { id: string }).id = id;
    await this.start();
  }

  /** Listens again after a crash, as a process of another software version with the same id. */
  async restartAt(software: string): Promise<void> {
    (this.options as { software?: string }).software = software;
    this.startedAt += 1;
    await this.start();
  }

  /** Crashes and doesn't start again. */
  end(): void {
    this.#hasEnded = true;
    this.crash();
  }

  /** Behaves like a process that crashes. */
  crash(): void {
    this.#server?.close();
    this.#copies.clear();
    // The runtime can't reset a connection that it has already begun to close.
    this.#sockets.forEach((socket) => (
      socket.writable ? socket.resetAndDestroy() : socket.destroy()));
  }

  storeCopy(run: string): void {
    this.#copies.add(run);
  }

  async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { id } = this.options;
    this.requests.push(req);
    await this.#untilAudible();
    if (req.url === '/health') {
      res.writeHead(200, { 'x-server': id }).end();
      return;
    }
    if (req.url === '/started') {
      res.writeHead(200).end(String(this.startedAt));
      return;
    }
    if (req.url === '/held') {
      res.writeHead(200).end([...this.cachedParts].join(','));
      return;
    }
    const body = await buffer(req);
    if (req.headers['x-server'] !== id) {
      res.writeHead(421, { ...this.responseHeaders(req), 'x-server': id }).end();
      return;
    }
    this.bodies.push(body.toString());
    if (this.options.respond?.(req, res, this)) return;
    if (req.url?.startsWith('/stream')) this.#stream(req, res);
    else {
      this.runs.push(String(req.headers['x-id']));
      res.writeHead(200, this.responseHeaders(req)).end(`${id} ${req.url}`);
    }
  }

  responseHeaders(req: IncomingMessage): Record<string, string> {
    return { 'x-id': String(req.headers['x-id']), 'x-signature': this.options.id };
  }

  #stream(req: IncomingMessage, res: ServerResponse): void {
    const { stepMs = 5, events = 20 } = this.options;
    const run = String(req.headers['x-id']);
    const copyLocation = req.headers['x-from'];
    if (copyLocation !== undefined && !this.#copies.delete(run)) {
      res.writeHead(503, { ...this.responseHeaders(req), 'x-not-run': '1' }).end();
      return;
    }
    const standby = this.#peers.find(({ address }) => address === req.headers['x-standby']);
    let event = Number(req.headers['x-last'] ?? 0) + 1;
    this.runs.push(`${run}@${event}${copyLocation === undefined ? '' : ' copy'}`);
    const sendEvent = async () => {
      await sleep(stepMs);
      await this.#untilAudible();
      if (res.destroyed) {
        this.cancelled.push(run);
        return;
      }
      if (!res.headersSent) {
        res.writeHead(200, { ...this.responseHeaders(req), 'content-type': 'text/event-stream' });
      }
      this.streamed.add(run);
      res.write(`id: ${event}\ndata: text ${event}\n\n`);
      standby?.storeCopy(run);
      event += 1;
      if (event > events) res.end();
      else await sendEvent();
    };
    sendEvent().catch(() => res.destroy());
  }
}
