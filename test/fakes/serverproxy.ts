/** A proxy on loopback through which one instance reaches one server, and which can be cut. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { freePort } from './freeport.js';

/** `stale`: open connections live on while new ones are refused. */
export type Cut = 'silent' | 'refused' | 'stale';

const RETRY_MS = 50;

export class ServerProxy {
  readonly #target: string;

  readonly #sockets = new Set<Socket>();

  #server: Server | undefined;

  #cut: Cut | undefined;

  port = 0;

  constructor(target: string) {
    this.#target = target;
  }

  /** Listens, and tries again while another socket has the port that it had. */
  async start(): Promise<void> {
    // While it is cut, no other test may get its port.
    if (this.port === 0) this.port = await freePort();
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.on('error', () => setTimeout(() => server.listen(this.port, '127.0.0.1'), RETRY_MS));
      server.once('listening', () => resolve());
      server.listen(this.port, '127.0.0.1');
    });
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #accept(socket: Socket): void {
    this.#track(socket);
    if (this.#cut === 'silent') return;
    const [host, port] = this.#target.split(':');
    const upstream = connect(Number(port), host);
    this.#track(upstream);
    socket.pipe(upstream).pipe(socket);
    socket.on('close', () => upstream.destroy());
    upstream.on('close', () => socket.destroy());
  }

  stop(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async cut(kind: Cut): Promise<void> {
    this.#cut = kind;
    if (kind !== 'silent') this.#server?.close();
    if (kind !== 'stale') this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  async heal(): Promise<void> {
    const was = this.#cut;
    this.#cut = undefined;
    if (was === 'silent') this.#sockets.forEach((socket) => socket.destroy());
    else await this.start();
  }
}
