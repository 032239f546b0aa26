/**
 * The requests of one connection whose answers have not ended, in their order. A caller may send
 * requests ahead of its answers (pipelining). They are read, but only the first is run: each that
 * runs takes a connection to a server, and its answer couldn't be sent before those of the others.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests that a caller may send ahead of an answer. */
const MAX_AHEAD = 16;

const lines = new WeakMap<Socket, RequestLine>();

export class RequestLine {
  readonly #responses: ServerResponse[] = [];

  readonly #listeners = new Map<ServerResponse, () => void>();

  static of(socket: Socket): RequestLine {
    const line = new RequestLine();
    lines.set(socket, line);
    socket.once('close', () => line.#abandon());
    return line;
  }

  get length(): number {
    return this.#responses.length;
  }

  get isFull(): boolean {
    return this.length > MAX_AHEAD;
  }

  add(res: ServerResponse): void {
    this.#responses.push(res);
    res.once('close', () => this.#remove(res));
  }

  whenFirst(res: ServerResponse, listener: () => void): void {
    if (this.#responses.indexOf(res) <= 0) listener();
    else this.#listeners.set(res, listener);
  }

  #remove(res: ServerResponse): void {
    this.#listeners.delete(res);
    const index = this.#responses.indexOf(res);
    if (index >= 0) this.#responses.splice(index, 1);
    const [first] = this.#responses;
    if (!first || first.req.socket.destroyed) return;
    const listener = this.#listeners.get(first);
    this.#listeners.delete(first);
    listener?.();
  }

  /** Node closes only the response that is being sent when its connection closes. */
  #abandon(): void {
    this.#listeners.clear();
    this.#responses.splice(0).filter((res) => !res.closed).forEach((res) => {
      Object.assign(res, { destroyed: true, _closed: true });
      res.emit('close');
    });
  }
}

/**
 * Calls `listener` when the answers before this one have ended, at once if they have. It is not
 * called if the connection closes.
 */
export function whenFirst(res: ServerResponse, listener: () => void): void {
  const line = lines.get(res.req.socket);
  if (line) line.whenFirst(res, listener);
  else listener();
}

export function untilFirst(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    whenFirst(res, resolve);
  });
}
