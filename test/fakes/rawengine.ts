/**
 * A fake backend server for relay tests that writes its responses byte by byte, so that it can also
 * write what belongs to no request. It reads whole requests, one at a time on a connection.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

export interface RawRequest {
  readonly id: string;
  readonly target: string;
  /** The last event that its caller has; 0 if none. */
  readonly lastEvent: number;
  readonly socket: Socket;
  /** Its number on its connection, from 1. */
  readonly number: number;
}

export interface RawEngineOptions {
  readonly id: string;
  readonly zone: string;
  /** Writes what the engine sends for a request; the default response if undefined. */
  readonly respond?: (request: RawRequest, engine: RawEngine) => unknown;
  /** Called for each connection. */
  readonly accept?: (socket: Socket) => void;
}

/** A response as bytes, with a length. */
export function responseBytes(
  status: number,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): string {
  const fields = { 'Content-Length': String(body.length), 'Keep-Alive': 'timeout=60', ...headers };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n${body}`;
}

export class RawEngine {
  readonly options: RawEngineOptions;

  /** The requests that were run, by id. */
  readonly runs: string[] = [];

  /** The requests received, by id. */
  readonly received: string[] = [];

  /** The connections on which callers' requests came. */
  readonly connections = new Set<Socket>();

  address = '';

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  private constructor(options: RawEngineOptions) {
    this.options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  static async of(options: RawEngineOptions): Promise<RawEngine> {
    const engine = new RawEngine(options);
    await new Promise<void>((resolve) => {
      engine.#server.listen(0, '127.0.0.1', resolve);
    });
    engine.address = `127.0.0.1:${(engine.#server.address() as AddressInfo).port}`;
    return engine;
  }

  end(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** The bytes of its response to a request that it runs. */
  sound({ id, target, lastEvent }: RawRequest): string {
    const headers = { 'X-Id': id, 'X-Signature': this.options.id };
    const events = [1, 2].map((event) => `id: ${lastEvent + event}\ndata: ${id}\n\n`);
    return target.startsWith('/stream')
      ? responseBytes(200, headers, events.join(''))
      : responseBytes(200, headers, `${this.options.id} ${id}`);
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.#sockets.delete(socket));
    this.options.accept?.(socket);
    let input = '';
    let count = 0;
    socket.on('data', (bytes) => {
      input += bytes.toString('latin1');
      const end = input.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = input.slice(0, end);
      const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
      if (input.length < end + 4 + length) return;
      input = input.slice(end + 4 + length);
      count += 1;
      this.#handle({
        id: /^x-id: (.+)$/im.exec(head)?.[1] ?? '',
        target: head.split(' ')[1] ?? '',
        lastEvent: Number(/^x-last: (\d+)/im.exec(head)?.[1] ?? 0),
        socket,
        number: count,
      });
    });
  }

  #handle(request: RawRequest): void {
    if (request.target === '/health' || request.target === '/held') {
      request.socket.write(responseBytes(200, { 'X-Server': this.options.id }));
      return;
    }
    this.connections.add(request.socket);
    this.received.push(request.id);
    if (this.options.respond) this.options.respond(request, this);
    else {
      this.runs.push(request.id);
      request.socket.write(this.sound(request));
    }
  }
}
