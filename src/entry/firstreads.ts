/**
 * Holds back the first reads of connections while others bring bodies in many small chunks. Node
 * parses all that it has read of a connection at once, and reads all connections that have input in
 * the same turn of the event loop, so that a crowd of such bodies would keep everybody waiting
 * until the last of them is parsed. Connections that are held back are read in batches, one in each
 * turn, the newest first: callers that have waited long may have given up. Node accepts a
 * connection in each turn, and those that wait to be accepted go first.
 */
import type { Socket } from 'node:net';

/** How long after a body in many small chunks new connections are held back. */
const CROWD_MS = 1_000;
/** For how long no connection is read while more of them are accepted. */
const MAX_ACCEPTING_MS = 50;
const MAX_BATCH = 64;

/** Of a connection; the type declarations lack it. To the stream it goes on reading. */
interface Handle {
  readStart(): void;
  readStop(): void;
}

function handleOf(socket: Socket): Handle | null {
  const { _handle: handle } = socket as unknown as { readonly _handle: Handle | null };
  return handle;
}

export class FirstReads {
  /** In the order in which they were opened. */
  readonly #held = new Set<Socket>();

  #crowdUntil = 0;

  /** Connections to read in the next turn; one after each that brought many small chunks. */
  #batch = 1;

  /** Whether a connection was accepted since the last turn. */
  #hasAccepted = false;

  #readAt = 0;

  #isScheduled = false;

  private constructor() {
    // Made by `of`.
  }

  static of(): FirstReads {
    return new FirstReads();
  }

  /** Called for each new connection. */
  add(socket: Socket): void {
    if (this.#held.size === 0 && performance.now() > this.#crowdUntil) return;
    this.#hasAccepted = true;
    this.#hold(socket);
  }

  /** Called when a connection brings many small chunks, with all others. */
  holdBack(others: Iterable<Socket>): void {
    this.#crowdUntil = performance.now() + CROWD_MS;
    this.#batch = 1;
    [...others].filter((socket) => socket.bytesRead === 0).forEach((socket) => this.#hold(socket));
  }

  #hold(socket: Socket): void {
    const handle = handleOf(socket);
    if (!handle || this.#held.has(socket)) return;
    handle.readStop();
    this.#held.add(socket);
    socket.once('close', () => this.#held.delete(socket));
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#takeTurn());
  }

  #takeTurn(): void {
    this.#isScheduled = false;
    const now = performance.now();
    if (!this.#hasAccepted || now - this.#readAt > MAX_ACCEPTING_MS) {
      this.#readAt = now;
      this.#readNext();
    }
    this.#hasAccepted = false;
    if (this.#held.size > 0) this.#schedule();
  }

  #readNext(): void {
    [...this.#held].slice(-this.#batch).forEach((socket) => {
      this.#held.delete(socket);
      handleOf(socket)?.readStart();
    });
    this.#batch = Math.min(MAX_BATCH, 2 * this.#batch);
  }
}
