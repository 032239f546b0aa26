/**
 * Connections to backend servers. A connection is reused only while it is clean: bytes that nobody
 * asked for, an answer that came before its request was out, or an answer that broke off close it.
 */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Idle time of a connection whose server tells none; the shortest that servers tell is 1 s. */
const IDLE_MS = 900;
/** A request that leaves so long before the server's own close reaches it in time. */
const IDLE_MARGIN_MS = 1_000;
/** Keeps a burst from holding more connections than a server accepts from all callers together. */
const MAX_IDLE = 16;
const IDLE_HINT = /^timeout=(\d+)/;

/** How long a connection may stay idle, from what the server's last answer said. */
function idleMs(hint: string | undefined): number {
  const seconds = IDLE_HINT.exec(hint ?? '')?.[1];
  return seconds === undefined ? IDLE_MS
    : Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS;
}

/** Closes a connection on which something arrives while it is idle: it belongs to no request. */
export class CleanAgent extends Agent {
  readonly #unasked = new WeakMap<Socket, () => void>();

  readonly #idleMs = new WeakMap<Socket, number>();

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

export class Connections {
  readonly #agents = new Map<string, CleanAgent>();

  static of(): Connections {
    return new Connections();
  }

  /** The connections to one server, which are kept apart from those to others at its address. */
  agent(server: string): CleanAgent {
    const known = this.#agents.get(server);
    if (known) return known;
    const agent = new CleanAgent({
      keepAlive: true, maxFreeSockets: MAX_IDLE, scheduling: 'lifo', noDelay: true,
    });
    this.#agents.set(server, agent);
    return agent;
  }

  /** Closes the idle connections to a server. */
  drop(server: string): void {
    const agent = this.#agents.get(server);
    if (!agent) return;
    this.#agents.delete(server);
    Object.values(agent.freeSockets).forEach((sockets) => {
      sockets?.forEach((socket) => socket.destroy());
    });
  }

  /** Closes all idle connections. */
  close(): void {
    [...this.#agents.keys()].forEach((server) => this.drop(server));
  }
}

/** Whether a server's address accepts a connection within `timeoutMs`. */
export function accepts(address: string, timeoutMs: number): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port) });
    const settle = (accepted: boolean) => {
      clearTimeout(deadline); // eslint-disable-line @typescript-eslint/no-use-before-define
      socket.destroy();
      resolve(accepted);
    };
    const deadline = setTimeout(() => settle(false), timeoutMs);
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
}
