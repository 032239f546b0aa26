/**
 * An HTTP agent that closes an idle connection when unsolicited bytes arrive on it, and before the
 * server's keep-alive timeout ends.
 */
import { Agent } from 'node:http';
import type { AgentOptions, ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';

/** Idle timeout when the server announces none; the shortest that servers announce is 1 s. */
const DEFAULT_IDLE_MS = 900;
/** A request sent this long before the server's own timeout still reaches it in time. */
const IDLE_MARGIN_MS = 1_000;
/** The longest time that timers measure. */
const MAX_IDLE_MS = 2_147_483_647;
/** A process that writes extra responses does so until it ends; one a minute may cost a request. */
const EXTRA_MEMORY_MS = 60_000;
const KEEP_ALIVE_TIMEOUT = /^timeout=(\d+)/;

/** How long a connection may stay idle, by the last response's `Keep-Alive` header. */
function idleMs(keepAlive: string | undefined): number {
  const seconds = KEEP_ALIVE_TIMEOUT.exec(keepAlive ?? '')?.[1];
  return seconds === undefined ? DEFAULT_IDLE_MS
    : Math.min(Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS, MAX_IDLE_MS);
}

export interface AgentListener {
  /** A connection was opened for a request. */
  opened(): void;
  /** A response came that named another request than the one waiting, or none. */
  extra(): void;
}

/** Closes an idle connection on which bytes arrive, since they belong to no request. */
export class KeepAliveAgent extends Agent {
  readonly #on: AgentListener;

  #extraAt = -Infinity;

  readonly #unsolicitedListeners = new WeakMap<Socket, () => void>();

  readonly #idleMs = new WeakMap<Socket, number>();

  constructor(options: AgentOptions, listener: AgentListener) {
    super(options);
    this.#on = listener;
  }

  /** Reports that a request has opened a connection. */
  connectionOpened(): void {
    this.#on.opened();
  }

  /** Reports that a response named another request than the one waiting, or none. */
  markExtra(now: number): void {
    this.#extraAt = now;
    this.#on.extra();
  }

  /** Whether the server has lately written responses that nobody waited for. */
  hadExtra(now: number): boolean {
    return now - this.#extraAt < EXTRA_MEMORY_MS;
  }

  /** Sets how long a connection may stay idle, by a response's `Keep-Alive` header. */
  setIdleTimeout(socket: Socket, keepAlive: unknown): void {
    this.#idleMs.set(socket, idleMs(typeof keepAlive === 'string' ? keepAlive : undefined));
  }

  override keepSocketAlive(socket: Socket): boolean {
    const idle = this.#idleMs.get(socket) ?? DEFAULT_IDLE_MS;
    // Typed as void, but Node closes the connection if this returns false.
    const kept: unknown = super.keepSocketAlive(socket);
    if (idle <= 0 || kept === false) return false;
    const onUnsolicitedData = () => socket.destroy();
    this.#unsolicitedListeners.set(socket, onUnsolicitedData);
    socket.on('data', onUnsolicitedData);
    socket.setTimeout(idle);
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const onUnsolicitedData = this.#unsolicitedListeners.get(socket);
    if (onUnsolicitedData) socket.off('data', onUnsolicitedData);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
