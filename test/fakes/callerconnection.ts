/** A caller that writes the bytes of its requests itself, and reads when it is told to. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { HOST, KEY } from './relay.js';

export interface RequestHead {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly fields?: readonly string[];
}

/** The text of a request's head. */
export function headText({
  id, path, method = 'GET', fields = [],
}: RequestHead): string {
  const first = [`${method} ${path} HTTP/1.1`, `host: ${HOST}`, `x-id: ${id}`, `x-key: ${KEY}`];
  return [...first, ...fields, '', ''].join('\r\n');
}

export class CallerConnection {
  readonly #socket: Socket;

  #chunks: Buffer[] = [];

  /** Resolves to an error's code, or to an empty text, when the connection has closed. */
  readonly closed: Promise<string>;

  private constructor(socket: Socket) {
    this.#socket = socket;
    let code = '';
    socket.on('data', (bytes: Buffer) => this.#chunks.push(bytes));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      code = error.code ?? 'error';
    });
    this.closed = new Promise((resolve) => {
      socket.on('close', () => resolve(code));
    });
  }

  static of(address: { readonly host: string; readonly port: number }): Promise<CallerConnection> {
    return new Promise((resolve, reject) => {
      const socket = connect({ ...address, noDelay: true });
      socket.once('connect', () => resolve(new CallerConnection(socket)));
      socket.once('error', reject);
    });
  }

  send(text: string): void {
    this.#socket.write(text, 'latin1');
  }

  /** Stops reading, so that the instance can't write more than the buffers between them hold. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  destroy(): void {
    this.#socket.destroy();
  }

  get bytes(): number {
    return this.#chunks.reduce((sum, { length }) => sum + length, 0);
  }

  get text(): string {
    return Buffer.concat(this.#chunks).toString('latin1');
  }

  /** Status of the first response; 0 if there is none. */
  get status(): number {
    return Number(/^HTTP\/1\.1 (\d+)/.exec(this.text)?.[1] ?? 0);
  }
}
