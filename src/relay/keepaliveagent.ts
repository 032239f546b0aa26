/**
 * An HTTP agent that keeps connections only while they are clean, and only as long as the server
 * said that it keeps them.
 */
import { Agent } from 'node:http';
import type { AgentOptions, ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Idle time of a connection whose server tells none; the shortest that servers tell is 1 s. */
const IDLE_MS = 900;
/** A request that leaves so long before the server's own close reaches it in time. */
const IDLE_MARGIN_MS = 1_000;
const IDLE_HINT = /^timeout=(\d+)/;

/** How long a connection may stay idle, from what the server's last answer said. */
function idleMs(hint: string | undefined): number {
  const seconds = IDLE_HINT.exec(hint ?? '')?.[1];
  return seconds === undefined ? IDLE_MS
    : Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS;
}

/** Closes a connection on which something arrives while it is idle: it belongs to no request. */
export class CleanAgent extends Agent {
  readonly #opened: () => void;

  readonly #unasked = new WeakMap<Socket, () => void>();

  readonly #idleMs = new WeakMap<Socket, number>();

  /** @param opened called for each connection that is opened for a request */
  constructor(options: AgentOptions, opened: () => void) {
    super(options);
    this.#opened = opened;
  }

  /** Notes that a request has opened a connection. */
  opened(): void {
    this.#opened();
  }

  /** Notes what an answer on the connection said about idle time. */
  hint(socket: Socket, keepAlive: unknown): void {
    this.#idleMs.set(socket, idleMs(typeof keepAlive === 'string' ? keepAlive : undefined));
  }

  override keepSocketAlive(socket: Socket): boolean {
    const idle = this.#idleMs.get(socket) ?? IDLE_MS;
    // The type calls it void; false asks for the connection to be closed.
    const kept: unknown = super.keepSocketAlive(socket);
    if (idle <= 0 || kept === false) return false;
    const unasked = () => socket.destroy();
    this.#unasked.set(socket, unasked);
    socket.on('data', unasked);
    socket.setTimeout(idle);
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const unasked = this.#unasked.get(socket);
    if (unasked) socket.off('data', unasked);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
