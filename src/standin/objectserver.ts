/**
 * Serves the stand-in of the object API over HTTP to several daemons on one machine:
 *
 *     GET    /objects/NAME                  one object
 *     GET    /objects?prefix=P              a listing
 *     PUT    /objects/NAME                  with `If-Match: VERSION` or `If-None-Match: *`
 *     DELETE /objects/NAME                  with `If-Match: VERSION`
 *     GET    /watch?prefix=P&from=VERSION   changes as JSON lines, for a limited time
 *     GET    /control, PUT /control         call counts and faults; PUT sets the given faults
 *     POST   /control/compact               drops past changes
 *
 * Errors are `{"code","message"}` with the code of a StoreError. For an ambiguous write the
 * connection is closed without a response.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';
import type { SchedulerLike } from 'rxjs';
import type {
  CallClass, Precondition, StoreError, StoreErrorCode,
} from '../store/objects.js';
import type { MemoryObjects, ObjectFaults } from './objects.js';

const WATCH_LIFETIME_MS = 60_000;
const MAX_BODY_BYTES = 2_097_152;
const OBJECTS = '/objects/';

const STATUS: Readonly<Record<StoreErrorCode, number>> = {
  unavailable: 503,
  ambiguous: 502,
  conflict: 412,
  not_found: 404,
  too_large: 413,
  rate_limited: 429,
  version_too_old: 410,
  budget: 429,
};

async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // eslint-disable-next-line no-restricted-syntax -- a stream is read in chunks
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body ?? {});
  response.writeHead(status, {
    'content-type': 'application/json', 'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function sendError(response: ServerResponse, error: StoreError): void {
  if (error.code === 'ambiguous') response.destroy();
  else send(response, STATUS[error.code], error);
}

function sendResult(response: ServerResponse, result: Result<unknown, StoreError>): void {
  result.match((value) => send(response, 200, value), (error) => sendError(response, error));
}

function preconditionOf(request: IncomingMessage): Precondition {
  const version = request.headers['if-match'];
  return version === undefined
    ? { kind: 'absent' }
    : { kind: 'version', version: Number(version) };
}

function classOf(request: IncomingMessage): CallClass {
  return (request.headers['call-class'] as CallClass | undefined) ?? 'status';
}

export class ObjectServer {
  readonly #objects: MemoryObjects;

  readonly #scheduler: SchedulerLike;

  readonly #server: Server;

  private constructor(objects: MemoryObjects, scheduler: SchedulerLike) {
    this.#objects = objects;
    this.#scheduler = scheduler;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens on `host:port`; port 0 selects a free port, see `address`. */
  static async listen(
    objects: MemoryObjects,
    scheduler: SchedulerLike,
    host: string,
    port: number,
  ): Promise<ObjectServer> {
    const server = new ObjectServer(objects, scheduler);
    await new Promise<void>((resolve, reject) => {
      server.#server.once('error', reject);
      server.#server.listen(port, host, resolve);
    });
    return server;
  }

  /** The `host:port` that the server listens on. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://objects');
    if (url.pathname === '/watch') this.#watch(url, request, response);
    else if (url.pathname.startsWith('/control')) await this.#control(url, request, response);
    else if (url.pathname === '/objects') await this.#list(url, request, response);
    else if (url.pathname.startsWith(OBJECTS)) await this.#object(url, request, response);
    else send(response, 404, { code: 'not_found', message: url.pathname });
  }

  async #list(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? '';
    sendResult(response, await this.#objects.list(prefix, classOf(request)));
  }

  async #object(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const name = decodeURIComponent(url.pathname.slice(OBJECTS.length));
    const use = classOf(request);
    const expected = preconditionOf(request);
    if (request.method === 'GET') {
      sendResult(response, await this.#objects.get(name, use));
    } else if (request.method === 'PUT') {
      const value = await readBody(request);
      if (value === undefined) sendError(response, { code: 'too_large', message: name });
      else sendResult(response, await this.#objects.put(name, value, expected, use));
    } else if (request.method === 'DELETE' && expected.kind === 'version') {
      sendResult(response, await this.#objects.remove(name, expected.version, use));
    } else {
      send(response, 400, { code: 'conflict', message: 'a method or header is missing' });
    }
  }

  #watch(url: URL, request: IncomingMessage, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    const open = () => {
      if (response.headersSent) return;
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      response.flushHeaders();
    };
    const subscription = this.#objects.watch(prefix, from, classOf(request)).subscribe({
      next: (event) => {
        open();
        response.write(`${JSON.stringify(event)}\n`);
      },
      error: (error: StoreError) => {
        if (response.headersSent) response.destroy();
        else sendError(response, error);
      },
    });
    if (subscription.closed) return;
    open();
    subscription.add(this.#scheduler.schedule(() => response.end(), WATCH_LIFETIME_MS));
    response.once('close', () => subscription.unsubscribe());
  }

  async #control(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (url.pathname === '/control/compact') this.#objects.compact();
    else if (request.method === 'PUT') {
      const body = await readBody(request);
      this.#objects.setFaults(JSON.parse(body ?? '{}') as Partial<ObjectFaults>);
    }
    send(response, 200, { faults: this.#objects.faults(), counts: this.#objects.counts() });
  }
}
